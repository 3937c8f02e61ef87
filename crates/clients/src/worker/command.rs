//! Commands to a worker.

use std::fmt;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, ClassName, TaskName};
use sycamorerill_core::size::Size;

/// Fencing token of one placement of a task; a later placement has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u64);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

/// Key of a checkpoint in the object store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(String);

impl Checkpoint {
    /// Returns the checkpoint kept under the object key `text`.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the key of the object.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Checkpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Starts a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task to run.
    pub task: TaskName,
    /// Attempt at the task, counted from 1.
    #[serde(with = "crate::wire::number")]
    pub attempt: Attempt,
    /// Fencing token of the placement.
    pub token: Token,
    /// Size that the worker sets aside.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// Term of the lease; the worker stops the task when it lapses.
    #[serde(rename = "lease_ms", with = "crate::wire::span")]
    pub lease: Span,
    /// Class of the task's job.
    pub class: ClassName,
    /// Size as the job declared it, which may differ from what is set aside.
    #[serde(with = "crate::wire::size")]
    pub declared: Size,
    /// Run time as declared.
    #[serde(rename = "run_time_ms", with = "crate::wire::span")]
    pub run_time: Span,
    /// Whether the task can be checkpointed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether the task runs until it is stopped.
    #[serde(default)]
    pub service: bool,
    /// Checkpoint to resume from.
    #[serde(default)]
    pub resume_from: Option<Checkpoint>,
}

/// One command of an exchange. Repeating a command has no further effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Starts a task.
    Start(Start),
    /// Renews the lease of a task.
    Renew {
        /// Task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
        /// Term of the lease from now on.
        #[serde(rename = "lease_ms", with = "crate::wire::span")]
        lease: Span,
    },
    /// Renews the leases of all tasks that the worker holds.
    RenewAll {
        /// Term of the leases from now on.
        #[serde(rename = "lease_ms", with = "crate::wire::span")]
        lease: Span,
    },
    /// Lets a task have a share of the processor time of its size; 1 undoes it.
    Throttle {
        /// Task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
        /// Share from 0 to 1.
        share: f64,
    },
    /// Checkpoints a task and ends it.
    Checkpoint {
        /// Task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
    },
    /// Stops a task.
    Stop {
        /// Task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
        /// Whether to checkpoint first where the task can be.
        checkpoint: bool,
    },
    /// Forgets the record of an ended task.
    Ack {
        /// Task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
    },
}

/// Why a worker refused a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The epoch of the exchange is lower than the highest seen.
    #[error("the epoch is lower than the highest seen")]
    Fenced,
    /// The worker's clock is past the instant after which the exchange has no effect.
    #[error("the exchange came too late")]
    Expired,
    /// The sizes of the held tasks leave no room.
    #[error("the worker has no room")]
    NoRoom {
        /// Size that is free.
        #[serde(with = "crate::wire::size")]
        free: Size,
    },
    /// The task is held under another token.
    #[error("the task is held under token {token}")]
    Held {
        /// Token of the placement that is held.
        token: Token,
    },
    /// A larger token of the task was seen.
    #[error("the task was placed later under token {token}")]
    Stale {
        /// Largest token seen.
        token: Token,
    },
    /// The worker has no such task.
    #[error("the worker does not hold the task")]
    NotHeld,
    /// The task has ended; its record says how.
    #[error("the task has ended")]
    Ended,
    /// The task still runs, so its record can't be forgotten.
    #[error("the task has not ended")]
    Running,
    /// The task can't be checkpointed.
    #[error("the task can't be checkpointed")]
    NoCheckpoint,
}

/// What a worker did with one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The command is in effect, now or from an earlier time it was given.
    Accepted,
    /// The command has no effect.
    Refused(Refusal),
}
