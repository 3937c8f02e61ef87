//! Jobs with their occurrences, steps and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorerill_core::clock::Time;

use super::rank::Rank;
use crate::executor::Born;
use crate::id::{ExecutorId, QueueName, Run, StepId, TaskId};
use crate::progress::State;
use crate::spec::Job;

/// A job.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) job: Arc<Job>,
    pub(super) text: Arc<str>,
    pub(super) queue: QueueName,
    /// When it was accepted, in milliseconds since 1970.
    pub(super) accepted_ms: u64,
    pub(super) lasting: bool,
    pub(super) cancelled: bool,
    pub(super) state: State,
    /// State that callers were last shown, as recorded or being recorded.
    pub(super) reported_state: State,
    /// Occurrences that have begun and are not done.
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences that are done.
    pub(super) finished: BTreeSet<u32>,
    /// Lowest occurrence that has not begun.
    pub(super) next_occurrence: u32,
}

/// One occurrence of a job.
#[derive(Debug)]
pub(super) struct Occurrence {
    /// When it began, in milliseconds since 1970.
    pub(super) begin_ms: u64,
    pub(super) steps: Vec<Step>,
}

/// One step of an occurrence.
#[derive(Debug)]
pub(super) struct Step {
    /// Whether all steps that it depends on are done.
    pub(super) begun: bool,
    /// Number of tasks that are not done.
    pub(super) left: u32,
    pub(super) tasks: Vec<Task>,
    /// Indices of tasks that wait to be placed.
    pub(super) waiting: BTreeSet<u32>,
    /// Rank under which the step waits.
    pub(super) rank: Option<Rank>,
    /// When its tasks could start.
    pub(super) ready_since: Time,
}

/// A task.
#[derive(Debug, Default)]
pub(super) struct Task {
    pub(super) done: bool,
    /// Highest run that was ordered.
    pub(super) run: u32,
    /// Runs that ended as failed.
    pub(super) failed: u32,
    pub(super) saved: String,
    pub(super) open_runs: Vec<OpenRun>,
    /// Executor on which it failed last.
    pub(super) avoided_executor: Option<ExecutorId>,
    /// It is not placed before.
    pub(super) not_before: Time,
}

/// A run whose end is not known.
#[derive(Debug)]
pub(super) struct OpenRun {
    pub(super) run: Run,
    pub(super) executor: ExecutorId,
    pub(super) born: Born,
    pub(super) stage: Stage,
    /// Whether it is to be stopped, and how far that got.
    pub(super) stop: Stop,
    /// Share at which it is let work, in percent.
    pub(super) limit_percent: u32,
    /// Since when it is held back.
    pub(super) throttled_since: Option<Time>,
    /// When it was first ordered.
    pub(super) first_sent: Time,
    /// When it was last ordered.
    pub(super) last_sent: Time,
    /// Progress as last listed, in percent, and when that last changed.
    pub(super) progress: (u32, Time),
}

/// How far the order of a run got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is to be recorded.
    Recording,
    /// It was sent and not answered yet.
    Sent,
    /// No answer came: it may be carried out later.
    Unknown,
    /// The executor said that it runs; looks sent from this number on list it.
    Running {
        /// First look sent after the answer.
        since_probe: u64,
    },
    /// A predecessor ordered it.
    Inherited,
}

/// How far the stop of a run got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// None is wanted.
    NotRequested,
    /// It is to be ordered.
    Requested,
    /// It was sent at this time.
    Sent(Time),
    /// It was answered; looks sent from this number on list the run's end or the
    /// executor does not know the run.
    Answered {
        /// First look sent after the answer.
        since_probe: u64,
    },
}

impl Entry {
    /// Returns a task of the job.
    pub(super) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.step(id.step)?.tasks.get(id.index as usize)
    }

    /// Returns a task of the job.
    pub(super) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.step_mut(id.step.occurrence, id.step.step)?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Returns a step of the job.
    pub(super) fn step(&self, id: StepId) -> Option<&Step> {
        self.occurrences.get(&id.occurrence)?.steps.get(id.step as usize)
    }

    /// Returns a step of an occurrence.
    pub(super) fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Step> {
        self.occurrences.get_mut(&occurrence)?.steps.get_mut(step as usize)
    }

    /// Reports whether tasks of the job may be placed.
    pub(super) fn is_active(&self) -> bool {
        !self.cancelled && !self.state.is_terminal()
    }

    /// Returns when occurrence `number` is due, in milliseconds since 1970.
    pub(super) fn due_ms(&self, number: u32) -> u64 {
        match &self.job.schedule {
            Some(schedule) => schedule.start_ms + u64::from(number) * schedule.period_ms,
            None => self.accepted_ms,
        }
    }

    /// Returns a new occurrence of the job with no task touched.
    pub(super) fn occurrence(&self, number: u32, now: Time) -> Occurrence {
        let steps = self.job.steps.iter().map(|step| Step::new(step.count, now)).collect();
        Occurrence { begin_ms: self.due_ms(number), steps }
    }
}

impl Step {
    fn new(count: u32, now: Time) -> Self {
        let mut tasks = Vec::new();
        tasks.resize_with(count as usize, Task::default);
        Self {
            begun: false,
            left: count,
            tasks,
            waiting: BTreeSet::new(),
            rank: None,
            ready_since: now,
        }
    }
}

impl Task {
    /// Returns the open run with this number.
    pub(super) fn open_run_mut(&mut self, run: Run) -> Option<&mut OpenRun> {
        self.open_runs.iter_mut().find(|open| open.run == run)
    }
}
