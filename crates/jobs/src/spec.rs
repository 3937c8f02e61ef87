//! Jobs as callers submit them: a job has steps, and a step has tasks.

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::config::Terms;
use crate::id::{Image, Label, QueueName};

/// Maximum number of tasks in one step.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;
/// Maximum number of tasks in all steps of one job: an instance holds the state of each in memory.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Maximum number of steps in one job.
pub const MAX_STEPS: usize = 256;
/// Maximum length of [`Job::text`], in bytes.
pub const MAX_TEXT_BYTES: usize = 4_000;

/// Resources that a task needs or an executor has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    #[serde(rename = "c", default)]
    pub cpu: u64,
    /// Memory in MiB.
    #[serde(rename = "m", default)]
    pub memory: u64,
    /// Number of accelerators.
    #[serde(rename = "a", default)]
    pub accelerators: u64,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Estimated run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Numbers of the steps that must be done before this one starts.
    #[serde(rename = "after", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "saves", skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// Whether the tasks form a gang: each works only while all the others run.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are slower if they are placed on more than one rack.
    #[serde(rename = "one_rack", skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that an executor must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Label>,
    /// Rack that holds the data of the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Label>,
    /// Maximum number of tasks of one occurrence of the step on one executor.
    #[serde(rename = "spread", skip_serializing_if = "Option::is_none")]
    pub max_per_executor: Option<u32>,
    /// Whether speculative copies of a task may run in parallel.
    #[serde(rename = "copies", skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Image that the tasks run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Image>,
    /// Objective for the tail of a task's response times, in milliseconds; `None` if the tasks
    /// are not latency-critical.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Whether the tasks are best-effort and use only processor time that others leave idle.
    #[serde(rename = "filling", skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// Maximum number of tasks that may be down at the same time because of the scheduler.
    #[serde(rename = "may_miss", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Times at which the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since 1970.
    pub start_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub period_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

data! {
    /// A job as submitted.
    #[derive(Serialize, Deserialize)]
    pub struct Job {
        /// Text that is passed to each task.
        pub text: String,
        /// Steps of the job; each may depend only on earlier ones.
        pub steps: Vec<Step>,
        /// Schedule, if the steps run more than once or at a given time.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub schedule: Option<Schedule>,
    }
}

data! {
    /// An accepted job, the value of its row in the store.
    #[derive(Serialize, Deserialize)]
    pub struct AcceptedJob {
        /// Queue to which it was submitted.
        pub queue: QueueName,
        /// Settings of the queue at the acceptance, for the case that its name vanishes from the
        /// configuration; `None` in rows of earlier versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub terms: Option<Terms>,
        /// When the job was accepted, in milliseconds since 1970.
        pub at_ms: u64,
        /// Job as its caller submitted it.
        pub job: Job,
    }
}

/// Errors in a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text exceeds [`MAX_TEXT_BYTES`].
    #[error("the text has {found} bytes, expected at most {MAX_TEXT_BYTES}")]
    TextTooLong {
        /// Length of the text, in bytes.
        found: usize,
    },
    /// The job has no steps or more than [`MAX_STEPS`].
    #[error("the job has {found} steps, expected 1 to {MAX_STEPS}")]
    StepCount {
        /// Number of steps in the job.
        found: usize,
    },
    /// A step has no tasks or more than [`MAX_TASKS_PER_STEP`].
    #[error("step {step} has {found} tasks, expected 1 to {MAX_TASKS_PER_STEP}")]
    TaskCount {
        /// Number of the step.
        step: usize,
        /// Number of tasks in the step.
        found: u32,
    },
    /// The steps have more than [`MAX_TASKS_PER_JOB`] tasks together.
    #[error("the job has {found} tasks, expected at most {MAX_TASKS_PER_JOB}")]
    JobSize {
        /// Number of tasks in all steps.
        found: u64,
    },
    /// A step depends on itself or a later step.
    #[error("step {step} depends on step {dependency}, expected an earlier one")]
    DependencyOrder {
        /// Number of the step.
        step: usize,
        /// Number of the step that it depends on.
        dependency: u32,
    },
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_false(value: &bool) -> bool {
    !*value
}

impl Resources {
    /// Returns whether these resources cover `need`.
    pub const fn covers(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// Returns these resources minus `other`, with each dimension at least zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the sum of these resources and `other`.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Step {
    /// Returns the part of an executor's capacity that a task of this step reserves.
    ///
    /// A best-effort task reserves no processor time.
    pub const fn reserved(&self) -> Resources {
        let cpu = if self.best_effort { 0 } else { self.resources.cpu };
        Resources { cpu, ..self.resources }
    }
}

impl Job {
    /// Validates the job.
    ///
    /// # Errors
    ///
    /// Returns an error for the first violation found.
    pub fn validate(&self) -> Result<(), Error> {
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(Error::TextTooLong { found: self.text.len() });
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::StepCount { found: self.steps.len() });
        }
        self.steps.iter().enumerate().try_for_each(|(number, step)| validate_step(number, step))?;
        let found = self.task_count();
        if found > MAX_TASKS_PER_JOB { Err(Error::JobSize { found }) } else { Ok(()) }
    }

    /// Returns the number of tasks in all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of times that the steps run, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns the length of the critical path: the largest sum of estimated run times along
    /// a chain of dependent steps.
    pub fn critical_path(&self) -> Span {
        let mut end_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.depends_on.iter().filter_map(|s| end_ms.get(*s as usize)).max();
            end_ms.push(start.copied().unwrap_or(0).saturating_add(step.estimate_ms));
        }
        Span::from_ms(end_ms.into_iter().max().unwrap_or(0))
    }

    /// Returns the length of the longest chain of dependent steps that starts with step
    /// `first`, by estimated run time.
    pub fn critical_path_from(&self, first: u32) -> Span {
        let mut end_ms: Vec<Option<u64>> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let dependencies =
                step.depends_on.iter().filter_map(|s| end_ms.get(*s as usize).copied().flatten());
            let end = match dependencies.max() {
                Some(end) => Some(end.saturating_add(step.estimate_ms)),
                None => (number == first as usize).then_some(step.estimate_ms),
            };
            end_ms.push(end);
        }
        Span::from_ms(end_ms.into_iter().flatten().max().unwrap_or(0))
    }

    /// Returns whether a step of the job runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

fn validate_step(number: usize, step: &Step) -> Result<(), Error> {
    if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
        return Err(Error::TaskCount { step: number, found: step.count });
    }
    match step.depends_on.iter().find(|dependency| **dependency as usize >= number) {
        Some(dependency) => Err(Error::DependencyOrder { step: number, dependency: *dependency }),
        None => Ok(()),
    }
}
