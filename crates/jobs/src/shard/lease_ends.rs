//! Lease ends of executors that do not answer, recorded for a successor.
//!
//! An owner stops renewing the leases of an executor that does not answer, and knows when they end.
//! A successor that does not reach the executor either would have to assume that they were renewed
//! until the takeover. The recorded lease end spares it that time.
//!
//! A recorded lease end must hold for as long as the record does, so leases are renewed again only
//! once the record has been removed.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;

use super::Shard;
use super::clock::SLOWEST_CLOCK;
use super::evidence::LeaseBound;
use super::executors::Executor;
use crate::id::ExecutorId;
use crate::record::json_field_bytes;

/// Margin for the end of a predecessor's last lease beyond its calculated end.
const LEASE_MARGIN: Span = Span::from_ms(200);
/// Time without an answer after which the lease end of an executor is recorded.
const MIN_SILENCE: Span = Span::from_ms(500);

data! {
    /// Time left of the leases of an executor that does not answer.
    pub struct LeaseEnd {
        /// Executor that does not answer.
        pub executor: ExecutorId,
        /// Upper bound on the time left until all leases of the executor have ended.
        pub left: Span,
    }
}

/// Lease ends in the store, as far as this owner knows.
#[derive(Debug, Default)]
pub(super) struct Recorded {
    /// Executors whose lease ends are recorded, or may be while a batch is pending.
    executors: BTreeSet<ExecutorId>,
    /// Executors in the latest record, which is confirmed with the pending batch.
    latest: BTreeSet<ExecutorId>,
    /// Time left of leases at the takeover, as recorded by the predecessor.
    inherited: BTreeMap<ExecutorId, Span>,
    /// Whether the record is that of the predecessor.
    is_inherited: bool,
    /// Whether the next batch replaces the record.
    is_due: bool,
}

impl Recorded {
    /// Returns whether the next batch replaces the record.
    pub(super) const fn is_due(&self) -> bool {
        self.is_due
    }
}

impl Executor {
    /// Returns whether a lease may be granted: no lease end that was recorded would be exceeded.
    pub(super) const fn may_extend_lease(&self) -> bool {
        !self.lease_end_recorded
    }

    /// Returns an upper bound on the time left until all leases have ended that this owner has granted
    /// or that it found when the executor first answered.
    fn lease_left(&self, now: Time) -> Span {
        let left = self.deadline.0.saturating_sub(self.clock(now).0);
        Span::from_ms(left).scale(1.0 / SLOWEST_CLOCK) + LEASE_MARGIN
    }

    fn is_silent(&self, now: Time) -> bool {
        let since = self.unreachable_since;
        !self.open_tasks.is_empty() && since.is_some_and(|at| now.since(at) >= MIN_SILENCE)
    }
}

impl Shard {
    /// Takes over the lease ends that the predecessor recorded.
    pub(super) fn restore_lease_ends(&mut self, recorded: &[LeaseEnd]) {
        let ends = recorded.iter().map(|end| (end.executor.clone(), end.left + LEASE_MARGIN));
        self.lease_ends.inherited = ends.collect();
        self.lease_ends.is_inherited = !recorded.is_empty();
        self.lease_ends.executors = self.lease_ends.inherited.keys().cloned().collect();
        self.update_recorded_flags();
    }

    /// Returns an upper bound on the time from the takeover until the leases that predecessors
    /// granted to an executor have ended, and what gives it.
    ///
    /// An executor that has restarted since may grant its longest lease for any deadline of theirs
    /// that reaches it.
    pub(super) fn longest_inherited_lease(
        &self,
        id: &ExecutorId,
        has_restarted: bool,
    ) -> (Span, LeaseBound) {
        let settings = self.settings;
        if has_restarted {
            let grace = settings.predecessor_grace + settings.max_order_delay;
            return (grace + settings.max_lease, LeaseBound::Restarted);
        }
        let lease = settings.lease.scale(1.0 / SLOWEST_CLOCK) + LEASE_MARGIN;
        let longest = settings.predecessor_grace + lease;
        match self.lease_ends.inherited.get(id).filter(|recorded| **recorded < longest) {
            Some(recorded) => (*recorded, LeaseBound::Recorded),
            None => (longest, LeaseBound::Longest),
        }
    }

    /// Returns whether the lease end of an executor is recorded, or may be.
    pub(super) fn is_lease_end_recorded(&self, id: &ExecutorId) -> bool {
        self.lease_ends.executors.contains(id)
    }

    /// Checks whether the executors that do not answer are others than those in the record.
    pub(super) fn check_lease_ends(&mut self, now: Time) {
        let is_current = self.silent_executors(now).map(|(id, _)| id).eq(&self.lease_ends.latest);
        self.lease_ends.is_due = self.lease_ends.is_inherited || !is_current;
    }

    /// Returns the lease ends to record with the next batch, if they have changed.
    pub(super) fn next_lease_ends(&mut self, now: Time) -> Option<Vec<LeaseEnd>> {
        if !std::mem::take(&mut self.lease_ends.is_due) {
            return None;
        }
        let end = |(id, executor): (&ExecutorId, &Executor)| LeaseEnd {
            executor: id.clone(),
            left: match executor.fenced {
                true => executor.lease_left(now),
                false => self.inherited_end(executor).map_or(Span::MAX, |end| end.since(now)),
            },
        };
        let ends: Vec<LeaseEnd> = self.silent_executors(now).map(end).collect();
        self.lease_ends.is_inherited = false;
        self.lease_ends.latest = ends.iter().map(|end| end.executor.clone()).collect();
        self.lease_ends.executors.extend(self.lease_ends.latest.iter().cloned());
        self.update_recorded_flags();
        Some(ends)
    }

    fn silent_executors(&self, now: Time) -> impl Iterator<Item = (&ExecutorId, &Executor)> {
        let silent = self.executors.iter().filter(move |(_, executor)| executor.is_silent(now));
        let silent =
            silent.filter(|(_, found)| found.fenced || self.inherited_end(found).is_some());
        let mut left = self.settings.max_row_bytes / 2;
        silent.take_while(move |(id, _)| {
            let bytes = json_field_bytes(id.as_str());
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        })
    }

    /// Notes that the lease ends sent last are recorded, in place of all earlier ones.
    pub(super) fn end_record_of_lease_ends(&mut self) {
        self.lease_ends.executors.clone_from(&self.lease_ends.latest);
        self.update_recorded_flags();
    }

    fn update_recorded_flags(&mut self) {
        for (id, executor) in &mut self.executors {
            let recorded = self.lease_ends.executors.contains(id);
            if executor.lease_end_recorded && !recorded {
                self.probe_candidates.insert(id.clone());
                self.released.insert(id.clone());
                self.placement_due = true;
            }
            executor.lease_end_recorded = recorded;
        }
    }
}
