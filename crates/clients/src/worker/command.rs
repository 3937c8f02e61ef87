//! Commands to a worker and their outcomes.

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
    /// Creates a reference to the checkpoint stored under the object key `text`.
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

/// Parameters of the command that starts a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task to run.
    pub task: TaskName,
    /// Attempt at the task, counted from 1.
    #[serde(with = "crate::wire::number")]
    pub attempt: Attempt,
    /// Fencing token of the placement.
    pub token: Token,
    /// Size that the worker reserves for the task.
    #[serde(with = "crate::wire::size")]
    pub size: Size,
    /// Duration of the lease; the worker stops the task when the lease expires.
    #[serde(rename = "lease_ms", with = "crate::wire::span")]
    pub lease: Span,
    /// Class of the task's job.
    pub class: ClassName,
    /// Size that the job declared, which may differ from the reserved size.
    #[serde(with = "crate::wire::size")]
    pub declared: Size,
    /// Run time that the job declared.
    #[serde(rename = "run_time_ms", with = "crate::wire::span")]
    pub run_time: Span,
    /// Whether the task can be checkpointed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether the task serves callers and runs until it is stopped.
    #[serde(default)]
    pub service: bool,
    /// Checkpoint to resume from; absent to start from the beginning.
    #[serde(default)]
    pub resume_from: Option<Checkpoint>,
}

/// One command of an exchange.
///
/// All commands are idempotent: repeating a command has no further effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Starts a task.
    Start(Start),
    /// Renews the lease of a task.
    Renew {
        /// Name of the task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
        /// Duration of the lease from now on.
        #[serde(rename = "lease_ms", with = "crate::wire::span")]
        lease: Span,
    },
    /// Renews the leases of all tasks that the worker holds.
    RenewAll {
        /// Duration of the leases from now on.
        #[serde(rename = "lease_ms", with = "crate::wire::span")]
        lease: Span,
    },
    /// Limits a task to a share of its reserved processor capacity; 1 removes the limit.
    Throttle {
        /// Name of the task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
        /// Share from 0 to 1.
        share: f64,
    },
    /// Checkpoints a task and stops it.
    Checkpoint {
        /// Name of the task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
    },
    /// Stops a task.
    Stop {
        /// Name of the task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
        /// Whether to checkpoint the task first, if it supports checkpoints.
        checkpoint: bool,
    },
    /// Acknowledges and deletes the record of an ended task.
    Ack {
        /// Name of the task.
        task: TaskName,
        /// Token of the placement.
        token: Token,
    },
}

/// Reason why a worker refused a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The epoch of the exchange is lower than the highest that the worker has received.
    #[error("the epoch is lower than the highest received")]
    Fenced,
    /// The exchange arrived after [`Exchange::not_after`](super::Exchange::not_after).
    #[error("the exchange arrived too late")]
    Expired,
    /// The task does not fit into the free capacity of the worker.
    #[error("the worker has too little free capacity")]
    NoRoom {
        /// Size that is not reserved.
        #[serde(with = "crate::wire::size")]
        free: Size,
    },
    /// The task is held under another token.
    #[error("the task is held under token {token}")]
    Held {
        /// Token under which the task is held.
        token: Token,
    },
    /// The worker has received a larger token for the task.
    #[error("the task was placed later under token {token}")]
    Stale {
        /// Largest token received for the task.
        token: Token,
    },
    /// The worker does not hold the task.
    #[error("the worker does not hold the task")]
    NotHeld,
    /// The task has ended; [`TaskReport`](super::TaskReport) states how.
    #[error("the task has ended")]
    Ended,
    /// The task still runs, so its record cannot be deleted.
    #[error("the task has not ended")]
    Running,
    /// The task does not support checkpoints.
    #[error("the task cannot be checkpointed")]
    NoCheckpoint,
}

/// Outcome of one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The command took effect, now or when it was first received.
    Accepted,
    /// The command has no effect.
    Refused(Refusal),
}
