//! Executors that show whether a successor has taken the shard over.
//!
//! An owner whose claim is not confirmed may have been replaced, or the store may be away for all
//! instances. A successor asks the executors before anything else, and they refuse lower epochs from
//! then on. So an owner that two thirds of them have just answered has no successor that has reached
//! half of them, and a successor takes no lease for ended before it has.

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::evidence::LeaseBound;
use super::executors::Executor;
use crate::id::ExecutorId;

/// Time after the last confirmed write from which on witnesses are asked: two renewals were missed.
const ASK_AFTER: Span = Span::from_ms(1_000);
/// Number of executors that are asked, since each probe has a cost.
const MAX_WITNESSES: usize = 16;
/// Wait of a probe that a witness answers. Two of them in turn are answered within `MAX_AGE` where an
/// exchange takes up to 0.4 s.
pub(super) const PROBE_WAIT: Span = Span::from_ms(100);
/// Longest time since a probe was sent that a witness has answered. With the time that a successor
/// needs to reach the executors, it is less than `Settings::predecessor_grace`.
const MAX_AGE: Span = Span::from_ms(1_000);
/// Time from a takeover until the successor has reached half of the executors that is part of
/// `Settings::predecessor_grace`.
const MAX_REACH: Span = Span::from_ms(500);
/// Time after a takeover from which on executors that are no longer listed count as gone, so that they
/// need not be reached.
const PATIENCE: Span = Span::from_ms(30_000);

impl Shard {
    /// Sets when the last confirmed write under the claim was sent.
    ///
    /// Until it is first called, the claim counts as confirmed.
    pub const fn set_confirmed(&mut self, at: Time) {
        self.confirmed_at = at;
    }

    /// Returns whether leases may be renewed: no successor can exist yet that takes them for ended,
    /// or two thirds of the witnesses show that there is none.
    pub(super) fn may_renew_leases(&self, now: Time) -> bool {
        if now.since(self.confirmed_at) <= self.settings.predecessor_grace {
            return true;
        }
        let witnesses = || self.witnesses.iter().filter_map(|id| self.executors.get(id));
        let agree = witnesses().filter(|found| found.accepts_epoch(now, self.confirmed_at)).count();
        agree * 3 >= witnesses().count() * 2 && agree > 0
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
    /// Notes the executors that were listed, or had recorded runs, at the takeover.
    pub(super) fn note_known(&mut self) {
        self.known = self.executors.keys().cloned().collect();
    }

    /// Notes when this owner has reached half of the executors that were known at the takeover.
    ///
    /// From then on no predecessor has two thirds of the witnesses on its side, so leases that it
    /// granted end. An owner that reaches fewer may be the one that is cut off, and entries of executors on the
    /// other side may vanish.
    pub(super) fn note_reach(&mut self, now: Time) {
        if self.reached_at.is_some() {
            return;
        }
        let is_patient = now.since(self.restored_at) < PATIENCE;
        let is_gone = |id: &&ExecutorId| !self.executors.get(*id).is_some_and(|e| e.present);
        let needed = self.known.iter().filter(|id| is_patient || !is_gone(id)).count();
        let has_answered = |id: &&ExecutorId| {
            self.executors.get(*id).is_some_and(|found| found.answered_sent > Time::ZERO)
        };
        let reached = self.known.iter().filter(has_answered).count();
        if reached * 2 >= needed {
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
    /// Returns whether the executor has just answered a probe of this owner, in an incarnation that was
    /// known before `confirmed_at`: a later one may have forgotten the epoch of a successor.
    fn accepts_epoch(&self, now: Time, confirmed_at: Time) -> bool {
        let is_fresh = now.since(self.answered_sent) <= MAX_AGE;
        is_fresh && self.answered_sent > Time::ZERO && self.restarted_at <= confirmed_at
    }
}
