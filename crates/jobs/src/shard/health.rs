//! Executors that fail what they start, told apart from tasks that fail everywhere.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use crate::id::JobId;

/// Failures in a row, of different jobs, after which an executor gets no work.
const STRIKES: usize = 3;
/// First pause of an executor that fails what it starts.
const FIRST_PAUSE: Span = Span::from_ms(1_500);
/// Longest pause of an executor that fails what it starts.
const LONGEST_PAUSE: Span = Span::from_ms(12_000);

/// What an executor's runs say of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Jobs that failed there since a run was last done.
    failed: BTreeSet<JobId>,
    /// It gets no work until then.
    paused: Time,
    /// Length of the latest pause.
    pause: Span,
}

impl Health {
    /// Takes that a run was done there.
    pub(super) fn succeeded(&mut self) {
        self.failed.clear();
        self.pause = Span::ZERO;
    }

    /// Takes that a run of `job` failed there; returns the pause that begins, if one does.
    pub(super) fn failed(&mut self, now: Time, job: JobId) -> Option<Span> {
        self.failed.insert(job);
        if self.failed.len() < STRIKES || self.is_paused(now) {
            return None;
        }
        Some(self.begin_pause(now))
    }

    /// Takes that it refused a start as unhealthy; returns the pause that begins.
    pub(super) fn refused(&mut self, now: Time) -> Span {
        self.begin_pause(now)
    }

    fn begin_pause(&mut self, now: Time) -> Span {
        self.pause = self.pause.times(2).max(FIRST_PAUSE).min(LONGEST_PAUSE);
        self.paused = now + self.pause;
        self.pause
    }

    /// Reports whether it gets no work at `now`.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        now < self.paused
    }

    /// Reports whether it has failed lately and only earns trust back.
    pub(super) fn is_doubted(&self) -> bool {
        self.failed.len() >= STRIKES
    }
}
