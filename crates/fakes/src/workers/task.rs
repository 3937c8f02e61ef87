//! A task on a worker.

use std::collections::VecDeque;

use sycamorerill_clients::worker::{Start, State, TaskReport, Usage};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::size::{Cpu, Size};

use super::model::ActualDemand;

/// A task that runs, or the record of one that ended.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) start: Start,
    pub(crate) state: State,
    pub(crate) actual: ActualDemand,
    pub(crate) started_at: Time,
    pub(crate) ended_at: Option<Time>,
    pub(crate) lease_until: Time,
    /// Share of its processors that the task may use, from 0 to 1.
    pub(crate) share: f64,
    /// Work left until the task finishes or fails, in milliseconds of running alone.
    pub(crate) remaining_work_ms: f64,
    /// Reason with which the task fails instead of finishing, if it is to fail.
    pub(crate) failure: Option<String>,
    pub(crate) checkpoint_due: Option<Time>,
    /// Factor by which the task currently runs slower than alone.
    pub(crate) slowdown: f64,
    samples: VecDeque<(Time, Size, f64)>,
}

impl Task {
    pub(crate) fn new(
        now: Time,
        start: Start,
        actual: ActualDemand,
        remaining_work_ms: f64,
    ) -> Self {
        Self {
            state: State::Running,
            started_at: now,
            ended_at: None,
            lease_until: now + start.lease,
            share: 1.0,
            remaining_work_ms,
            failure: None,
            checkpoint_due: None,
            slowdown: 1.0,
            samples: VecDeque::new(),
            start,
            actual,
        }
    }

    /// Returns whether the task has not ended.
    pub(crate) fn is_running(&self) -> bool {
        !self.state.is_ended()
    }

    /// Ends the task with a final state.
    pub(crate) fn end(&mut self, now: Time, state: State) {
        self.state = state;
        self.ended_at = Some(now);
    }

    /// Returns the number of cores that the task uses.
    pub(crate) fn cores(&self) -> f64 {
        self.actual.size.cpu().as_cores() * self.share
    }

    /// Returns the work that the task does per millisecond, in milliseconds of running alone.
    pub(crate) fn rate(&self) -> f64 {
        match self.state {
            State::Running | State::Throttled => self.share / self.slowdown,
            _ => 0.0,
        }
    }

    /// Returns the fraction of the work that is done, from 0 to 1.
    pub(crate) fn progress(&self) -> f64 {
        if !self.actual.work_ms.is_finite() || self.actual.work_ms <= 0.0 {
            return 0.0;
        }
        (1.0 - self.remaining_work_ms / self.actual.work_ms).clamp(0.0, 1.0)
    }

    /// Records the current usage, and drops samples that no later report needs.
    pub(crate) fn record_sample(&mut self, now: Time, lag: Span) {
        let used = self.actual.size;
        let cpu = Cpu((used.cpu().0 as f64 * self.share) as u64);
        let size = Size::new(cpu, used.memory(), used.accel());
        self.samples.push_back((now, size, self.slowdown));
        while self.samples.get(1).is_some_and(|(at, _, _)| *at + lag <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns the entry of the task in the worker's report.
    pub(crate) fn report(&self, now: Time, lag: Span) -> TaskReport {
        let runs = self.is_running();
        let lease_left = if runs { self.lease_until.since(now) } else { Span::ZERO };
        TaskReport {
            task: self.start.task.clone(),
            token: self.start.token,
            attempt: self.start.attempt,
            class: self.start.class.clone(),
            size: if runs { self.start.size } else { Size::ZERO },
            state: self.state.clone(),
            share: self.share,
            lease_left,
            ran: self.ended_at.unwrap_or(now).since(self.started_at),
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
