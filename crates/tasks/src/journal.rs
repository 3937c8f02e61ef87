//! What must last of a cell: records and the snapshot that replaces them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, JobName, WorkerName};

use crate::job::{Job, Outcome};
use crate::worker::Checkpoint;

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the record, larger by one than that of the record before.
    pub sequence: u64,
    /// What happened.
    pub entry: Entry,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A worker may be given tasks from now on.
    Admitted(WorkerName),
    /// A worker is gone for good and holds nothing.
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
    /// An attempt at a task failed.
    Attempts {
        /// Job of the task.
        job: JobName,
        /// Index of the task.
        task: u32,
        /// Failed attempts so far.
        count: u32,
        /// Whether it was the last attempt.
        last: bool,
    },
    /// A checkpoint of a task is known.
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
    /// A job is being handed to the cell of another failure domain.
    Moving {
        /// The job.
        job: JobName,
        /// Receiver.
        to: DomainName,
    },
    /// A job was taken over from the cell of another failure domain.
    Received(Box<Transfer>),
}

/// A job as it is handed from one cell to another, or kept in a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The job.
    pub job: Job,
    /// Instant of its submission.
    #[serde(with = "crate::text::time")]
    pub at: Time,
    /// Tasks of which more is known than that they wait.
    pub tasks: BTreeMap<u32, Progress>,
    /// Whether the job missed its deadline.
    pub missed: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Cell to which the job is being handed.
    pub moving: Option<DomainName>,
    /// Number of hand-overs that the job had, this one included.
    pub hops: u32,
}

impl Transfer {
    /// Returns a job of whose tasks nothing is known.
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

/// What must last of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether the task finished.
    pub finished: bool,
    /// Whether the task failed after its last attempt.
    pub failed: bool,
    /// Failed attempts.
    pub attempts: u32,
    /// Last known checkpoint.
    pub checkpoint: Option<Checkpoint>,
}

/// Everything that must last of a cell, up to a record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the last record contained.
    pub sequence: u64,
    /// Workers that may hold tasks.
    pub workers: BTreeSet<WorkerName>,
    /// Jobs that have not ended.
    pub jobs: Vec<Transfer>,
    /// Jobs that ended.
    pub ended: BTreeMap<JobName, Ended>,
}

/// A job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How it ended.
    pub outcome: Outcome,
    /// Instant after which it is forgotten, in milliseconds.
    pub until_ms: u64,
    /// Number of hand-overs that it had.
    pub hops: u32,
}
