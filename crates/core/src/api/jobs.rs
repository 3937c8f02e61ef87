//! Bodies for submitting, listing and cancelling jobs.

use serde::{Deserialize, Serialize};

/// Response to `GET /v1/jobs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    /// Jobs, sorted by name.
    pub jobs: Vec<Job>,
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the job.
    pub name: String,
    /// Class of the job.
    pub class: String,
    /// Team to which the job is charged.
    pub team: String,
    /// State of the job when the response was written.
    pub state: JobState,
    /// Total number of tasks.
    pub tasks: u32,
    /// Number of tasks that have finished.
    pub finished: u32,
    /// Time left until the deadline in milliseconds, negative after it has passed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<i64>,
    /// Reason why the job was refused, is parked or has failed; empty otherwise.
    #[serde(default)]
    pub reason: String,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is stored durably, and no task has started.
    Accepted,
    /// At least one task has started.
    Running,
    /// No worker can currently take a task of the job.
    Parked,
    /// All tasks have finished.
    Finished,
    /// A task used all of its attempts without finishing.
    Failed,
    /// Cancelled by an operator or its caller.
    Cancelled,
}

impl JobState {
    /// Returns the name used in files, tables and JSON.
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
    /// Name of the job; a repeated submission under the same name does not run again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Class of the job.
    pub class: String,
    /// Team to which the job is charged.
    pub team: String,
    /// Urgency of the job; defaults to that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<String>,
    /// Number of tasks to run.
    pub tasks: u32,
    /// Time from submission to the deadline in milliseconds; defaults to that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Size of a task; defaults to that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<TaskSize>,
    /// Run time of a task in milliseconds; defaults to that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

/// Size of a task in the text form of [`crate::size`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSize {
    /// Processor capacity, such as `2` or `250m`.
    pub cpu: String,
    /// Amount of memory, such as `4GiB`.
    pub memory: String,
    /// Number of accelerators, such as `1`; defaults to `0`.
    #[serde(default = "default_accel")]
    pub accel: String,
}

fn default_accel() -> String {
    "0".to_owned()
}

/// Response to an accepted submission and to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// Name of the job.
    pub job: String,
    /// State of the job after the request.
    pub state: JobState,
}
