//! What a caller submits: a job of steps, each of several tasks.

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::id::{Image, Label, QueueName};

/// Most tasks of one step.
pub const MAX_TASKS: u32 = 10_000;
/// Most steps of one job.
pub const MAX_STEPS: usize = 256;
/// Longest text that is handed to each task, in bytes.
pub const MAX_TEXT_BYTES: usize = 4_000;

/// Room that a task takes or an executor has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Thousandths of a core.
    #[serde(rename = "c", default)]
    pub cpu: u64,
    /// Memory in MiB.
    #[serde(rename = "m", default)]
    pub memory: u64,
    /// Accelerators.
    #[serde(rename = "a", default)]
    pub accelerators: u64,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Room that each task asks for.
    pub room: Room,
    /// Rough run time of a task in milliseconds.
    pub estimate_ms: u64,
    /// Numbers of the steps that must be done before.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    #[serde(skip_serializing_if = "is_false")]
    pub saves: bool,
    /// Whether the tasks work only together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// Label that an executor must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Label>,
    /// Rack where the data is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Label>,
    /// Most tasks of one occurrence of the step on one executor.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Whether copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// What the tasks run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Image>,
    /// Objective of the tail of the response times of a task, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Whether the tasks live on processor time that others leave.
    #[serde(skip_serializing_if = "is_false")]
    pub filling: bool,
    /// Most tasks that may be away at once by our own doing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub may_miss: Option<u32>,
}

/// Times at which the steps of a job run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// First occurrence, in milliseconds since 1970.
    pub start_ms: u64,
    /// Milliseconds between occurrences.
    pub period_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

data! {
    /// A job as submitted.
    #[derive(Serialize, Deserialize)]
    pub struct Job {
        /// Text that is handed to each task.
        pub text: String,
        /// Steps in their order.
        pub steps: Vec<Step>,
        /// Schedule, where the steps run more than once or at a set time.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub schedule: Option<Schedule>,
    }
}

data! {
    /// A job as accepted, the value of its row.
    #[derive(Serialize, Deserialize)]
    pub struct Accepted {
        /// Queue to which it was submitted.
        pub queue: QueueName,
        /// When, in milliseconds since 1970.
        pub at_ms: u64,
        /// The job.
        pub job: Job,
    }
}

/// The ways in which a job can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is too long.
    #[error("the text has {found} bytes, expected at most {MAX_TEXT_BYTES}")]
    Text {
        /// Length as given.
        found: usize,
    },
    /// There are no steps or too many.
    #[error("the job has {found} steps, expected 1 to {MAX_STEPS}")]
    Steps {
        /// Number as given.
        found: usize,
    },
    /// A step has no tasks or too many.
    #[error("step {step} has {found} tasks, expected 1 to {MAX_TASKS}")]
    Tasks {
        /// Number of the step.
        step: usize,
        /// Number of tasks as given.
        found: u32,
    },
    /// A step waits for itself or a later one.
    #[error("step {step} depends on step {after}, expected an earlier one")]
    Order {
        /// Number of the step.
        step: usize,
        /// Step that it depends on.
        after: u32,
    },
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_false(value: &bool) -> bool {
    !*value
}

impl Room {
    /// Reports whether `need` fits into this room.
    pub const fn fits(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// Returns this room less `other`, each dimension at least zero.
    #[must_use]
    pub const fn less(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns this room and `other` together.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl Step {
    /// Returns the room that a task of this step takes of what is shared out.
    pub const fn taken(&self) -> Room {
        let cpu = if self.filling { 0 } else { self.room.cpu };
        Room { cpu, ..self.room }
    }
}

impl Job {
    /// Checks the job.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), Error> {
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(Error::Text { found: self.text.len() });
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps { found: self.steps.len() });
        }
        self.steps.iter().enumerate().try_for_each(|(number, step)| check_step(number, step))
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns the longest chain of estimated run times.
    pub fn chain(&self) -> Span {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|s| ends.get(*s as usize)).max();
            ends.push(start.copied().unwrap_or(0) + step.estimate_ms);
        }
        Span::from_ms(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the longest chain of estimated run times from step `first` on.
    pub fn chain_from(&self, first: u32) -> Span {
        let mut ends: Vec<Option<u64>> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|s| ends.get(*s as usize).copied().flatten());
            let end = match before.max() {
                Some(end) => Some(end + step.estimate_ms),
                None => (number == first as usize).then_some(step.estimate_ms),
            };
            ends.push(end);
        }
        Span::from_ms(ends.into_iter().flatten().max().unwrap_or(0))
    }

    /// Reports whether the job runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

fn check_step(number: usize, step: &Step) -> Result<(), Error> {
    if step.count == 0 || step.count > MAX_TASKS {
        return Err(Error::Tasks { step: number, found: step.count });
    }
    match step.after.iter().find(|after| **after as usize >= number) {
        Some(after) => Err(Error::Order { step: number, after: *after }),
        None => Ok(()),
    }
}
