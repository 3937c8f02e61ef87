//! In-memory state of jobs with their occurrences, steps and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sycamorerill_core::clock::Time;

use super::limit::Limit;
use super::ranges::Ranges;
use super::rank::Rank;
use super::task_list::TaskList;
use crate::config::Queue;
use crate::executor::Incarnation;
use crate::id::{ExecutorId, QueueName, Run, StepId, TaskId};
use crate::progress::State;
use crate::record::{MAX_CHECKPOINT_BYTES, json_bytes};
use crate::spec::{AcceptedJob, Job};

/// State of one job.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) job: Arc<Job>,
    pub(super) text: Arc<str>,
    pub(super) queue: QueueName,
    /// Settings of the queue for the time when the configuration does not name it any more: those of
    /// the acceptance, unless an owner has kept others.
    pub(super) kept: Option<Queue>,
    /// Whether `kept` differs from the settings in the row of the accepted job, so that the first
    /// record of the job holds it.
    pub(super) records_terms: bool,
    /// When the job was accepted, in milliseconds since 1970.
    pub(super) accepted_ms: u64,
    pub(super) long_running: bool,
    pub(super) cancelled: bool,
    pub(super) state: State,
    /// State that was last recorded for callers, or is being recorded.
    pub(super) reported_state: State,
    /// Occurrences that have begun and are not done, or that still have open runs.
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// Numbers of occurrences that are done.
    pub(super) finished: Ranges,
    /// Whether a record of the job was rejected by the store or cannot be read, so that none of its
    /// tasks is placed.
    pub(super) is_rejected: bool,
    /// Whether the log has a line that no executor could run a step of the job.
    pub(super) unschedulable_logged: bool,
    /// Lowest number of an occurrence that has not begun.
    pub(super) next_occurrence: u32,
}

/// One occurrence of a job; a job without a schedule has one.
#[derive(Debug)]
pub(super) struct Occurrence {
    /// When the occurrence was to begin, in milliseconds since 1970.
    pub(super) begin_ms: u64,
    pub(super) steps: Vec<Step>,
}

/// One step of an occurrence.
#[derive(Debug)]
pub(super) struct Step {
    /// Whether all steps that this step depends on are done.
    pub(super) begun: bool,
    /// Number of tasks that are not done.
    pub(super) left: u32,
    pub(super) tasks: TaskList,
    /// Indices of tasks that wait for placement.
    pub(super) waiting: BTreeSet<u32>,
    /// Rank under which the step is queued for placement.
    pub(super) rank: Option<Rank>,
    /// Whether the last placement pass that tried the step found no executor for a task.
    pub(super) blocked: bool,
    /// Whether the log has a line that the step was held back.
    pub(super) held_back_logged: bool,
    /// Whether the log has a line of a reservation for the step.
    pub(super) reservation_logged: bool,
    /// When all steps that this step depends on were done.
    pub(super) ready_since: Time,
}

/// One task of a step.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) done: bool,
    /// Highest run number that was assigned; 0 before the first run.
    pub(super) run: u32,
    /// Number of runs that ended as failed.
    pub(super) failed: u32,
    /// Number of executors that crashed shortly after the task may have started there.
    pub(super) crashes: u32,
    /// Number of those on which the task had certainly started.
    pub(super) confirmed_crashes: u32,
    pub(super) checkpoint: String,
    pub(super) open_runs: Vec<OpenRun>,
    /// Executor on which the task last failed or from which it was last moved; placement
    /// prefers others.
    pub(super) avoided_executor: Option<ExecutorId>,
    /// Earliest time of the next placement.
    pub(super) not_before: Time,
    /// When the last run was closed; at the beginning of time if a predecessor closed it.
    pub(super) waiting_since: Time,
}

/// A run whose end is not known yet.
#[derive(Debug)]
pub(super) struct OpenRun {
    pub(super) run: Run,
    pub(super) executor: ExecutorId,
    pub(super) incarnation: Incarnation,
    /// Address of the executor when the run was placed; `None` if a predecessor did not record it.
    pub(super) address: Option<SocketAddr>,
    pub(super) stage: Stage,
    /// Whether the run is to be stopped, and the progress of the order to stop it.
    pub(super) stop: Stop,
    pub(super) limit: Limit,
    /// Since when the limit has been low enough to move the run elsewhere.
    pub(super) throttled_since: Option<Time>,
    /// When the order to start the run was first sent.
    pub(super) first_sent: Time,
    /// When the order to start the run was last sent.
    pub(super) last_sent: Time,
    /// When the executor first confirmed the run to this owner, unless a predecessor started it.
    pub(super) started_at: Option<Time>,
    /// Progress last reported, in percent, and when it last changed.
    pub(super) progress: (u32, Time),
}

/// Progress of the order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The run is placed and not recorded yet.
    Recording,
    /// The order was sent and is not answered yet.
    Sent,
    /// No answer arrived: the executor may carry out the order later.
    Unknown,
    /// The executor has confirmed the run, so probes from `since_probe` on must list it.
    Running {
        /// Number of the first probe sent after the confirmation.
        since_probe: u64,
    },
    /// A predecessor recorded the run and may have sent the order.
    Inherited,
}

