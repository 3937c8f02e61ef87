//! Identifiers of jobs, tasks, executors, shards and configured names.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sycamorerill_core::value;

/// Number of hexadecimal digits in the printed form of a job's identifier.
const JOB_DIGITS: usize = 16;
/// Number of parts, separated by dots, in the printed form of a task's identifier.
const TASK_PARTS: usize = 4;

/// Error for a text that is not the printed form of an identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a valid {kind} identifier")]
pub struct Error {
    /// Kind of the expected identifier: `job` or `task`.
    pub kind: &'static str,
    /// Text that was parsed.
    pub text: String,
}

value! {
    /// Identifier of a job, chosen by its caller and printed as 16 hexadecimal digits.
    pub struct JobId(pub u64);
}

value! {
    /// Identifier of a step in one occurrence of a job.
    pub struct StepId {
        /// Job that the step belongs to.
        pub job: JobId,
        /// Number of the occurrence; 0 for a job without a schedule.
        pub occurrence: u32,
        /// Number of the step within the job, starting at 0.
        pub step: u32,
    }
}

value! {
    /// Identifier of a task, printed as `JOB.OCCURRENCE.STEP.INDEX`.
    pub struct TaskId {
        /// Step that the task belongs to.
        pub step: StepId,
        /// Index of the task within the step, starting at 0.
        pub index: u32,
    }
}

value! {
    /// Number of a run of a task.
    ///
    /// It rises with each start, also across changes of the shard's owner.
    pub struct Run(pub u32);
}

value! {
    /// Identifier of a shard, a set of executors and jobs with one owner.
    pub struct ShardId(pub u32);
}

impl StepId {
    /// Returns the identifier of task `index` of the step.
    pub const fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || Error { kind: "job", text: text.to_owned() };
        let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != JOB_DIGITS || !digits {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| malformed())
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || Error { kind: "task", text: text.to_owned() };
        let parts: Vec<&str> = text.split('.').collect();
        let [job, occurrence, step, index] = parts.as_slice() else {
            return Err(malformed());
        };
        debug_assert_eq!(parts.len(), TASK_PARTS);
        let number = |text: &str| text.parse::<u32>().map_err(|_| malformed());
        let step =
            StepId { job: job.parse()?, occurrence: number(occurrence)?, step: number(step)? };
        Ok(step.task(number(index)?))
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{}", self.0)
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Declares a name that is chosen outside this crate: any text, cheap to clone.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

text_id! {
    /// Name of a queue, to which callers submit jobs.
    QueueName
}
text_id! {
    /// Name of a service, whose executors run the tasks of its queues.
    ServiceName
}
text_id! {
    /// Name of an executor; a later incarnation may reuse it.
    ExecutorId
}
text_id! {
    /// Label of an executor: its kind or its rack.
    Label
}
text_id! {
    /// Name of the image that tasks run; tasks of the same image behave alike.
    Image
}
text_id! {
    /// Ticket of the advice service that permits an executor to run a step.
    Ticket
}
text_id! {
    /// Name of an entry instance.
    InstanceName
}
text_id! {
    /// Name of a failure domain.
    DomainName
}
