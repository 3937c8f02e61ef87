//! Quarantine of executors on which runs of several jobs fail, as opposed to tasks that fail
//! everywhere.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use crate::id::JobId;

/// Number of different jobs with a failed run, without a successful run in between, at which an
/// executor is quarantined.
const MIN_FAILED_JOBS: usize = 3;
/// Duration of the first quarantine after a successful run; each further one is twice as long.
const MIN_QUARANTINE: Span = Span::from_ms(1_500);
/// Upper bound on the duration of a quarantine.
const MAX_QUARANTINE: Span = Span::from_ms(12_000);

/// Failure history of an executor.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Jobs with a failed run since the last successful run.
    failed_jobs: BTreeSet<JobId>,
    /// End of the latest quarantine.
    quarantined_until: Time,
    /// Duration of the latest quarantine, zero after a successful run.
    quarantine: Span,
}

impl Health {
    /// Records a successful run, which clears the history.
    pub(super) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.quarantine = Span::ZERO;
    }

    /// Records a failed run of `job`; returns the duration of the quarantine that begins, if
    /// any.
    pub(super) fn failed(&mut self, now: Time, job: JobId) -> Option<Span> {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < MIN_FAILED_JOBS || self.is_quarantined(now) {
            return None;
        }
        Some(self.begin_quarantine(now))
    }

    /// Records that the executor refused a start as unhealthy; returns the duration of the
    /// quarantine that begins.
    pub(super) fn refused(&mut self, now: Time) -> Span {
        self.begin_quarantine(now)
    }

    fn begin_quarantine(&mut self, now: Time) -> Span {
        self.quarantine = self.quarantine.saturating_mul(2).max(MIN_QUARANTINE).min(MAX_QUARANTINE);
        self.quarantined_until = now + self.quarantine;
        self.quarantine
    }

    /// Returns whether the executor is quarantined at `now`.
    pub(super) fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Returns whether runs of enough jobs for a quarantine have failed and none has succeeded
    /// since. Placement then prefers other executors.
    pub(super) fn is_on_probation(&self) -> bool {
        self.failed_jobs.len() >= MIN_FAILED_JOBS
    }
}
