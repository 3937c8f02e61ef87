//! How far declared sizes and run times are off, by class.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Cpu, Memory, Size};

use crate::cell::key;
use crate::worker::Usage;

/// Samples before an estimate is used.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample of a size.
const SIZE_GAIN: f64 = 1.0 / 16.0;
/// Weight of a new sample of a run time.
const RUN_GAIN: f64 = 1.0 / 8.0;
/// Deviations above the mean that an estimate covers.
const DEVIATIONS: f64 = 2.0;
/// Smallest and largest correction of a declared value.
const RATIO_RANGE: (f64, f64) = (0.1, 10.0);

/// Mean and mean deviation of a ratio, both moving.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Ratio {
    fn add(&mut self, sample: f64, gain: f64) {
        if !sample.is_finite() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh equally, so that the estimate forgets its start.
        let gain = gain.max(1.0 / f64::from(self.samples));
        let error = sample - self.mean;
        self.mean += gain * error;
        if self.samples > 1 {
            self.deviation += gain * (error.abs() - self.deviation);
        }
    }

    fn cover(&self) -> Option<f64> {
        let (least, most) = RATIO_RANGE;
        let cover = self.mean + DEVIATIONS * self.deviation;
        (self.samples >= MIN_SAMPLES).then(|| cover.clamp(least, most))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    cpu: Ratio,
    memory: Ratio,
    run: Ratio,
}

/// Corrections of declared sizes and run times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sizes {
    classes: BTreeMap<key::Class, Learned>,
}

impl Sizes {
    /// Takes what one task was seen to use.
    pub(crate) fn observe(&mut self, class: key::Class, declared: Size, usage: &Usage) {
        let learned = self.classes.entry(class).or_default();
        if declared.cpu().0 > 0 {
            learned.cpu.add(usage.cpu.0 as f64 / declared.cpu().0 as f64, SIZE_GAIN);
        }
        if declared.memory().0 > 0 {
            learned.memory.add(usage.memory.0 as f64 / declared.memory().0 as f64, SIZE_GAIN);
        }
    }

    /// Takes the run time of a task that finished.
    pub(crate) fn observe_run(&mut self, class: key::Class, declared: Span, run: Span) {
        if declared == Span::ZERO {
            return;
        }
        let learned = self.classes.entry(class).or_default();
        learned.run.add(run.as_ms_f64() / declared.as_ms_f64(), RUN_GAIN);
    }

    /// Returns the size to reserve for a task of declared size `declared`.
    pub(crate) fn size(&self, class: key::Class, declared: Size, margin: Share) -> Size {
        let Some(learned) = self.classes.get(&class) else { return declared };
        let margin = 1.0 + margin.part();
        let scale = |value: u64, ratio: &Ratio| match ratio.cover() {
            // A declared size that is kept to needs no margin.
            Some(cover) if cover <= 1.0 => {
                ((value as f64 * cover * margin).ceil() as u64).min(value)
            }
            Some(cover) => (value as f64 * cover * margin).ceil() as u64,
            None => value,
        };
        Size::new(
            Cpu(scale(declared.cpu().0, &learned.cpu)),
            Memory(scale(declared.memory().0, &learned.memory)),
            declared.accel(),
        )
    }

    /// Returns the run time to expect of a task of declared run time `declared`.
    pub(crate) fn run(&self, class: key::Class, declared: Span) -> Span {
        let cover = self.classes.get(&class).and_then(|learned| learned.run.cover());
        cover.map_or(declared, |ratio| declared.scale(ratio))
    }
}
