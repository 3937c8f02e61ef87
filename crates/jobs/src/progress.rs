//! Stored record of a job: its state and the tasks that have started.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorerill_core::{data, value};

use crate::config::Terms;
use crate::id::ExecutorId;

value! {
    /// State of a job as reported to callers.
    #[derive(Serialize, Deserialize)]
    pub enum State {
        /// No task has started.
        Queued,
        /// At least one task has started.
        Running,
        /// All tasks are done.
        Completed,
        /// A task or a gang has failed too many times.
        Failed,
        /// A caller has cancelled the job.
        Cancelled,
    }
}

impl State {
    /// Returns the name of the state in lower case.
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
    /// Record of a run that was ordered and whose end is not known.
    #[derive(Serialize, Deserialize)]
    pub struct OpenRun {
        /// Number of the run.
        #[serde(rename = "r")]
        pub run: u32,
        /// Executor that the run was ordered on.
        #[serde(rename = "x")]
        pub executor: ExecutorId,
        /// Start of the executor's incarnation, in milliseconds since 1970.
        #[serde(rename = "b")]
        pub incarnation: u64,
        /// Address that the order was sent to, if it is recorded.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        pub address: Option<SocketAddr>,
    }
}

data! {
    /// Record of a task that has started and is not done, or that has open runs.
    #[derive(Serialize, Deserialize)]
    pub struct TaskRecord {
        /// Number of the job's occurrence.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        pub occurrence: u32,
        /// Number of the step within the job.
        #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
        pub step: u32,
        /// Index of the task within the step.
        #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
        pub index: u32,
        /// Highest number of a run that was ordered.
        #[serde(rename = "n")]
        pub run: u32,
        /// Number of runs that failed.
        #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
        pub failed: u32,
        /// Number of executors that crashed shortly after the task may have started there.
        #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
        pub crashes: u32,
        /// Number of those on which the task had certainly started.
        #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
        pub confirmed_crashes: u32,
        /// Checkpoint to resume from, empty if there is none.
        #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
        pub checkpoint: String,
        /// Open runs, whose end is not known.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub open: Vec<OpenRun>,
    }
}

data! {
    /// Record of the done tasks of one step.
    #[derive(Serialize, Deserialize)]
    pub struct DoneRecord {
        /// Number of the job's occurrence.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        pub occurrence: u32,
        /// Number of the step within the job.
        #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
        pub step: u32,
        /// Indices of the done tasks; empty if all tasks of the step are done.
        #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
        pub indices: Vec<u32>,
    }
}

data! {
    /// Record of a part of a job's tasks.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Progress {
        /// State of the job when the record was written; only in the first record of the job.
        #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
        pub state: Option<State>,
        /// Settings of the queue for the time when the configuration does not name it any more, where
        /// those in the row of the accepted job are missing or outdated; only in the first record.
        #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
        pub terms: Option<Terms>,
        /// First and last numbers of ranges of finished occurrences; only in the first record.
        #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
        pub finished: Vec<(u32, u32)>,
        /// Done tasks, by step.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        pub done: Vec<DoneRecord>,
        /// Tasks that have started and are not done, or that have open runs.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub tasks: Vec<TaskRecord>,
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl Progress {
    /// Returns whether the record holds nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl State {
    /// Returns whether a job in this state has ended.
    pub const fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
