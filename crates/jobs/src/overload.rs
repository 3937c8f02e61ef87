//! Detects a shard owner that falls behind: ticks of its own timer come late if the machine
//! is slow or the work exceeds the owner's capacity.

use std::collections::VecDeque;

use sycamorerill_core::clock::{Span, Time};

/// Time over which ticks are counted. A takeover costs a third of a second, so one slow
/// second alone must not cause it.
const WINDOW: Span = Span::from_ms(1_500);
/// Ratio of received to expected ticks below which an owner should release its shard.
const MIN_TICK_RATIO: f64 = 0.7;
/// Ratio of received to expected ticks below which an owner lacks processor time. Ticks of an
/// owner that keeps up come up to 10 ms late.
const SUFFICIENT_TICK_RATIO: f64 = 0.82;
/// Shortest time over which ticks tell whether an owner lacks processor time.
const MIN_SAMPLE: Span = Span::from_ms(300);

/// Ticks that a shard owner's timer delivered recently.
#[derive(Clone, Debug)]
pub struct TickMonitor {
    /// Expected time between two ticks.
    period: Span,
    started: Time,
    ticks: VecDeque<Time>,
}

impl TickMonitor {
    /// Returns a monitor without ticks for an owner that starts at `now` and expects a tick
    /// every `period`.
    pub const fn new(now: Time, period: Span) -> Self {
        Self { period, started: now, ticks: VecDeque::new() }
    }

    /// Records a tick at `now`.
    pub fn tick(&mut self, now: Time) {
        self.ticks.push_back(now);
        while self.ticks.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.ticks.pop_front();
        }
    }

    /// Returns whether less than 70 percent of the expected ticks arrived in the last 1.5 s.
    ///
    /// Returns `false` in the first 3 s, in which a new owner takes the shard over.
    pub fn is_overloaded(&self, now: Time) -> bool {
        if now.since(self.started) < WINDOW.saturating_mul(2) {
            return false;
        }
        self.tick_ratio(now) < MIN_TICK_RATIO
    }

    /// Returns how much the owner lacks processor time for its work, from 0 (not at all) to 1 (so
    /// much that it should release its shard), by the ticks of the last 1.5 s or since it started.
    pub fn shortage(&self, now: Time) -> f64 {
        if now.since(self.started) < MIN_SAMPLE {
            return 0.0;
        }
        let missing = SUFFICIENT_TICK_RATIO - self.tick_ratio(now);
        (missing / (SUFFICIENT_TICK_RATIO - MIN_TICK_RATIO)).clamp(0.0, 1.0)
    }

    /// Returns the ratio of received to expected ticks in the last 1.5 s, or since the owner
    /// started.
    pub fn tick_ratio(&self, now: Time) -> f64 {
        let received = self.ticks.iter().filter(|at| now.since(**at) <= WINDOW).count();
        let elapsed = now.since(self.started).min(WINDOW).max(self.period);
        received as f64 * self.period.as_ms_f64() / elapsed.as_ms_f64()
    }
}
