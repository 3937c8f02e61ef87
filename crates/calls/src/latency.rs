//! Streaming estimates of the latency of a service.

use sycamorerill_core::clock::Span;

/// Weight of one measurement in the moving mean.
const MEAN_WEIGHT: f64 = 1.0 / 128.0;
/// Quantile that [`Estimate::high_quantile`] tracks.
const HIGH_QUANTILE: f64 = 0.95;
/// Step by which the quantile estimate moves, as a share of the mean.
const QUANTILE_STEP: f64 = 0.1;
/// Largest measurement, as a multiple of the mean; larger ones are clamped to it.
const MAX_RATIO: f64 = 8.0;
/// Number of measurements needed before the estimate may cause a call to be refused.
const MIN_SAMPLES: u64 = 32;

/// Moving mean and high quantile of a latency.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    mean_ms: f64,
    high_quantile_ms: f64,
    samples: u64,
}

impl Estimate {
    /// Records one measurement, clamped so that a single outlier moves the estimate little.
    pub(crate) fn add(&mut self, latency: Span) {
        let mut ms = latency.as_ms_f64();
        if self.has_enough_samples() {
            ms = ms.min(self.mean_ms * MAX_RATIO);
        }
        if self.samples == 0 {
            self.mean_ms = ms;
            self.high_quantile_ms = ms;
        }
        self.samples += 1;
        let weight = (1.0 / self.samples as f64).max(MEAN_WEIGHT);
        self.mean_ms += (ms - self.mean_ms) * weight;
        let step = self.mean_ms * QUANTILE_STEP;
        if ms > self.high_quantile_ms {
            self.high_quantile_ms += step * HIGH_QUANTILE;
        } else {
            self.high_quantile_ms -= step * (1.0 - HIGH_QUANTILE);
        }
    }

    /// Returns whether there are enough measurements for the estimate to cause refusals.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the mean, or zero while there are too few measurements.
    pub(crate) fn mean(&self) -> Span {
        if self.has_enough_samples() { Span::from_ms_f64(self.mean_ms) } else { Span::ZERO }
    }

    /// Returns the high quantile, at least the mean, or zero while there are too few
    /// measurements.
    pub(crate) fn high_quantile(&self) -> Span {
        if self.has_enough_samples() {
            Span::from_ms_f64(self.high_quantile_ms.max(self.mean_ms))
        } else {
            Span::ZERO
        }
    }
}
