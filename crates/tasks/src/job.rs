//! Jobs as submitted, and the reasons for which one doesn't run.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_core::id::{ClassName, DomainName, JobName, TeamName};
use sycamorerill_core::model::Urgency;
use sycamorerill_core::size::Size;

/// How the tasks of a job are spread over racks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spread {
    /// Anywhere.
    #[default]
    None,
    /// At most so many tasks of the job on one worker.
    Worker(u32),
    /// At most so many tasks of the job in one rack.
    Rack(u32),
}

/// A job with its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name, unique among jobs; a repeat with the same content is the same job.
    pub name: JobName,
    /// Class of the job.
    pub class: ClassName,
    /// Team that is charged with it.
    pub team: TeamName,
    /// Urgency.
    #[serde(with = "crate::text")]
    pub urgency: Urgency,
    /// Number of tasks.
    pub tasks: u32,
    /// Size of a task where it differs from that of the class.
    #[serde(with = "optional_size")]
    pub size: Option<Size>,
    /// Run time of a task in milliseconds where it differs from that of the class.
    pub run_time_ms: Option<u64>,
    /// Instant by which the job must have finished.
    #[serde(with = "optional_time")]
    pub deadline: Option<Time>,
    /// How its tasks are spread.
    pub spread: Spread,
    /// Failure domains in which the job must not run.
    pub never: Vec<DomainName>,
}

impl Job {
    /// Returns the run time stated by the job.
    pub fn run_time(&self) -> Option<Span> {
        self.run_time_ms.map(Span::from_ms)
    }
}

data! {
    /// Identity of a request, echoed in its reply.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Request {
        /// Bytes chosen by the caller of the cell.
        pub id: Bytes,
    }
}

/// Why a job doesn't run.
#[derive(Clone, Debug, PartialEq, thiserror::Error, Serialize, Deserialize)]
pub enum Reason {
    /// The platform's store can't be written.
    #[error("the store cannot be written now, submit the job again later")]
    StoreDown,
    /// The record of the job was not written.
    #[error("the record of the job was not written, submit the job again")]
    NotWritten,
    /// Another entry instance owns the cell.
    #[error("another entry instance owns the cell, submit the job again")]
    Superseded,
    /// The class is not declared.
    #[error("class `{0}` is not declared, expected one of the configuration")]
    Class(ClassName),
    /// The team is not declared.
    #[error("team `{0}` is not declared, expected one of the configuration")]
    Team(TeamName),
    /// The job has no tasks or too many.
    #[error("the job has {found} tasks, expected 1 to {most}")]
    Tasks {
        /// Number of tasks as submitted.
        found: u32,
        /// Largest number of tasks of one job.
        most: u32,
    },
    /// A task is larger than every worker.
    #[error("a task needs {need}, the largest worker has {largest}; declare a smaller size")]
    TooLarge {
        /// Size of a task.
        #[serde(with = "crate::text::size")]
        need: Size,
        /// Largest size among the workers, each dimension by itself.
        #[serde(with = "crate::text::size")]
        largest: Size,
    },
    /// The team's quota is smaller than a task, and the team may not borrow.
    #[error("a task needs {need}, the quota of team `{team}` is {quota} without borrowing")]
    Quota {
        /// Team of the job.
        team: TeamName,
        /// Size of a task.
        #[serde(with = "crate::text::size")]
        need: Size,
        /// Quota of the team in this cell.
        #[serde(with = "crate::text::size")]
        quota: Size,
    },
    /// The spread needs more racks or workers than there are.
    #[error("the spread needs {need} racks or workers, there are {found}; allow more tasks each")]
    Spread {
        /// Number needed.
        need: u32,
        /// Number present.
        found: u32,
    },
    /// The job excludes the failure domain of the cell.
    #[error("the job must not run in failure domain `{0}`")]
    Domain(DomainName),
    /// Too many tasks of the same urgency wait already.
    #[error("{waiting} tasks of this urgency wait, at most {most} may; submit the job later")]
    QueueFull {
        /// Tasks that wait.
        waiting: u64,
        /// Most that may wait.
        most: u64,
    },
    /// Another job has the same name and other content.
    #[error("job `{0}` exists with other content; choose another name")]
    Conflict(JobName),
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks finished.
    Finished,
    /// At least one task failed after its last attempt.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
    /// Handed to the cell of another failure domain.
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
