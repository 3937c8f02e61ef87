//! Whether an owner keeps up: its ticks come late where the machine is slow or the work
//! too much for it.

use std::collections::VecDeque;

use sycamorerill_core::clock::{Span, Time};

/// Time over which ticks are counted: a single slow second is not worth a takeover, which
/// takes a third of one.
const WINDOW: Span = Span::from_ms(1_500);
/// Part of the ticks that must come: owners that keep up saw 95 percent or more of them on
/// the bench, one on a machine five times slower 50 to 65.
const LEAST: f64 = 0.7;

/// The ticks of an owner.
#[derive(Clone, Debug)]
pub struct Beat {
    /// Time between two ticks.
    every: Span,
    begun: Time,
    ticks: VecDeque<Time>,
}

impl Beat {
    /// Returns the ticks of an owner that begins at `now` and ticks `every` span.
    pub const fn new(now: Time, every: Span) -> Self {
        Self { every, begun: now, ticks: VecDeque::new() }
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: Time) {
        self.ticks.push_back(now);
        while self.ticks.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.ticks.pop_front();
        }
    }

    /// Reports whether too many ticks of the last while have not come.
    pub fn is_behind(&self, now: Time) -> bool {
        if now.since(self.begun) < WINDOW.times(2) {
            return false;
        }
        let came = self.ticks.iter().filter(|at| now.since(**at) <= WINDOW).count();
        let expected = WINDOW.as_ms_f64() / self.every.as_ms_f64();
        (came as f64) < expected * LEAST
    }
}
