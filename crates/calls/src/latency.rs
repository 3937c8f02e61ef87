//! Estimates of latency from a stream of measurements.

use sycamorerill_core::clock::Span;

/// Weight of one measurement in the mean of a service.
const MEAN_WEIGHT: f64 = 1.0 / 128.0;
/// Quantile that [`Estimate::high`] follows.
const HIGH_QUANTILE: f64 = 0.95;
/// Step of the quantile as a share of the mean.
const QUANTILE_STEP: f64 = 0.1;
/// Multiple of the mean above which a measurement counts as that multiple.
const MAX_RATIO: f64 = 8.0;
/// Measurements before the estimate is used for refusals.
const MIN_SAMPLES: u64 = 32;

/// Mean and a high quantile, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    mean_ms: f64,
    high_ms: f64,
    samples: u64,
}

impl Estimate {
    /// Takes one measurement in; a single one far off moves the estimate little.
    pub(crate) fn add(&mut self, latency: Span) {
        let mut ms = latency.as_ms_f64();
        if self.is_sure() {
            ms = ms.min(self.mean_ms * MAX_RATIO);
        }
        if self.samples == 0 {
            self.mean_ms = ms;
            self.high_ms = ms;
        }
        self.samples += 1;
        let weight = (1.0 / self.samples as f64).max(MEAN_WEIGHT);
        self.mean_ms += (ms - self.mean_ms) * weight;
        let step = self.mean_ms * QUANTILE_STEP;
        if ms > self.high_ms {
            self.high_ms += step * HIGH_QUANTILE;
        } else {
            self.high_ms -= step * (1.0 - HIGH_QUANTILE);
        }
    }

    /// Returns whether enough was measured for the estimate to decide refusals.
    pub(crate) fn is_sure(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the mean, zero while the estimate is not sure.
    pub(crate) fn mean(&self) -> Span {
        if self.is_sure() { Span::from_ms_f64(self.mean_ms) } else { Span::ZERO }
    }

    /// Returns the high quantile, zero while the estimate is not sure.
    pub(crate) fn high(&self) -> Span {
        if self.is_sure() { Span::from_ms_f64(self.high_ms.max(self.mean_ms)) } else { Span::ZERO }
    }
}
