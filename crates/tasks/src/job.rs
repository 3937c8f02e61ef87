//! Jobs as submitted, and the reasons why a job is refused or parked.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_core::id::{ClassName, DomainName, JobName, TeamName};
use sycamorerill_core::model::Urgency;
use sycamorerill_core::size::Size;

/// Limit on the number of tasks of a job that run on one worker or in one rack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spread {
    /// No limit.
    #[default]
    None,
    /// Largest number of tasks of the job on one worker.
    Worker(u32),
    /// Largest number of tasks of the job in one rack.
    Rack(u32),
}

/// A job as submitted by its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name, unique among jobs; submitting the same name and content again is idempotent.
    pub name: JobName,
    /// Class that supplies the defaults for size, run time and deadline.
    pub class: ClassName,
    /// Team whose quota the job uses.
    pub team: TeamName,
    /// Urgency that orders the job in the queue.
    #[serde(with = "crate::text")]
    pub urgency: Urgency,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Size of each task; the size of the class when absent.
    #[serde(with = "optional_size")]
    pub size: Option<Size>,
    /// Run time of each task in milliseconds; the run time of the class when absent.
    pub run_time_ms: Option<u64>,
    /// Instant by which the job must have finished; derived from the class when absent.
    #[serde(with = "optional_time")]
    pub deadline: Option<Time>,
    /// Limit on the number of tasks per worker or rack.
    pub spread: Spread,
    /// Failure domains in which the job must never run.
    pub never: Vec<DomainName>,
}

impl Job {
    /// Returns the run time stated by the job, if any.
    pub fn run_time(&self) -> Option<Span> {
        self.run_time_ms.map(Span::from_ms)
    }
}

data! {
    /// Identity of a request, echoed in its reply.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct RequestId {
        /// Bytes chosen by the caller of the cell.
        pub id: Bytes,
    }
}

/// Why a job is refused or parked, or why a cancellation is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error, Serialize, Deserialize)]
pub enum Reason {
    /// The platform's store is not writable.
    #[error("the store cannot be written now, submit the job again later")]
    StoreDown,
    /// The journal record of the job was not written.
    #[error("the record of the job was not written, submit the job again")]
    NotWritten,
    /// Another entry instance owns the cell.
    #[error("another entry instance owns the cell, submit the job again")]
    Superseded,
    /// The configuration declares no such class.
    #[error("class `{0}` is not declared, expected one of the configuration")]
    Class(ClassName),
    /// The configuration declares no such team.
    #[error("team `{0}` is not declared, expected one of the configuration")]
    Team(TeamName),
    /// The job has no tasks or more than the limit.
    #[error("the job has {found} tasks, expected 1 to {most}")]
    Tasks {
        /// Number of tasks in the submission.
        found: u32,
        /// Largest number of tasks of one job.
        most: u32,
    },
    /// A task fits on no worker.
    #[error("a task needs {need}, the largest worker has {largest}; declare a smaller size")]
    TooLarge {
        /// Size of a task.
        #[serde(with = "crate::text::size")]
        need: Size,
        /// Maximum over all workers of each dimension separately.
        #[serde(with = "crate::text::size")]
        largest: Size,
    },
    /// A task exceeds the quota of a team that may not borrow.
    #[error("a task needs {need}, the quota of team `{team}` is {quota} without borrowing")]
    Quota {
        /// Team whose quota is too small.
        team: TeamName,
        /// Size of a task.
        #[serde(with = "crate::text::size")]
        need: Size,
        /// Quota of the team in this cell.
        #[serde(with = "crate::text::size")]
        quota: Size,
    },
    /// The spread limit needs more racks or workers than exist.
    #[error("the spread needs {need} racks or workers, there are {found}; allow more tasks each")]
    Spread {
        /// Number of racks or workers needed.
        need: u32,
        /// Number of racks or workers in the cell.
        found: u32,
    },
    /// The job excludes the failure domain of the cell.
    #[error("the job must not run in failure domain `{0}`")]
    Domain(DomainName),
    /// The queue for this urgency has no room for the tasks of the job.
    #[error("{waiting} tasks of this urgency wait, at most {most} may; submit the job later")]
    QueueFull {
        /// Tasks of this urgency that are waiting.
        waiting: u64,
        /// Largest number of tasks of one urgency that may wait.
        most: u64,
    },
    /// A job with the same name but different content exists.
    #[error("job `{0}` exists with other content; choose another name")]
    Conflict(JobName),
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task finished.
    Finished,
    /// At least one task failed after its last attempt.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
    /// Handed over to the cell of another failure domain.
    Moved,
}

mod optional_size {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use sycamorerill_core::size::Size;

    #[derive(Serialize, Deserialize)]
    struct Wrap(#[serde(with = "crate::text::size")] Size);

    pub(super) fn serialize<S: Serializer>(size: &Option<Size>, to: S) -> Result<S::Ok, S::Error> {
        size.map(Wrap).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Size>, D::Error> {
        Ok(Option::<Wrap>::deserialize(from)?.map(|wrap| wrap.0))
    }
}

mod optional_time {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use sycamorerill_core::clock::Time;

    pub(super) fn serialize<S: Serializer>(time: &Option<Time>, to: S) -> Result<S::Ok, S::Error> {
        time.map(Time::as_ms).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Time>, D::Error> {
        Ok(Option::<u64>::deserialize(from)?.map(Time::from_ms))
    }
}
