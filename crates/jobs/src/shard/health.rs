//! Executors that fail what they start, told apart from tasks that fail everywhere.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use crate::id::JobId;

/// Failures in a row, of different jobs, after which an executor gets no work.
const MAX_FAILED_JOBS: usize = 3;
/// First pause of an executor that fails what it starts.
const MIN_QUARANTINE: Span = Span::from_ms(1_500);
/// Longest pause of an executor that fails what it starts.
const MAX_QUARANTINE: Span = Span::from_ms(12_000);

/// What an executor's runs say of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Jobs that failed there since a run was last done.
    failed_jobs: BTreeSet<JobId>,
    /// It gets no work until then.
    quarantined_until: Time,
    /// Length of the latest pause.
    quarantine: Span,
}

impl Health {
    /// Takes that a run was done there.
    pub(super) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.quarantine = Span::ZERO;
    }

    /// Takes that a run of `job` failed there; returns the pause that begins, if one does.
    pub(super) fn failed(&mut self, now: Time, job: JobId) -> Option<Span> {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < MAX_FAILED_JOBS || self.is_quarantined(now) {
            return None;
        }
        Some(self.begin_quarantine(now))
    }

    /// Takes that it refused a start as unhealthy; returns the pause that begins.
    pub(super) fn refused(&mut self, now: Time) -> Span {
        self.begin_quarantine(now)
    }

    fn begin_quarantine(&mut self, now: Time) -> Span {
        self.quarantine = self.quarantine.times(2).max(MIN_QUARANTINE).min(MAX_QUARANTINE);
        self.quarantined_until = now + self.quarantine;
        self.quarantine
    }

    /// Reports whether it gets no work at `now`.
    pub(super) fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Reports whether it has failed lately and only earns trust back.
    pub(super) fn is_on_probation(&self) -> bool {
        self.failed_jobs.len() >= MAX_FAILED_JOBS
    }
}
