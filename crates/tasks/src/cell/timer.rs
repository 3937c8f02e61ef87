//! The timers of a cell.

use std::collections::BTreeSet;

use sycamorerill_core::clock::Time;

use super::key;

/// Action to take when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerAction {
    /// Checks the exchanges and leases of a worker.
    CheckWorker(key::Worker),
    /// Checks whether a job missed its deadline.
    CheckDeadline(key::Job),
    /// Makes a task ready for placement after a backoff.
    MakeReady(key::Task),
    /// Tries the blocked jobs again.
    RetryBlocked,
    /// Repeats the offer of a job to its receiver.
    RepeatOffer(key::Job),
    /// Purges jobs whose retention has passed.
    PurgeEnded,
}

/// The pending timers of a cell, ordered by instant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timer {
    wakes: BTreeSet<(Time, TimerAction)>,
}

impl Timer {
    pub(crate) fn set(&mut self, at: Time, wake: TimerAction) {
        self.wakes.insert((at, wake));
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<TimerAction> {
        let due = self.wakes.first().is_some_and(|(at, _)| *at <= now);
        if !due {
            return None;
        }
        self.wakes.pop_first().map(|(_, wake)| wake)
    }
}
