//! Limits the reads and writes per second.

use std::sync::{Mutex, PoisonError};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::rate::PerSecond;

/// Time for which unused capacity accumulates and allows a burst.
const BURST: Span = Span::from_ms(100);
const MS_PER_SECOND: f64 = 1_000.0;

/// Delays reads and writes so that neither exceeds its rate.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    reads: RateLimit,
    writes: RateLimit,
}

/// Rate limit of one kind of request.
#[derive(Debug, Default)]
struct RateLimit {
    interval: Span,
    next: Mutex<Time>,
}

impl RateLimiter {
    /// Returns a limiter with the given rates; a rate of zero means no limit.
    pub(crate) fn new(reads: PerSecond, writes: PerSecond) -> Self {
        Self { reads: RateLimit::new(reads), writes: RateLimit::new(writes) }
    }

    /// Reserves the next free time slot and returns the time until it begins.
    pub(crate) fn reserve(&self, now: Time, is_write: bool) -> Span {
        let limit = if is_write { &self.writes } else { &self.reads };
        limit.reserve(now)
    }
}

impl RateLimit {
    fn new(rate: PerSecond) -> Self {
        let interval = match rate.0 > 0.0 {
            true => Span::from_ms_f64(MS_PER_SECOND / rate.0),
            false => Span::ZERO,
        };
        Self { interval, next: Mutex::default() }
    }

    fn reserve(&self, now: Time) -> Span {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = (*next).max(now - BURST);
        *next = slot + self.interval;
        slot.since(now)
    }
}
