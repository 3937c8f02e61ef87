//! How many reads and writes a second the services carry out.

use std::sync::{Mutex, PoisonError};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::rate::PerSecond;

/// How much capacity may be saved up while there is little to do.
const BURST: Span = Span::from_ms(100);
/// Milliseconds in one second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Spreads reads and writes so that neither exceeds its rate.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    reads: Lane,
    writes: Lane,
}

/// Requests of one kind.
#[derive(Debug, Default)]
struct Lane {
    interval: Span,
    next: Mutex<Time>,
}

impl Pace {
    /// Returns a pace of the given rates; a rate of zero is no limit.
    pub(crate) fn new(reads: PerSecond, writes: PerSecond) -> Self {
        Self { reads: Lane::new(reads), writes: Lane::new(writes) }
    }

    /// Reserves the next turn and returns how long it is until then.
    pub(crate) fn wait(&self, now: Time, writes: bool) -> Span {
        let lane = if writes { &self.writes } else { &self.reads };
        lane.wait(now)
    }
}

impl Lane {
    fn new(rate: PerSecond) -> Self {
        let interval = match rate.0 > 0.0 {
            true => Span::from_ms_f64(MS_PER_SECOND / rate.0),
            false => Span::ZERO,
        };
        Self { interval, next: Mutex::default() }
    }

    fn wait(&self, now: Time) -> Span {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = (*next).max(now - BURST);
        *next = turn + self.interval;
        turn.since(now)
    }
}
