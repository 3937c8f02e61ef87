//! What a worker says of itself and its tasks.

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
    /// The task runs with less processor time than its size.
    Throttled,
    /// The task is being checkpointed.
    Checkpointing,
    /// The task was checkpointed and has ended here.
    Checkpointed {
        /// Where the task can be resumed from.
        checkpoint: Checkpoint,
    },
    /// The task has finished its work.
    Finished,
    /// The task has failed.
    Failed {
        /// What it failed with.
        reason: String,
    },
    /// The task was stopped on command.
    Stopped,
    /// The worker stopped the task since its lease lapsed.
    LeaseLapsed,
}

impl State {
    /// Reports whether the task no longer runs.
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

/// Measured use of a task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Size in use.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// How many times slower than alone the task ran.
    pub slowdown: f64,
    /// How long ago this was measured.
    #[serde(rename = "age_ms", with = "crate::wire::span")]
    pub age: Span,
}

fn whole() -> f64 {
    1.0
}

/// A task that the worker holds, or the record of one that ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Task.
    pub task: TaskName,
    /// Token of the placement.
    pub token: Token,
    /// Attempt at the task.
    #[serde(with = "crate::wire::number")]
    pub attempt: Attempt,
    /// Class of the task's job.
    pub class: ClassName,
    /// Size set aside; none is set aside for an ended task.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// State of the task.
    #[serde(flatten)]
    pub state: State,
    /// Share of the processor time of its size that the task may have, 1 when not given.
    #[serde(default = "whole")]
    pub share: f64,
    /// Time left of the lease.
    #[serde(rename = "lease_left_ms", with = "crate::wire::span")]
    pub lease_left: Span,
    /// How long the task has run here.
    #[serde(rename = "ran_ms", with = "crate::wire::span")]
    pub ran: Span,
    /// Last measurement, none before the first.
    pub usage: Option<Usage>,
}

/// State of the guard that keeps tasks within the worker's size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Whether the guard is on.
    pub enabled: bool,
    /// How often the guard ended a task since the worker started.
    pub ended: u64,
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Size of the worker.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// Size not set aside.
    #[serde(with = "crate::wire::size")]
    pub free: Size,
    /// State of the guard.
    pub guard: Guard,
    /// Tasks held and records of ended ones, in the order of their names.
    pub tasks: Vec<Held>,
}
