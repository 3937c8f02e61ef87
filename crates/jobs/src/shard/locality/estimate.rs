//! Learned run times, release intervals of racks and outcomes of waits.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use crate::id::{Image, QueueName};
use crate::spec::Step;

/// Maximum number of classes of tasks whose run times are learned apart.
const MAX_CLASSES: usize = 512;
/// Number of runs of a class from which on its own run times are used.
const MIN_RUNS: u32 = 5;
/// Least weight of the latest run in a mean.
const MIN_WEIGHT: f64 = 0.05;
/// Bounds on the ratio of one actual run time to its estimate, against single runs that stood
/// still.
const RATIOS: (f64, f64) = (0.1, 10.0);
/// Relative error of a run time before it is learned. Estimates are off by 0.2 to 0.5.
const INITIAL_ERROR: f64 = 0.4;
/// Bounds on the relative error that is used.
const ERRORS: (f64, f64) = (0.1, 0.8);
/// Part of its run time so far that a run is expected to go on for at least. Runs that are longer
/// than expected go on for longer the longer they have run.
const OVERDUE_FRACTION: f64 = 0.25;
/// Probability that a wait ends at a near place, before it is learned.
const INITIAL_SUCCESS: f64 = 0.9;
/// Weight of the latest outcome of a wait.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Time in which learned outcomes lose most of their weight. Without it, a rack on which waits
/// failed would never be waited for again, and nothing new learned of it.
const OUTCOME_MEMORY: Span = Span::from_secs(10);

/// What tasks are alike in their run times.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Tasks of one image.
    Image(Image),
    /// Tasks without an image, of the jobs of one queue.
    Queue(QueueName),
}

/// An expected run time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    pub(super) run: Span,
    /// Relative error.
    pub(super) error: f64,
}

/// Run times of one class.
#[derive(Clone, Copy, Debug, Default)]
struct RunTime {
    runs: u32,
    mean_ms: f64,
    /// Mean ratio of the run time to its estimate.
    ratio: f64,
    /// Mean relative error of `mean_ms`.
    mean_error: f64,
    /// Mean relative error of the estimate times `ratio`.
    ratio_error: f64,
}

/// Learned run times by class.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    classes: BTreeMap<Class, RunTime>,
    /// Run times of all classes.
    all: RunTime,
}

/// What was learned of a rack.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Observed {
    last_release: Option<Time>,
    interval_ms: Option<f64>,
    /// Difference of the probability that a wait succeeds from [`INITIAL_SUCCESS`], and when it
    /// was learned.
    outcome: Option<(f64, Time)>,
}

impl RunTime {
    fn learn(&mut self, actual_ms: f64, estimate_ms: f64) {
        let weight = (1.0 / (f64::from(self.runs) + 1.0)).max(MIN_WEIGHT);
        let move_to = |mean: &mut f64, value: f64| *mean += weight * (value - *mean);
        if self.runs > 0 {
            let error = |expected: f64| ((expected - actual_ms).abs() / actual_ms).min(1.0);
            move_to(&mut self.mean_error, error(self.mean_ms));
            move_to(&mut self.ratio_error, error(self.ratio * estimate_ms));
        }
        move_to(&mut self.mean_ms, actual_ms);
        if estimate_ms > 0.0 {
            move_to(&mut self.ratio, (actual_ms / estimate_ms).clamp(RATIOS.0, RATIOS.1));
        }
        self.runs = self.runs.saturating_add(1);
    }

    /// Returns the expected run time by the better of the mean and the corrected estimate.
    fn expect(&self, estimate_ms: f64) -> Expected {
        let by_estimate = self.ratio * estimate_ms;
        let uses_mean = by_estimate <= 0.0 || self.mean_error < self.ratio_error;
        let (ms, error) = match uses_mean {
            true => (self.mean_ms, self.mean_error),
            false => (by_estimate, self.ratio_error),
        };
        Expected { run: Span::from_ms_f64(ms), error: error.clamp(ERRORS.0, ERRORS.1) }
    }
}

impl RunTimes {
    /// Records that a task has run for `actual` at a near place.
    pub(super) fn learn(&mut self, queue: &QueueName, step: &Step, actual: Span) {
        let actual_ms = actual.as_ms_f64().max(1.0);
        let estimate_ms = step.estimate_ms as f64;
        self.all.learn(actual_ms, estimate_ms);
        let class = class(queue, step);
        if self.classes.len() < MAX_CLASSES || self.classes.contains_key(&class) {
            self.classes.entry(class).or_default().learn(actual_ms, estimate_ms);
        }
    }

    /// Returns the expected run time of a task at a near place; `None` without an estimate or
    /// runs to learn from.
    pub(super) fn expect(&self, queue: &QueueName, step: &Step) -> Option<Expected> {
        let estimate_ms = step.estimate_ms as f64;
        let of_class = self.classes.get(&class(queue, step)).filter(|own| own.runs >= MIN_RUNS);
        if let Some(own) = of_class {
            return Some(own.expect(estimate_ms));
        }
        let ratio = if self.all.runs >= MIN_RUNS { self.all.ratio } else { 1.0 };
        let run = Span::from_ms_f64(estimate_ms * ratio);
        (step.estimate_ms > 0).then_some(Expected { run, error: INITIAL_ERROR })
    }
}

fn class(queue: &QueueName, step: &Step) -> Class {
    let of_queue = || Class::Queue(queue.clone());
    step.image.clone().map_or_else(of_queue, Class::Image)
}

/// Returns how long a run is expected to go on that has run for `elapsed`, and for `reported.1` when
/// it last reported its progress of `reported.0` percent.
pub(super) fn remaining(expected: Span, elapsed: Span, reported: (u32, Span)) -> Span {
    let total = match reported {
        (percent @ 5..=99, ran) => ran.scale(100.0 / f64::from(percent)),
        _ => expected,
    };
    total.saturating_sub(elapsed).max(elapsed.scale(OVERDUE_FRACTION))
}

impl Observed {
    /// Records that a run on the rack has ended.
    pub(super) fn note_release(&mut self, now: Time) {
        let passed = self.last_release.replace(now).map(|last| now.since(last).as_ms_f64());
        if let Some(passed) = passed {
            let mean = self.interval_ms.get_or_insert(passed);
            *mean += OUTCOME_WEIGHT * (passed - *mean);
        }
    }

    /// Returns the mean time between two ends of runs on the rack.
    pub(super) fn interval(&self) -> Option<Span> {
        self.interval_ms.map(Span::from_ms_f64)
    }

    /// Records whether a wait ended at a near place.
    pub(super) fn note_outcome(&mut self, now: Time, is_near: bool) {
        let target = if is_near { 1.0 } else { 0.0 } - INITIAL_SUCCESS;
        let difference = self.difference(now);
        self.outcome = Some((difference + OUTCOME_WEIGHT * (target - difference), now));
    }

    /// Returns the probability that a wait ends at a near place.
    pub(super) fn success(&self, now: Time) -> f64 {
        INITIAL_SUCCESS + self.difference(now)
    }

    fn difference(&self, now: Time) -> f64 {
        self.outcome.map_or(0.0, |(difference, at)| {
            difference * (-now.since(at).as_ms_f64() / OUTCOME_MEMORY.as_ms_f64()).exp()
        })
    }
}
