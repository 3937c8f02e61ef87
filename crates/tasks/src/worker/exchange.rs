//! The messages exchanged with workers: commands and reports.

use std::fmt;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{
    Attempt, ClassName, Epoch, Incarnation, RackName, TaskName, WorkerName,
};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Cpu, Memory, Size};
use sycamorerill_core::{data, value};

/// Low bits of a token, which hold its number within the epoch.
const NUMBER_BITS: u32 = 40;
/// Mask of the low [`NUMBER_BITS`] bits.
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

value! {
    /// Fencing token of one placement; larger for each later placement of a task.
    pub struct Token(u64);
}

impl Token {
    /// Returns the token with `number` under `epoch`.
    pub const fn new(epoch: Epoch, number: u64) -> Self {
        Self((epoch.0 << NUMBER_BITS) | (number & NUMBER_MASK))
    }

    /// Returns the epoch under which the token was issued.
    pub const fn epoch(self) -> Epoch {
        Epoch(self.0 >> NUMBER_BITS)
    }

    /// Returns the number of the token within its epoch.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }

    /// Returns the token as an integer with the same order.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the token for an integer from [`Token::as_u64`].
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch().0, self.number())
    }
}

/// Name under which a worker stored a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Checkpoint(pub bytes::Bytes);

value! {
    /// Time on the clock of one incarnation of a worker.
    pub struct Instant((Incarnation, Time));
}

impl Instant {
    /// Returns the instant `time` of `incarnation`.
    pub const fn new(incarnation: Incarnation, time: Time) -> Self {
        Self((incarnation, time))
    }

    /// Returns the incarnation whose clock was read.
    pub const fn incarnation(self) -> Incarnation {
        self.0.0
    }

    /// Returns the time on the worker's clock.
    pub const fn time(self) -> Time {
        self.0.1
    }
}

data! {
    /// A worker as the platform lists it.
    pub struct Worker {
        /// Name, unique within the failure domain.
        pub name: WorkerName,
        /// Rack that contains the worker.
        pub rack: RackName,
        /// Total capacity.
        pub size: Size,
        /// Whether the worker is being drained.
        pub leaving: bool,
    }
}

data! {
    /// A message to a worker.
    pub struct Exchange {
        /// Epoch of the owner that sends the exchange.
        pub epoch: Epoch,
        /// Number of the exchange, increasing within the epoch.
        pub number: u64,
        /// Instant of the report at which lease terms start; absent in the first exchange.
        pub lease_base: Option<Instant>,
        /// Commands, in order; empty in the first exchange.
        pub commands: Vec<Command>,
    }
}

data! {
    /// A command to a worker, idempotent by task and token.
    pub enum Command {
        /// Starts a task.
        Start {
            /// Name of the task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
            /// Number of the attempt, starting at 1.
            attempt: Attempt,
            /// Size reserved for the task.
            size: Size,
            /// Duration of the lease, starting at `lease_base`.
            lease: Span,
            /// Class of the job.
            class: ClassName,
            /// Checkpoint from which the task resumes.
            resume_from: Option<Checkpoint>,
        },
        /// Extends the lease of a task.
        Renew {
            /// Name of the task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
            /// Duration of the lease, starting at `lease_base`.
            lease: Span,
        },
        /// Limits a task to a share of its reserved processor time; 1 removes the limit.
        Throttle {
            /// Name of the task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
            /// Share of the reserved processor time.
            share: Share,
        },
        /// Checkpoints a task and then stops it.
        Checkpoint {
            /// Name of the task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
        },
        /// Stops a task.
        Stop {
            /// Name of the task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
            /// Whether to write a checkpoint before stopping.
            checkpoint: bool,
        },
        /// Acknowledges an inactive task, which the worker then drops from its reports.
        Acknowledge {
            /// Name of the task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
        },
    }
}

data! {
    /// The answer of a worker to an exchange.
    pub struct Report {
        /// Highest epoch that the worker has received.
        pub epoch: Epoch,
        /// Number of the exchange that the report answers.
        pub answers: u64,
        /// Time of the report on the worker's clock.
        pub at: Instant,
        /// Total capacity.
        pub size: Size,
        /// All tasks on the worker, including inactive ones that are not acknowledged.
        pub tasks: Vec<TaskReport>,
    }
}

data! {
    /// A task on a worker, as reported.
    pub struct TaskReport {
        /// Name of the task.
        pub task: TaskName,
        /// Fencing token of the placement.
        pub token: Token,
        /// Number of the attempt, starting at 1.
        pub attempt: Attempt,
        /// Size reserved for the task.
        pub size: Size,
        /// Class of the job.
        pub class: ClassName,
        /// Phase of the task.
        pub phase: Phase,
        /// Measured usage, if any.
        pub usage: Option<Usage>,
    }
}

data! {
    /// The phase of a task on its worker.
    pub enum Phase {
        /// Running at full share.
        Running,
        /// Running at a reduced share of its processor time.
        Throttled(Share),
        /// Writing a checkpoint.
        Checkpointing,
        /// Inactive: a checkpoint was written.
        Checkpointed(Checkpoint),
        /// Inactive: the task finished.
        Finished,
        /// Inactive: the task failed.
        Failed(Fault),
        /// Inactive: stopped by a command.
        Stopped,
        /// Inactive: the lease lapsed.
        Lapsed,
    }
}

impl Phase {
    /// Returns whether the task no longer uses processors or memory of the worker.
    pub const fn is_inactive(&self) -> bool {
        !matches!(self, Self::Running | Self::Throttled(_) | Self::Checkpointing)
    }
}

value! {
    /// Why a task failed on its worker.
    pub enum Fault {
        /// The program exited with an error.
        Exit,
        /// The task used more memory than was reserved for it.
        Memory,
        /// The worker could not start the task.
        Start,
        /// The worker could not read the checkpoint.
        Resume,
    }
}

data! {
    /// A measurement of the resources that a task uses.
    pub struct Usage {
        /// Processor time in use.
        pub cpu: Cpu,
        /// Memory in use.
        pub memory: Memory,
        /// Slowdown compared with running alone on the worker, at least 1.
        pub slowdown: f64,
        /// Age of the measurement.
        pub age: Span,
    }
}