impl Stage {
    /// Returns the name of the stage in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Recording => "recording",
            Self::Sent => "sent",
            Self::Unknown => "unknown",
            Self::Running { .. } => "running",
            Self::Inherited => "inherited",
        }
    }
}

/// Progress of the order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// The run is to go on.
    NotRequested,
    /// The run is to be stopped and no order was sent yet.
    Requested,
    /// The order was sent at this time.
    Sent(Time),
    /// The executor has answered: reports to probes from `since_probe` on list the end of the
    /// run, or the executor does not have the run.
    Answered {
        /// Number of the first probe sent after the answer.
        since_probe: u64,
    },
}

impl Entry {
    /// Returns the entry of a job of which no occurrence has begun.
    pub(super) fn new(accepted: AcceptedJob) -> Self {
        Self {
            text: Arc::from(accepted.job.text.as_str()),
            long_running: accepted.job.is_long_running(),
            job: Arc::new(accepted.job),
            kept: accepted.terms.map(|terms| terms.into_queue(&accepted.queue)),
            records_terms: false,
            queue: accepted.queue,
            accepted_ms: accepted.at_ms,
            cancelled: false,
            state: State::Queued,
            reported_state: State::Queued,
            occurrences: BTreeMap::new(),
            finished: Ranges::default(),
            is_rejected: false,
            unschedulable_logged: false,
            next_occurrence: 0,
        }
    }

    /// Returns a task of the job, if its occurrence is in memory.
    pub(super) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.step(id.step)?.tasks.get(id.index)
    }

    /// Returns a mutable reference to a task of the job, if its occurrence is in memory.
    pub(super) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.step_mut(id.step.occurrence, id.step.step)?;
        step.tasks.get_mut(id.index)
    }

    /// Returns a step of the job, if its occurrence is in memory.
    pub(super) fn step(&self, id: StepId) -> Option<&Step> {
        self.occurrences.get(&id.occurrence)?.steps.get(id.step as usize)
    }

    /// Returns a mutable reference to a step of an occurrence, if the occurrence is in memory.
    pub(super) fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Step> {
        self.occurrences.get_mut(&occurrence)?.steps.get_mut(step as usize)
    }

    /// Returns whether all tasks of an occurrence in memory are done.
    pub(super) fn is_occurrence_done(&self, number: u32) -> bool {
        let found = self.occurrences.get(&number);
        found.is_some_and(|found| found.steps.iter().all(|step| step.left == 0))
    }

    /// Returns whether tasks of the job may be placed.
    pub(super) fn is_active(&self) -> bool {
        !self.cancelled && !self.is_rejected && !self.state.is_terminal()
    }

    /// Returns when occurrence `number` is to begin, in milliseconds since 1970.
    pub(super) fn begin_ms(&self, number: u32) -> u64 {
        match &self.job.schedule {
            Some(schedule) => {
                let since_start = schedule.period_ms.saturating_mul(u64::from(number));
                schedule.start_ms.saturating_add(since_start)
            }
            None => self.accepted_ms,
        }
    }

    /// Returns a new occurrence of the job in which no step has begun.
    pub(super) fn occurrence(&self, number: u32, now: Time) -> Occurrence {
        let steps = self.job.steps.iter().map(|step| Step::new(step.count, now)).collect();
        Occurrence { begin_ms: self.begin_ms(number), steps }
    }
}

impl Occurrence {
    /// Returns whether the end of a run is not known.
    pub(super) fn has_open_runs(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| step.tasks.changed());
        tasks.any(|(_, task)| !task.open_runs.is_empty())
    }

    /// Returns whether no task has changed since the occurrence began, so that nothing of it is
    /// recorded.
    pub(super) fn is_unchanged(&self) -> bool {
        self.steps.iter().all(|step| step.tasks.changed().next().is_none())
    }
}

impl Step {
    fn new(count: u32, now: Time) -> Self {
        Self {
            begun: false,
            left: count,
            tasks: TaskList::new(count),
            waiting: BTreeSet::new(),
            rank: None,
            blocked: false,
            held_back_logged: false,
            reservation_logged: false,
            ready_since: now,
        }
    }
}

impl Task {
    /// Returns a task that has not been placed.
    pub(super) const fn new() -> Self {
        Self {
            done: false,
            run: 0,
            failed: 0,
            crashes: 0,
            confirmed_crashes: 0,
            checkpoint: String::new(),
            open_runs: Vec::new(),
            avoided_executor: None,
            not_before: Time::ZERO,
            waiting_since: Time::ZERO,
        }
    }

    /// Replaces the checkpoint by one that the task has saved, unless that is empty or too long to
    /// be recorded.
    pub(super) fn set_checkpoint(&mut self, checkpoint: &str) {
        if !checkpoint.is_empty() && json_bytes(checkpoint) <= MAX_CHECKPOINT_BYTES {
            checkpoint.clone_into(&mut self.checkpoint);
        }
    }

    /// Returns the open run with number `run`.
    pub(super) fn open_run_mut(&mut self, run: Run) -> Option<&mut OpenRun> {
        self.open_runs.iter_mut().find(|open| open.run == run)
    }
}
