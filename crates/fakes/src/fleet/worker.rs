//! One worker and the tasks that it holds.

use std::collections::BTreeMap;

use sycamorerill_clients::worker::{Guard, Report, Token};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, TaskName};
use sycamorerill_core::size::Size;

use super::task::Task;
use crate::faults::Work;

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) size: Size,
    /// Highest epoch seen.
    pub(crate) epoch: Epoch,
    pub(crate) tasks: BTreeMap<TaskName, Task>,
    /// Largest token seen of each task, kept after the task is forgotten.
    pub(crate) tokens: BTreeMap<TaskName, Token>,
    pub(crate) faults: Work,
    pub(crate) paused_until: Time,
    /// Instant since which the worker is leaving.
    pub(crate) leaving: Option<Time>,
    /// Instant up to which the tasks have been carried on.
    pub(crate) at: Time,
    pub(crate) guard_ended: u64,
}

impl Worker {
    pub(crate) fn new(size: Size) -> Self {
        Self {
            size,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            tokens: BTreeMap::new(),
            faults: Work::default(),
            paused_until: Time::ZERO,
            leaving: None,
            at: Time::ZERO,
            guard_ended: 0,
        }
    }

    /// Returns the sizes set aside for running tasks.
    pub(crate) fn given(&self) -> Size {
        let running = self.tasks.values().filter(|task| task.runs());
        running.fold(Size::ZERO, |sum, task| sum + task.start.size)
    }

    /// Returns the sizes that running tasks truly use.
    pub(crate) fn used(&self) -> Size {
        let running = self.tasks.values().filter(|task| task.runs());
        running.fold(Size::ZERO, |sum, task| sum + task.truth.size)
    }

    /// Returns what the worker says of itself.
    pub(crate) fn report(&self, now: Time, lag: Span) -> Report {
        Report {
            size: self.size,
            free: self.size.less(self.given()),
            guard: Guard { enabled: true, ended: self.guard_ended },
            tasks: self.tasks.values().map(|task| task.held(now, lag)).collect(),
        }
    }
}
