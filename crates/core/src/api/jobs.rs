//! Submitting, listing and cancelling jobs.

use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/jobs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    /// Jobs in the order of their names.
    pub jobs: Vec<Job>,
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the job.
    pub name: String,
    /// Class of the job.
    pub class: String,
    /// Team that is charged.
    pub team: String,
    /// State of the job.
    pub state: JobState,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of finished tasks.
    pub finished: u32,
    /// Time left to the deadline in milliseconds, negative when it has passed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<i64>,
    /// Why the job is refused, parked or failed; empty otherwise.
    #[serde(default)]
    pub reason: String,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Made to last, no task has started.
    Accepted,
    /// At least one task has started.
    Running,
    /// No worker can take its tasks now.
    Parked,
    /// All tasks have finished.
    Finished,
    /// A task used up its attempts.
    Failed,
    /// Cancelled by an operator or its caller.
    Cancelled,
}

impl JobState {
    /// Returns the word used in files, tables and JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Running => "running",
            Self::Parked => "parked",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl std::fmt::Display for JobState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

/// Body of `POST /v1/jobs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Name of the job; a repeat with the same name is never run twice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Class of the job.
    pub class: String,
    /// Team that is charged.
    pub team: String,
    /// Urgency, that of the class when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<String>,
    /// Number of tasks.
    pub tasks: u32,
    /// Time to the deadline in milliseconds, that of the class when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Size of a task, that of the class when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<TaskSize>,
    /// Run time of a task in milliseconds, that of the class when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

/// Size of a task in the text form of [`crate::size`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSize {
    /// Processor time, such as `2` or `250m`.
    pub cpu: String,
    /// Memory, such as `4GiB`.
    pub memory: String,
    /// Accelerators, such as `1`.
    #[serde(default = "no_accelerator")]
    pub accel: String,
}

fn no_accelerator() -> String {
    "0".to_owned()
}

/// Answer to an accepted submission and to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// Name of the job.
    pub job: String,
    /// State of the job after the request.
    pub state: JobState,
}
