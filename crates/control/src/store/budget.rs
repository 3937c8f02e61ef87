//! Token buckets that limit the store reads and writes of one instance.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_core::rate::PerSecond;

const MS_PER_SECOND: f64 = 1_000.0;

/// Token bucket that refills at a constant rate up to its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    rate: PerSecond,
    capacity: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub const fn new(rate: PerSecond, capacity: f64) -> Self {
        Self { rate, capacity, tokens: capacity, refilled_at: Time::ZERO }
    }

    /// Changes the refill rate from `now` on.
    pub fn set_rate(&mut self, now: Time, rate: PerSecond) {
        self.refill(now);
        self.rate = rate;
    }

    /// Removes one token and returns true, or returns false if no whole token is
    /// available.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the earliest instant at which a token is available.
    pub fn ready_at(&self, now: Time) -> Time {
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return now;
        }
        self.refilled_at
            + Span::from_ms_f64(missing / self.rate.0.max(f64::MIN_POSITIVE) * MS_PER_SECOND + 1.0)
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_ms_f64() / MS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * self.rate.0).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

data! {
    /// Store request rates that all instances share.
    pub struct Budget {
        /// Writes per second across all instances.
        pub writes: PerSecond,
        /// Reads per second across all instances.
        pub reads: PerSecond,
        /// Write bucket capacity of each instance, in requests; the read bucket holds
        /// twice as many.
        pub burst: f64,
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { writes: PerSecond(300.0), reads: PerSecond(1_500.0), burst: 24.0 }
    }
}

impl Budget {
    /// Returns the write and read rates of one instance.
    ///
    /// The write rate is divided by `writers`, the number of instances that write
    /// steadily, and the read rate by `readers`.
    pub fn share(&self, writers: usize, readers: usize) -> (PerSecond, PerSecond) {
        let per_instance = |rate: PerSecond, count: usize| PerSecond(rate.0 / count.max(1) as f64);
        (per_instance(self.writes, writers), per_instance(self.reads, readers))
    }
}
