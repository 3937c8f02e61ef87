//! Distinguishes a worker that fails every task from a task that fails on every worker.
//!
//! Each class has a moving average of its failure rate. Each outcome adds a log
//! likelihood ratio to the score of its worker: "the worker is broken" against "the
//! class fails at its usual rate". A failure therefore weighs more, the rarer
//! failures of the class are (a CUSUM test).

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use crate::cell::key;

/// Failure rate assumed for a class without outcomes.
const DEFAULT_FAILURE_RATE: f64 = 0.02;
/// Failure rate assumed for a broken worker.
const BROKEN_WORKER_FAILURE_RATE: f64 = 0.95;
/// Weight of a new outcome in the moving average of a class.
const FAILURE_RATE_GAIN: f64 = 0.05;
/// Score at which a worker is quarantined: odds of 1,000 to 1, as ln(1000) = 6.9.
const QUARANTINE_THRESHOLD: f64 = 6.9;
/// Duration of the first quarantine, which doubles each time, and its upper limit.
const QUARANTINE: (Span, Span) = (Span::from_secs(60), Span::from_secs(900));

/// Evidence that a worker is broken.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultEvidence {
    score: f64,
    quarantined_until: Time,
    quarantines: u32,
    /// Tasks charged with a failed attempt on the worker since the score was last 0 or the
    /// last quarantine began.
    charged_tasks: Vec<key::Task>,
}

impl FaultEvidence {
    pub(crate) fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Returns the end of the last quarantine.
    pub(crate) const fn quarantined_until(&self) -> Time {
        self.quarantined_until
    }

    /// Returns whether recent failures count against the worker.
    pub(crate) fn is_suspect(&self) -> bool {
        self.score > 0.0
    }
}

/// Failure rates by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRates {
    rates: BTreeMap<key::Class, f64>,
}

impl FailureRates {
    fn rate(&self, class: key::Class) -> f64 {
        self.rates.get(&class).copied().unwrap_or(DEFAULT_FAILURE_RATE).clamp(0.005, 0.99)
    }

    fn observe(&mut self, class: key::Class, failed: bool) {
        let rate = self.rate(class);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.rates.insert(class, rate + FAILURE_RATE_GAIN * (outcome - rate));
    }

    /// Records a finished task.
    pub(crate) fn finished(&mut self, class: key::Class, evidence: &mut FaultEvidence) {
        let ratio = (1.0 - BROKEN_WORKER_FAILURE_RATE) / (1.0 - self.rate(class));
        evidence.score = (evidence.score + ratio.ln()).max(0.0);
        if evidence.score == 0.0 {
            evidence.charged_tasks.clear();
            evidence.quarantines = 0;
        }
        self.observe(class, false);
    }

    /// Records a failed task.
    ///
    /// If this quarantines the worker, returns the tasks whose failed attempt on the worker
    /// is not counted.
    pub(crate) fn failed(
        &mut self,
        class: key::Class,
        task: key::Task,
        evidence: &mut FaultEvidence,
        may_quarantine: bool,
        now: Time,
    ) -> Option<Vec<key::Task>> {
        let ratio = BROKEN_WORKER_FAILURE_RATE / self.rate(class);
        evidence.score = (evidence.score + ratio.ln()).max(0.0);
        evidence.charged_tasks.push(task);
        evidence.score = evidence.score.min(QUARANTINE_THRESHOLD);
        if evidence.score < QUARANTINE_THRESHOLD || !may_quarantine {
            self.observe(class, true);
            return None;
        }
        let (first, longest) = QUARANTINE;
        evidence.quarantined_until =
            now + first.saturating_mul(1 << evidence.quarantines.min(10)).min(longest);
        evidence.quarantines += 1;
        // After the quarantine one failure of a class that seldom fails is enough for the next.
        evidence.score = QUARANTINE_THRESHOLD - 1.0;
        Some(std::mem::take(&mut evidence.charged_tasks))
    }
}
