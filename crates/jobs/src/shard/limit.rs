//! Processor limit of a run, as ordered and as known to be in force.
//!
//! An executor may apply a limit seconds after newer ones if it did not answer the order. Such an
//! order leaves the limit in doubt until it can't be carried out any more, and for that time the
//! present limit is ordered again now and then. The limits that a predecessor ordered are not
//! recorded, so those of inherited runs are in doubt as well until they are ordered, or the run is
//! seen to have its processor time. Orders of the predecessor itself come too late by then: they
//! are of a lower epoch.

use sycamorerill_core::clock::{Span, Time};

use crate::executor::Outcome;

/// Limit of a run that gets all the processor time that it requests, in percent.
const UNLIMITED: u32 = 100;
/// Time between two orders of a limit that is in doubt while no task is over its objective.
const REPEAT_INTERVAL: Span = Span::from_ms(2_000);
/// Fraction of its requested processor time that a run uses at least if it is not limited, as a
/// divisor and a factor: reports are rough.
const UNLIMITED_USE: (u64, u64) = (10, 9);

/// Processor limit of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    percent: u32,
    /// When it was last ordered.
    sent: Time,
    /// Whether the executor has answered the latest order.
    is_answered: bool,
    /// Time until which an earlier order without an answer may still be carried out, if an answer
    /// to a later one is still to come.
    disputed_until: Option<Time>,
}

impl Limit {
    /// Returns the limit of a run that is started now: none.
    pub(super) const fn none() -> Self {
        Self { percent: UNLIMITED, sent: Time::ZERO, is_answered: true, disputed_until: None }
    }

    /// Returns the limit of a run of a predecessor, which is not known.
    pub(super) const fn inherited() -> Self {
        Self { is_answered: false, ..Self::none() }
    }

    /// Returns the limit last ordered, in percent of the requested processor time.
    pub(super) const fn percent(&self) -> u32 {
        self.percent
    }

    /// Returns whether the executor has answered the latest order.
    pub(super) const fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Returns whether the limit is to be ordered again, given whether a task next to the run is
    /// over its objective.
    pub(super) fn is_repeat_due(&self, now: Time, is_over: bool) -> bool {
        let is_in_turn = is_over || now.since(self.sent) >= REPEAT_INTERVAL;
        !self.is_answered || (self.disputed_until.is_some() && is_in_turn)
    }

    /// Notes that a limit is ordered.
    pub(super) const fn order(&mut self, now: Time, percent: u32) {
        self.percent = percent;
        self.sent = now;
        self.is_answered = false;
    }

    /// Notes the outcome of an order; without an answer it may be carried out within `max_delay`.
    /// Returns whether the limit last ordered is in force for now.
    pub(super) fn note_outcome(&mut self, percent: u32, outcome: Outcome, max_delay: Span) -> bool {
        let is_latest = percent == self.percent;
        if outcome == Outcome::Unknown {
            self.disputed_until = self.disputed_until.max(Some(self.sent + max_delay));
        }
        if is_latest && matches!(outcome, Outcome::Done(_)) {
            self.is_answered = true;
            self.disputed_until = self.disputed_until.filter(|until| self.sent < *until);
        }
        self.is_answered
    }

    /// Notes the processor time that the run uses of what it requests. An inherited run that uses
    /// nearly all of it is not limited.
    pub(super) fn note_use(&mut self, used: u64, requested: u64) {
        let is_inherited = self.sent == Time::ZERO;
        // Both are numbers of other processes.
        let (divisor, factor) = UNLIMITED_USE;
        let is_unlimited = used.saturating_mul(divisor) >= requested.saturating_mul(factor);
        self.is_answered |= is_inherited && is_unlimited;
    }
}
