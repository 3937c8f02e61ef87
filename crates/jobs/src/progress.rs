//! What is recorded of a job: its state, and each task that is not untouched.

use serde::{Deserialize, Serialize};
use sycamorerill_core::{data, value};

use crate::id::ExecutorId;

value! {
    /// State of a job as callers see it.
    #[derive(Serialize, Deserialize)]
    pub enum State {
        /// No task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks have ended as done.
        Completed,
        /// A task or a gang has failed too often.
        Failed,
        /// Cancelled by a caller.
        Cancelled,
    }
}

impl State {
    /// Returns the state's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

data! {
    /// A run that was ordered and whose end is not known.
    #[derive(Serialize, Deserialize)]
    pub struct OpenRun {
        /// Number of the run.
        #[serde(rename = "r")]
        pub run: u32,
        /// Executor that was ordered.
        #[serde(rename = "x")]
        pub executor: ExecutorId,
        /// Its life.
        #[serde(rename = "b")]
        pub born: u64,
    }
}

data! {
    /// What is recorded of one task that is neither untouched nor done.
    #[derive(Serialize, Deserialize)]
    pub struct TaskRecord {
        /// Occurrence of the job.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        pub occurrence: u32,
        /// Number of its step.
        #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
        pub step: u32,
        /// Index within the step.
        #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
        pub index: u32,
        /// Highest run that was ordered.
        #[serde(rename = "n")]
        pub run: u32,
        /// Number of runs that ended as failed.
        #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
        pub failed: u32,
        /// Checkpoint to resume from, empty where there is none.
        #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
        pub saved: String,
        /// Runs whose end is not known.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub open: Vec<OpenRun>,
    }
}

data! {
    /// Done tasks of one step.
    #[derive(Serialize, Deserialize)]
    pub struct DoneRecord {
        /// Occurrence of the job.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        pub occurrence: u32,
        /// Number of the step.
        #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
        pub step: u32,
        /// Indices of done tasks; empty where all are done.
        #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
        pub indices: Vec<u32>,
    }
}

data! {
    /// The record of a job.
    #[derive(Serialize, Deserialize)]
    pub struct Progress {
        /// State of the job.
        #[serde(rename = "s")]
        pub state: State,
        /// Steps with done tasks.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        pub done: Vec<DoneRecord>,
        /// Tasks that are neither untouched nor done.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub tasks: Vec<TaskRecord>,
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl State {
    /// Reports whether the job has ended.
    pub const fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
