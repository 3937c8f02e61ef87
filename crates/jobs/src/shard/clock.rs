//! Bounds on the clocks of executors, from their readings.
//!
//! An owner compares lease ends with a lower bound on an executor's clock, so that a lease never seems
//! over too soon.

use sycamorerill_core::clock::{Span, Time};

use super::executors::Executor;
use crate::executor::Steady;

/// Slowest rate of an executor's clock relative to the local clock.
pub(super) const SLOWEST_CLOCK: f64 = 0.98;

/// Fastest rate of an executor's clock relative to the local clock.
const FASTEST_CLOCK: f64 = 1.02;
/// Longest time from a reading of the clock until its answer is received: the longest wait of a
/// probe and its timeout.
const MAX_READING_DELAY: Span = Span::from_ms(3_000);
/// Tolerance for the clock of an entry.
const ENTRY_CLOCK_MARGIN: Span = Span::from_ms(100);
/// Tolerance of comparisons between readings of an executor's clock, which are rounded.
const CLOCK_MARGIN: Span = Span::from_ms(5);

impl Executor {
    /// Returns a lower bound on the executor's clock at `now`.
    pub(super) fn clock(&self, now: Time) -> Steady {
        let elapsed = now.since(self.clock.1).scale(SLOWEST_CLOCK).as_ms();
        Steady(self.clock.0.0.saturating_add(elapsed))
    }

    /// Raises the lower bound on the clock to a reading that the executor has sent and that was
    /// received at `now`. A reading that no clock can have reached is ignored.
    pub(super) fn update_clock(&mut self, now: Time, clock: Steady) {
        if clock > self.clock(now) && self.is_plausible(now, clock) {
            self.clock = (clock, now);
        }
    }

    /// Returns whether the executor's clock can have reached a reading that was received at `now`.
    pub(super) fn is_plausible(&self, now: Time, clock: Steady) -> bool {
        clock <= self.clock_limit(now, MAX_READING_DELAY)
    }

    /// Raises the lower bound on the clock to that of an entry, which may be of another writer.
    pub(super) fn update_clock_from_entry(&mut self, now: Time, clock: Steady) {
        if clock > self.clock(now) && clock <= self.clock_limit(now, ENTRY_CLOCK_MARGIN) {
            self.clock = (clock, now);
        }
    }

    /// Returns an upper bound on the executor's clock at `now`, if the latest reading was delayed
    /// by `delay`. There is none before the first answer.
    fn clock_limit(&self, now: Time, delay: Span) -> Steady {
        if self.last_answer == Time::ZERO {
            return Steady(u64::MAX);
        }
        let (reading, at) = self.clock;
        let elapsed = now.since(at).scale(FASTEST_CLOCK) + delay;
        Steady(reading.0.saturating_add(elapsed.as_ms()))
    }

    /// Returns whether a reading of the clock, in the answer to a call that was sent at `sent`,
    /// shows that the executor has restarted.
    pub(super) fn shows_restart(&self, sent: Time, clock: Steady) -> bool {
        let (reading, at) = self.clock;
        let least = if sent < at {
            reading.0.saturating_sub(at.since(sent).scale(FASTEST_CLOCK).as_ms())
        } else {
            self.clock(sent).0
        };
        clock.0.saturating_add(CLOCK_MARGIN.as_ms()) < least
    }
}
