//! Rate of events with exponential forgetting.

/// Shortest time over which a rate is taken, in milliseconds.
const MIN_AGE_MS: f64 = 500.0;

/// Count of events that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct History {
    count: f64,
    last_ms: f64,
}

impl History {
    /// Counts one event at `now_ms`; `memory_ms` is the time constant.
    pub(crate) fn add(&mut self, now_ms: f64, memory_ms: f64) {
        self.count = self.faded(now_ms, memory_ms) + 1.0;
        self.last_ms = now_ms;
    }

    fn faded(&self, now_ms: f64, memory_ms: f64) -> f64 {
        self.count * (-(now_ms - self.last_ms) / memory_ms).exp()
    }

    /// Returns events per millisecond; the clock of `now_ms` started at zero.
    pub(crate) fn rate(&self, now_ms: f64, memory_ms: f64) -> f64 {
        let seen = 1.0 - (-now_ms.max(MIN_AGE_MS) / memory_ms).exp();
        self.faded(now_ms, memory_ms) / (memory_ms * seen)
    }
}
