//! Tells a worker that fails everything from a task that fails everywhere.
//!
//! Each class has a moving rate of failures. A failure counts against its worker
//! by how unlikely it is for the class: a cumulative sum of log likelihood ratios
//! of "the worker is broken" against "the class fails at its usual rate".

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use crate::cell::key;

/// Rate of failures of a class of which nothing is known.
const DEFAULT_FAILURE_RATE: f64 = 0.02;
/// Rate of failures on a broken worker.
const BROKEN_WORKER_FAILURE_RATE: f64 = 0.95;
/// Weight of a new outcome in the rate of a class.
const FAILURE_RATE_GAIN: f64 = 0.05;
/// Evidence at which a worker is quarantined: odds of 1,000 to 1.
const QUARANTINE_THRESHOLD: f64 = 6.9;
/// First and longest time in quarantine.
const QUARANTINE: (Span, Span) = (Span::from_secs(60), Span::from_secs(900));

/// Evidence against one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultEvidence {
    score: f64,
    quarantined_until: Time,
    quarantines: u32,
    /// Tasks whose failure counted against them before the worker was found broken.
    charged_tasks: Vec<key::Task>,
}

impl FaultEvidence {
    pub(crate) fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Returns when the quarantine ends.
    pub(crate) const fn quarantined_until(&self) -> Time {
        self.quarantined_until
    }

    /// Reports whether some evidence stands against the worker.
    pub(crate) fn is_suspect(&self) -> bool {
        self.score > 0.0
    }
}

/// Rates of failures by class.
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

    /// Takes a finished task.
    pub(crate) fn finished(&mut self, class: key::Class, evidence: &mut FaultEvidence) {
        let ratio = (1.0 - BROKEN_WORKER_FAILURE_RATE) / (1.0 - self.rate(class));
        evidence.score = (evidence.score + ratio.ln()).max(0.0);
        if evidence.score == 0.0 {
            evidence.charged_tasks.clear();
            evidence.quarantines = 0;
        }
        self.observe(class, false);
    }

    /// Takes a failed task; returns the tasks to absolve when the worker is quarantined.
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
            now + first.times(1 << evidence.quarantines.min(10)).min(longest);
        evidence.quarantines += 1;
        // One more failure after the quarantine is enough for the next one.
        evidence.score = QUARANTINE_THRESHOLD - 1.0;
        Some(std::mem::take(&mut evidence.charged_tasks))
    }
}
