//! Event rate with exponential decay.

/// Shortest time over which a rate is computed, in milliseconds.
const MIN_WINDOW_MS: f64 = 500.0;

/// Event count that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    count: f64,
    last_ms: f64,
}

impl DecayingRate {
    /// Records one event at `now_ms`; the count decays with `time_constant_ms`.
    pub(crate) fn add(&mut self, now_ms: f64, time_constant_ms: f64) {
        self.count = self.decayed(now_ms, time_constant_ms) + 1.0;
        self.last_ms = now_ms;
    }

    fn decayed(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        self.count * (-(now_ms - self.last_ms) / time_constant_ms).exp()
    }

    /// Returns the rate in events per millisecond.
    ///
    /// The clock of `now_ms` must have started at zero: the rate is corrected for the time
    /// that has not been covered yet.
    pub(crate) fn rate(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        let coverage = 1.0 - (-now_ms.max(MIN_WINDOW_MS) / time_constant_ms).exp();
        self.decayed(now_ms, time_constant_ms) / (time_constant_ms * coverage)
    }
}
