//! State of a worker and its tasks, as the worker reports it.

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, ClassName, TaskName};
use sycamorerill_core::size::Size;

use super::command::{Checkpoint, Token};

/// State of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The task runs.
    Running,
    /// The task runs with less processor capacity than its reserved size.
    Throttled,
    /// The task is being checkpointed.
    Checkpointing,
    /// The task was checkpointed and has ended on this worker.
    Checkpointed {
        /// Checkpoint from which the task can be resumed.
        checkpoint: Checkpoint,
    },
    /// The task has finished its work.
    Finished,
    /// The task has failed.
    Failed {
        /// Error of the task.
        reason: String,
    },
    /// The task was stopped by a command.
    Stopped,
    /// The worker stopped the task because its lease expired.
    LeaseLapsed,
}

impl State {
    /// Returns whether the task no longer runs.
    pub fn is_ended(&self) -> bool {
        match self {
            Self::Running | Self::Throttled | Self::Checkpointing => false,
            Self::Checkpointed { .. }
            | Self::Finished
            | Self::Failed { .. }
            | Self::Stopped
            | Self::LeaseLapsed => true,
        }
    }
}

/// Measured resource usage of a task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Size in use.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// Factor by which the task ran slower than it would alone on the worker.
    pub slowdown: f64,
    /// Time since the measurement.
    #[serde(rename = "age_ms", with = "crate::wire::span")]
    pub age: Span,
}

fn full_share() -> f64 {
    1.0
}

/// A task that the worker runs, or the record of a task that ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the task.
    pub task: TaskName,
    /// Token of the placement.
    pub token: Token,
    /// Attempt at the task, counted from 1.
    #[serde(with = "crate::wire::number")]
    pub attempt: Attempt,
    /// Class of the task's job.
    pub class: ClassName,
    /// Reserved size; zero for an ended task.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// State of the task.
    #[serde(flatten)]
    pub state: State,
    /// Share of its reserved processor capacity that the task may use; defaults to 1.
    #[serde(default = "full_share")]
    pub share: f64,
    /// Time until the lease expires.
    #[serde(rename = "lease_left_ms", with = "crate::wire::span")]
    pub lease_left: Span,
    /// Time for which the task has run on this worker.
    #[serde(rename = "ran_ms", with = "crate::wire::span")]
    pub ran: Span,
    /// Latest measurement, `None` before the first.
    pub usage: Option<Usage>,
}

/// State of the guard, which ends tasks to keep them within the worker's size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Whether the guard is on.
    pub enabled: bool,
    /// Number of times that the guard ended a task since the worker started.
    pub ended: u64,
}

/// State of a worker and its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Total size of the worker.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// Size that is not reserved for tasks.
    #[serde(with = "crate::wire::size")]
    pub free: Size,
    /// State of the guard when the report was written.
    pub guard: Guard,
    /// Running tasks and records of ended tasks, sorted by name.
    pub tasks: Vec<TaskReport>,
}
