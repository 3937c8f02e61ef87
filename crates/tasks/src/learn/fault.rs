//! Tells a worker that fails everything from a task that fails everywhere.
//!
//! Each class has a moving rate of failures. A failure counts against its worker
//! by how unlikely it is for the class: a cumulative sum of log likelihood ratios
//! of "the worker is broken" against "the class fails at its usual rate".

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use crate::cell::key;

/// Rate of failures of a class of which nothing is known.
const USUAL_RATE: f64 = 0.02;
/// Rate of failures on a broken worker.
const BROKEN_RATE: f64 = 0.95;
/// Weight of a new outcome in the rate of a class.
const RATE_GAIN: f64 = 0.05;
/// Evidence at which a worker is quarantined: odds of 1,000 to 1.
const QUARANTINE_EVIDENCE: f64 = 6.9;
/// First and longest time in quarantine.
const QUARANTINE: (Span, Span) = (Span::from_secs(60), Span::from_secs(900));

/// Evidence against one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standing {
    evidence: f64,
    until: Time,
    times: u32,
    /// Tasks whose failure counted against them before the worker was found broken.
    blamed: Vec<key::Task>,
}

impl Standing {
    pub(crate) fn is_quarantined(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns when the quarantine ends.
    pub(crate) const fn until(&self) -> Time {
        self.until
    }

    /// Reports whether some evidence stands against the worker.
    pub(crate) fn is_suspect(&self) -> bool {
        self.evidence > 0.0
    }
}

/// Rates of failures by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    rates: BTreeMap<key::Class, f64>,
}

impl Faults {
    fn rate(&self, class: key::Class) -> f64 {
        self.rates.get(&class).copied().unwrap_or(USUAL_RATE).clamp(0.005, 0.99)
    }

    fn observe(&mut self, class: key::Class, failed: bool) {
        let rate = self.rate(class);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.rates.insert(class, rate + RATE_GAIN * (outcome - rate));
    }

    /// Takes a finished task.
    pub(crate) fn finished(&mut self, class: key::Class, standing: &mut Standing) {
        let ratio = (1.0 - BROKEN_RATE) / (1.0 - self.rate(class));
        standing.evidence = (standing.evidence + ratio.ln()).max(0.0);
        if standing.evidence == 0.0 {
            standing.blamed.clear();
            standing.times = 0;
        }
        self.observe(class, false);
    }

    /// Takes a failed task; returns the tasks to absolve when the worker is quarantined.
    pub(crate) fn failed(
        &mut self,
        class: key::Class,
        task: key::Task,
        standing: &mut Standing,
        may_quarantine: bool,
        now: Time,
    ) -> Option<Vec<key::Task>> {
        let ratio = BROKEN_RATE / self.rate(class);
        standing.evidence = (standing.evidence + ratio.ln()).max(0.0);
        standing.blamed.push(task);
        standing.evidence = standing.evidence.min(QUARANTINE_EVIDENCE);
        if standing.evidence < QUARANTINE_EVIDENCE || !may_quarantine {
            self.observe(class, true);
            return None;
        }
        let (first, longest) = QUARANTINE;
        standing.until = now + first.times(1 << standing.times.min(10)).min(longest);
        standing.times += 1;
        // One more failure after the quarantine is enough for the next one.
        standing.evidence = QUARANTINE_EVIDENCE - 1.0;
        Some(std::mem::take(&mut standing.blamed))
    }
}
