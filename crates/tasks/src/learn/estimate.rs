//! Corrections of declared sizes and run times, by class.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Cpu, Memory, Size};

use crate::cell::key;
use crate::worker::Usage;

/// Number of samples from which an estimate is used.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample in the moving average of a size.
const SIZE_GAIN: f64 = 1.0 / 16.0;
/// Weight of a new sample in the moving average of a run time.
const RUN_TIME_GAIN: f64 = 1.0 / 8.0;
/// Number of mean deviations by which an estimate exceeds the mean.
const DEVIATIONS: f64 = 2.0;
/// Smallest and largest factor by which a declared value is corrected.
const RATIO_RANGE: (f64, f64) = (0.1, 10.0);

/// Moving averages of a ratio of measured to declared value and of its deviation.
#[derive(Clone, Copy, Debug, Default)]
struct RatioEstimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl RatioEstimate {
    fn add(&mut self, sample: f64, gain: f64) {
        if !sample.is_finite() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh equally, so that the initial value has no influence.
        let gain = gain.max(1.0 / f64::from(self.samples));
        let error = sample - self.mean;
        self.mean += gain * error;
        if self.samples > 1 {
            self.deviation += gain * (error.abs() - self.deviation);
        }
    }

    fn upper_bound(&self) -> Option<f64> {
        let (least, most) = RATIO_RANGE;
        let bound = self.mean + DEVIATIONS * self.deviation;
        (self.samples >= MIN_SAMPLES).then(|| bound.clamp(least, most))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassEstimate {
    cpu: RatioEstimate,
    memory: RatioEstimate,
    run_time: RatioEstimate,
}

/// Estimated corrections of declared sizes and run times, by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    classes: BTreeMap<key::Class, ClassEstimate>,
}

impl Estimates {
    /// Records the measured usage of a task.
    pub(crate) fn observe(&mut self, class: key::Class, declared: Size, usage: &Usage) {
        let estimate = self.classes.entry(class).or_default();
        if declared.cpu().0 > 0 {
            estimate.cpu.add(usage.cpu.0 as f64 / declared.cpu().0 as f64, SIZE_GAIN);
        }
        if declared.memory().0 > 0 {
            estimate.memory.add(usage.memory.0 as f64 / declared.memory().0 as f64, SIZE_GAIN);
        }
    }

    /// Records the run time of a finished task.
    pub(crate) fn observe_run_time(&mut self, class: key::Class, declared: Span, run: Span) {
        if declared == Span::ZERO {
            return;
        }
        let estimate = self.classes.entry(class).or_default();
        estimate.run_time.add(run.as_ms_f64() / declared.as_ms_f64(), RUN_TIME_GAIN);
    }

    /// Returns the size to reserve for a task of size `declared`.
    pub(crate) fn size(&self, class: key::Class, declared: Size, margin: Share) -> Size {
        let Some(estimate) = self.classes.get(&class) else { return declared };
        let margin = 1.0 + margin.as_f64();
        let scale = |value: u64, ratio: &RatioEstimate| match ratio.upper_bound() {
            // While usage stays within the declared size, no margin beyond that size is needed.
            Some(bound) if bound <= 1.0 => {
                ((value as f64 * bound * margin).ceil() as u64).min(value)
            }
            Some(bound) => (value as f64 * bound * margin).ceil() as u64,
            None => value,
        };
        Size::new(
            Cpu(scale(declared.cpu().0, &estimate.cpu)),
            Memory(scale(declared.memory().0, &estimate.memory)),
            declared.accel(),
        )
    }

    /// Returns the expected run time of a task of run time `declared`.
    pub(crate) fn run_time(&self, class: key::Class, declared: Span) -> Span {
        let bound = self.classes.get(&class).and_then(|estimate| estimate.run_time.upper_bound());
        bound.map_or(declared, |ratio| declared.scale(ratio))
    }
}
