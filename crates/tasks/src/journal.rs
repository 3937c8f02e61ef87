//! The durable state of a cell: journal records and snapshots.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, JobName, WorkerName};

use crate::job::{Job, Outcome};
use crate::worker::Checkpoint;

/// A numbered entry of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Sequence number, one larger than that of the previous record.
    pub sequence: u64,
    /// State change that the record makes durable.
    pub entry: Entry,
}

/// A state change of a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A worker may be assigned tasks from now on.
    Admitted(WorkerName),
    /// A worker is permanently gone and holds no tasks.
    Retired(WorkerName),
    /// A job was accepted.
    Accepted {
        /// The job.
        job: Job,
        /// Instant of its submission.
        #[serde(with = "crate::text::time")]
        at: Time,
    },
    /// A task finished.
    Finished {
        /// Job of the task.
        job: JobName,
        /// Index of the task.
        task: u32,
    },
    /// An attempt to run a task failed, or its worker crashed shortly after it started there.
    Attempts {
        /// Job of the task.
        job: JobName,
        /// Index of the task.
        task: u32,
        /// Number of failed attempts so far.
        count: u32,
        /// Number of such crashes so far.
        #[serde(default, skip_serializing_if = "is_zero")]
        crashes: u32,
        /// Whether the task is not tried again.
        last: bool,
    },
    /// A worker reported a checkpoint of a task.
    Checkpointed {
        /// Job of the task.
        job: JobName,
        /// Index of the task.
        task: u32,
        /// The checkpoint.
        checkpoint: Checkpoint,
    },
    /// A job was cancelled.
    Cancelled(JobName),
    /// A job missed its deadline.
    Missed(JobName),
    /// A job ended.
    Ended {
        /// The job.
        job: JobName,
        /// How it ended.
        outcome: Outcome,
    },
    /// The handover of a job to the cell of another failure domain started.
    Moving {
        /// The job.
        job: JobName,
        /// Failure domain of the receiver.
        to: DomainName,
    },
    /// A job was received from the cell of another failure domain.
    Received(Box<Transfer>),
}

/// The durable state of a job, as kept in a snapshot or sent in a handover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The job.
    pub job: Job,
    /// Instant of its submission.
    #[serde(with = "crate::text::time")]
    pub at: Time,
    /// Progress of each task that has made any, by task index.
    pub tasks: BTreeMap<u32, Progress>,
    /// Whether a durable record says that the job missed its deadline.
    pub missed: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Failure domain to which the job is being handed over, if any.
    pub moving: Option<DomainName>,
    /// Number of handovers of the job, including this one.
    pub hops: u32,
}

impl Transfer {
    /// Returns the state of a job none of whose tasks has made progress.
    pub fn new(job: Job, at: Time) -> Self {
        Self {
            job,
            at,
            tasks: BTreeMap::new(),
            missed: false,
            cancelled: false,
            moving: None,
            hops: 0,
        }
    }
}

/// The durable state of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether the task finished.
    pub finished: bool,
    /// Whether the task failed and is not tried again.
    pub failed: bool,
    /// Number of failed attempts.
    pub attempts: u32,
    /// Number of workers that crashed shortly after the task started there.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Checkpoint from which the next attempt resumes.
    pub checkpoint: Option<Checkpoint>,
}

/// The durable state of a cell up to and including one record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Sequence number of the last record that the snapshot includes.
    pub sequence: u64,
    /// Workers that may hold tasks and that a successor must fence.
    pub workers: BTreeSet<WorkerName>,
    /// Jobs that have not ended, with their progress.
    pub jobs: Vec<Transfer>,
    /// Jobs that ended and whose names are still retained.
    pub ended: BTreeMap<JobName, Ended>,
}

/// The outcome of a job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How it ended.
    pub outcome: Outcome,
    /// Instant after which the entry is purged, in milliseconds.
    pub until_ms: u64,
    /// Number of handovers of the job.
    pub hops: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde expects")]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}
