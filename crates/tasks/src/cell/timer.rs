//! Instants at which a cell has something to do.

use std::collections::BTreeSet;

use sycamorerill_core::clock::Time;

use super::key;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wake {
    /// See to the exchanges and leases of a worker.
    CheckWorker(key::Worker),
    /// See whether a job missed its deadline.
    CheckDeadline(key::Job),
    /// Let a task be placed again.
    MakeReady(key::Task),
    /// Try the jobs that found no room again.
    RetryBlocked,
    /// Offer a job again.
    RepeatOffer(key::Job),
    /// Forget jobs that ended long ago.
    PurgeEnded,
}

/// Wakes in the order of their instants.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timer {
    wakes: BTreeSet<(Time, Wake)>,
}

impl Timer {
    pub(crate) fn set(&mut self, at: Time, wake: Wake) {
        self.wakes.insert((at, wake));
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Takes the first wake that is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Wake> {
        let due = self.wakes.first().is_some_and(|(at, _)| *at <= now);
        if !due {
            return None;
        }
        self.wakes.pop_first().map(|(_, wake)| wake)
    }
}
