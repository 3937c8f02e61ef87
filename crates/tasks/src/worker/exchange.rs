//! Commands to workers and their reports.

use std::fmt;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{
    Attempt, ClassName, Epoch, Incarnation, RackName, TaskName, WorkerName,
};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Cpu, Memory, Size};
use sycamorerill_core::{data, value};

/// Bits of a token that number it within its epoch.
const NUMBER_BITS: u32 = 40;
/// Those bits.
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

value! {
    /// Fencing token of one placement; a later placement of a task has a larger one.
    pub struct Token(u64);
}

impl Token {
    /// Returns the token numbered `number` under `epoch`.
    pub const fn new(epoch: Epoch, number: u64) -> Self {
        Self((epoch.0 << NUMBER_BITS) | (number & NUMBER_MASK))
    }

    /// Returns the epoch under which the token was given.
    pub const fn epoch(self) -> Epoch {
        Epoch(self.0 >> NUMBER_BITS)
    }

    /// Returns the number of the token within its epoch.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }

    /// Returns the token as one number, ordered as tokens are.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the token of which `value` is the number.
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch().0, self.number())
    }
}

/// Name under which a worker has stored a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Checkpoint(pub bytes::Bytes);

value! {
    /// Instant on the clock of one incarnation of a worker.
    pub struct Instant((Incarnation, Time));
}

impl Instant {
    /// Returns the instant `time` of `incarnation`.
    pub const fn new(incarnation: Incarnation, time: Time) -> Self {
        Self((incarnation, time))
    }

    /// Returns the incarnation of the worker.
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
        /// Name of the worker.
        pub name: WorkerName,
        /// Rack of the worker.
        pub rack: RackName,
        /// Size of the worker.
        pub size: Size,
        /// Whether the worker is to be emptied.
        pub leaving: bool,
    }
}

data! {
    /// One message to a worker.
    pub struct Exchange {
        /// Epoch of the owner.
        pub epoch: Epoch,
        /// Number of the exchange within the epoch.
        pub number: u64,
        /// Instant of the report from which leases count; absent in the first exchange.
        pub as_of: Option<Instant>,
        /// Commands, in order; empty in the first exchange.
        pub commands: Vec<Command>,
    }
}

data! {
    /// A command to a worker, idempotent by task and token.
    pub enum Command {
        /// Start a task.
        Start {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
            /// Attempt, counted from 1.
            attempt: Attempt,
            /// Size that is reserved for the task.
            size: Size,
            /// Term of the lease from `as_of`.
            lease: Span,
            /// Class of the task.
            class: ClassName,
            /// Checkpoint from which to go on.
            resume_from: Option<Checkpoint>,
        },
        /// Extend the lease of a task.
        Renew {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
            /// Term of the lease from `as_of`.
            lease: Span,
        },
        /// Let a task run at a share of its processor time; 1 lifts the limit.
        Throttle {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
            /// Share of the reserved processor time.
            share: Share,
        },
        /// Checkpoint a task and take it off.
        Checkpoint {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
        },
        /// Take a task off.
        Stop {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
            /// Whether to checkpoint it first.
            checkpoint: bool,
        },
        /// Forget a task that is off.
        Ack {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
        },
    }
}

data! {
    /// What a worker answers to an exchange.
    pub struct Report {
        /// Highest epoch that the worker has seen.
        pub epoch: Epoch,
        /// Number of the exchange that is answered.
        pub answers: u64,
        /// Instant of the report on the worker's clock.
        pub at: Instant,
        /// Size of the worker.
        pub size: Size,
        /// All tasks that the worker holds, also those that are off and not acknowledged.
        pub held: Vec<Held>,
    }
}

data! {
    /// A task that a worker holds.
    pub struct Held {
        /// The task.
        pub task: TaskName,
        /// Its fencing token.
        pub token: Token,
        /// Attempt, counted from 1.
        pub attempt: Attempt,
        /// Size that is reserved for the task.
        pub size: Size,
        /// Class of the task.
        pub class: ClassName,
        /// Where the task stands.
        pub phase: Phase,
        /// What the task uses, where that was measured.
        pub usage: Option<Usage>,
    }
}

data! {
    /// Where a task stands on its worker.
    pub enum Phase {
        /// Runs at full share.
        Running,
        /// Runs at a reduced share.
        Throttled(Share),
        /// A checkpoint is being written.
        Checkpointing,
        /// Off, with a checkpoint.
        Checkpointed(Checkpoint),
        /// Off, finished.
        Finished,
        /// Off, failed.
        Failed(Fault),
        /// Off, stopped by command.
        Stopped,
        /// Off, since its lease lapsed.
        Lapsed,
    }
}

impl Phase {
    /// Reports whether the task is off the worker's processors and memory.
    pub const fn is_inactive(&self) -> bool {
        !matches!(self, Self::Running | Self::Throttled(_) | Self::Checkpointing)
    }
}

value! {
    /// Why a task failed on its worker.
    pub enum Fault {
        /// The program ended with an error.
        Exit,
        /// The task used more memory than is reserved.
        Memory,
        /// The worker could not start the task.
        Start,
        /// The checkpoint could not be read.
        Resume,
    }
}

data! {
    /// What a task uses, as measured some time ago.
    pub struct Usage {
        /// Processor time in use.
        pub cpu: Cpu,
        /// Memory in use.
        pub memory: Memory,
        /// How much slower the task is than alone, at least 1.
        pub slowdown: f64,
        /// Age of the measurement.
        pub age: Span,
    }
}
