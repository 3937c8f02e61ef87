//! A task on a worker.

use std::collections::VecDeque;

use sycamorerill_clients::worker::{Held, Start, State, Usage};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::size::{Cpu, Size};

use super::nature::Truth;

/// A task that runs, or the record of one that ended.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) start: Start,
    pub(crate) state: State,
    pub(crate) truth: Truth,
    pub(crate) began: Time,
    pub(crate) ended: Option<Time>,
    pub(crate) lease_until: Time,
    /// Share of the processor time that the task may have.
    pub(crate) share: f64,
    /// Work left until the task finishes or fails, in milliseconds alone.
    pub(crate) left_ms: f64,
    /// Whether the task fails in place of finishing, and with what.
    pub(crate) fails: Option<String>,
    pub(crate) checkpoint_due: Option<Time>,
    /// How many times slower than alone the task runs now.
    pub(crate) slowdown: f64,
    samples: VecDeque<(Time, Size, f64)>,
}

impl Task {
    pub(crate) fn new(now: Time, start: Start, truth: Truth, left_ms: f64) -> Self {
        Self {
            state: State::Running,
            began: now,
            ended: None,
            lease_until: now + start.lease,
            share: 1.0,
            left_ms,
            fails: None,
            checkpoint_due: None,
            slowdown: 1.0,
            samples: VecDeque::new(),
            start,
            truth,
        }
    }

    /// Reports whether the task runs.
    pub(crate) fn runs(&self) -> bool {
        !self.state.is_ended()
    }

    /// Ends the task.
    pub(crate) fn end(&mut self, now: Time, state: State) {
        self.state = state;
        self.ended = Some(now);
    }

    /// Returns the processor time that the task uses, in cores.
    pub(crate) fn cores(&self) -> f64 {
        self.truth.size.cpu().as_cores() * self.share
    }

    /// Returns how much work the task does in a millisecond.
    pub(crate) fn rate(&self) -> f64 {
        match self.state {
            State::Running | State::Throttled => self.share / self.slowdown,
            _ => 0.0,
        }
    }

    /// Returns the part of the whole work that is done, from 0 to 1.
    pub(crate) fn progress(&self) -> f64 {
        if !self.truth.work_ms.is_finite() || self.truth.work_ms <= 0.0 {
            return 0.0;
        }
        (1.0 - self.left_ms / self.truth.work_ms).clamp(0.0, 1.0)
    }

    /// Measures the task, and forgets measurements that no report needs any more.
    pub(crate) fn sample(&mut self, now: Time, lag: Span) {
        let used = self.truth.size;
        let cpu = Cpu((used.cpu().0 as f64 * self.share) as u64);
        let size = Size::new(cpu, used.memory(), used.accel());
        self.samples.push_back((now, size, self.slowdown));
        while self.samples.get(1).is_some_and(|(at, _, _)| *at + lag <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns what a report says of the task.
    pub(crate) fn held(&self, now: Time, lag: Span) -> Held {
        let runs = self.runs();
        let lease_left = if runs { self.lease_until.since(now) } else { Span::ZERO };
        Held {
            task: self.start.task.clone(),
            token: self.start.token,
            attempt: self.start.attempt,
            class: self.start.class.clone(),
            size: if runs { self.start.size } else { Size::ZERO },
            state: self.state.clone(),
            share: self.share,
            lease_left,
            ran: self.ended.unwrap_or(now).since(self.began),
            usage: self.usage(now, lag),
        }
    }

    fn usage(&self, now: Time, lag: Span) -> Option<Usage> {
        let old_enough = self.samples.iter().rev().find(|(at, _, _)| *at + lag <= now);
        old_enough.map(|(at, size, slowdown)| Usage {
            size: *size,
            slowdown: *slowdown,
            age: now.since(*at),
        })
    }
}
