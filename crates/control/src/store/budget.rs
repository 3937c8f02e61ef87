//! Token buckets for the reads and writes of one instance.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_core::rate::PerSecond;

/// Milliseconds in one second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Bucket that fills at a steady rate up to a depth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    rate: PerSecond,
    depth: f64,
    tokens: f64,
    filled: Time,
}

impl Bucket {
    /// Returns a full bucket.
    pub const fn new(rate: PerSecond, depth: f64) -> Self {
        Self { rate, depth, tokens: depth, filled: Time::ZERO }
    }

    /// Changes the rate from `now` on.
    pub fn retune(&mut self, now: Time, rate: PerSecond) {
        self.fill(now);
        self.rate = rate;
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the instant at which a token will be there.
    pub fn ready(&self, now: Time) -> Time {
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return now;
        }
        self.filled
            + Span::from_ms_f64(missing / self.rate.0.max(f64::MIN_POSITIVE) * MS_PER_SECOND + 1.0)
    }

    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_ms_f64() / MS_PER_SECOND;
        self.tokens = (self.tokens + passed * self.rate.0).min(self.depth);
        self.filled = self.filled.max(now);
    }
}

data! {
    /// What all instances together may ask of the store.
    pub struct Budget {
        /// Writes a second.
        pub writes: PerSecond,
        /// Reads a second.
        pub reads: PerSecond,
        /// Depth of each instance's buckets in requests.
        pub burst: f64,
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { writes: PerSecond(300.0), reads: PerSecond(1_500.0), burst: 24.0 }
    }
}

impl Budget {
    /// Returns the rates of writes and reads of one of `writers` instances that write
    /// steadily and `readers` that read.
    pub fn share(&self, writers: usize, readers: usize) -> (PerSecond, PerSecond) {
        let part = |rate: PerSecond, count: usize| PerSecond(rate.0 / count.max(1) as f64);
        (part(self.writes, writers), part(self.reads, readers))
    }
}
