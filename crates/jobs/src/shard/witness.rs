//! Executors that show whether a successor has taken the shard over.
//!
//! An owner whose claim is not confirmed may have been replaced, or the store may be away for all
//! instances. A successor asks the executors before anything else, and they refuse lower epochs from
//! then on. So an owner that most executors have just answered has no successor that reaches half of
//! them, and a successor takes no lease for ended before it has reached half.

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::evidence::LeaseBound;
use super::executors::Executor;
use crate::id::ExecutorId;

/// Time after the last confirmed write from which on witnesses are asked: two renewals were missed.
const ASK_AFTER: Span = Span::from_ms(1_000);
/// Number of executors that are asked, since each probe has a cost.
const MAX_WITNESSES: usize = 12;
/// Wait of a probe that a witness answers. Two of them in turn are answered within `MAX_AGE` where an
/// exchange takes up to 0.3 s.
pub(super) const PROBE_WAIT: Span = Span::from_ms(200);
/// Longest time since a probe was sent that a witness has answered. With the time that a successor
/// needs to reach the executors, it is less than `Settings::predecessor_grace`.
const MAX_AGE: Span = Span::from_ms(1_000);
/// Time from a takeover until the successor has reached half of the executors that is part of
/// `Settings::predecessor_grace`.
const MAX_REACH: Span = Span::from_ms(500);

impl Shard {
    /// Sets when the last confirmed write under the claim was sent.
    ///
    /// Until it is first called, the claim counts as confirmed.
    pub const fn set_confirmed(&mut self, at: Time) {
        self.confirmed_at = at;
    }

    /// Returns whether leases may be renewed: no successor can exist yet that takes them for ended,
    /// or most witnesses show that there is none.
    pub(super) fn may_renew_leases(&self, now: Time) -> bool {
        if now.since(self.confirmed_at) <= self.settings.predecessor_grace {
            return true;
        }
        let witnesses = || self.witnesses.iter().filter_map(|id| self.executors.get(id));
        let agree = witnesses().filter(|found| found.accepted_epoch_since(now, MAX_AGE)).count();
        agree * 2 > witnesses().count()
    }

    /// Chooses the witnesses and has them asked while the claim is not confirmed.
    pub(super) fn ask_witnesses(&mut self, now: Time) {
        self.witnesses.clear();
        if now.since(self.confirmed_at) < ASK_AFTER {
            return;
        }
        let listed = || self.executors.iter().filter(|(_, found)| found.present);
        let distance = listed().count().div_ceil(MAX_WITNESSES).max(1);
        let chosen: Vec<ExecutorId> =
            listed().step_by(distance).map(|(id, _)| id.clone()).collect();
        self.probe_candidates.extend(chosen.iter().cloned());
        self.witnesses.extend(chosen);
    }
}

impl Shard {
    /// Notes when this owner has reached half of the listed executors.
    ///
    /// From then on no predecessor has most of the witnesses on its side, so leases that it granted
    /// end. An owner that reaches fewer may be the one that is cut off.
    pub(super) fn note_reach(&mut self, now: Time) {
        if self.reached_at.is_some() {
            return;
        }
        let listed = || self.executors.values().filter(|found| found.present);
        let reached = listed().filter(|found| found.answered_sent > Time::ZERO).count();
        if reached * 2 >= listed().count() {
            self.reached_at = Some(now);
        }
    }

    /// Returns when the leases that predecessors granted to an executor have ended, unless it answers
    /// before; `None` while they may still be renewed.
    pub(super) fn inherited_end(&self, executor: &Executor) -> Option<Time> {
        if executor.inherited_bound == LeaseBound::Recorded {
            return Some(executor.inherited_until);
        }
        let took = self.reached_at?.since(self.restored_at);
        Some(executor.inherited_until + took.saturating_sub(MAX_REACH))
    }
}

impl Executor {
    /// Returns whether the executor has answered a probe of this owner that was sent within `age`.
    fn accepted_epoch_since(&self, now: Time, age: Span) -> bool {
        self.answered_sent > Time::ZERO && now.since(self.answered_sent) <= age
    }
}
