//! A worker and its tasks.

use std::collections::BTreeMap;

use sycamorerill_clients::worker::{Guard, Report, Token};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, TaskName};
use sycamorerill_core::size::Size;

use super::task::Task;
use crate::faults::WorkerFaults;

/// State of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) size: Size,
    /// Highest epoch received in an exchange; lower epochs are fenced.
    pub(crate) epoch: Epoch,
    pub(crate) tasks: BTreeMap<TaskName, Task>,
    /// Largest token of each task that was started, kept after the task is acknowledged.
    pub(crate) tokens: BTreeMap<TaskName, Token>,
    pub(crate) faults: WorkerFaults,
    pub(crate) paused_until: Time,
    /// Time since which the worker has been leaving.
    pub(crate) leaving_since: Option<Time>,
    /// Time to which the tasks have been advanced.
    pub(crate) advanced_to: Time,
    pub(crate) ended_by_guard: u64,
}

impl Worker {
    pub(crate) fn new(size: Size) -> Self {
        Self {
            size,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            tokens: BTreeMap::new(),
            faults: WorkerFaults::default(),
            paused_until: Time::ZERO,
            leaving_since: None,
            advanced_to: Time::ZERO,
            ended_by_guard: 0,
        }
    }

    /// Returns the sum of the sizes allocated to running tasks.
    pub(crate) fn allocated(&self) -> Size {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.fold(Size::ZERO, |sum, task| sum + task.start.size)
    }

    /// Returns the sum of the actual sizes of running tasks.
    pub(crate) fn used(&self) -> Size {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.fold(Size::ZERO, |sum, task| sum + task.actual.size)
    }

    /// Returns the report of the worker and its tasks.
    pub(crate) fn report(&self, now: Time, lag: Span) -> Report {
        Report {
            size: self.size,
            free: self.size.saturating_sub(self.allocated()),
            guard: Guard { enabled: true, ended: self.ended_by_guard },
            tasks: self.tasks.values().map(|task| task.report(now, lag)).collect(),
        }
    }
}
