//! The table of jobs of a cell.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, JobName, TaskName};
use sycamorerill_core::size::Size;

use super::key;
use crate::job::{Job, Reason, RequestId};
use crate::journal::{Progress, Transfer};
use crate::life::{Input, State};
use crate::queue::Position;
use crate::worker::{Checkpoint, Token};

/// The state kept for one task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) state: State,
    /// Number of failed attempts.
    pub(crate) attempts: u32,
    /// Number of workers that crashed shortly after the task started there.
    pub(crate) crashes: u32,
    /// Token of the last placement.
    pub(crate) token: Option<Token>,
    /// Token of the placement before the last one.
    pub(crate) previous_token: Option<Token>,
    /// Worker of the last placement, while it may hold the task.
    pub(crate) worker: Option<key::Worker>,
    /// Worker on which the last attempt failed.
    pub(crate) last_failed_worker: Option<key::Worker>,
    pub(crate) checkpoint: Option<Checkpoint>,
    /// When the task was last queued.
    pub(crate) waiting_since: Time,
}

impl Task {
    pub(crate) const fn new(state: State, now: Time) -> Self {
        Self {
            state,
            attempts: 0,
            crashes: 0,
            token: None,
            previous_token: None,
            worker: None,
            last_failed_worker: None,
            checkpoint: None,
            waiting_since: now,
        }
    }

    /// Restores the previous token if `token` belongs to a placement that was never sent.
    pub(crate) fn undo_token(&mut self, token: Token) {
        if self.token == Some(token) {
            self.token = self.previous_token;
        }
    }

    /// Applies an input; returns whether the state changed.
    pub(crate) fn apply(&mut self, input: Input) -> bool {
        let next = self.state.next(input);
        let changed = next != self.state;
        self.state = next;
        changed
    }
}

/// Progress of the handover of a job to another cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Handover {
    NotStarted,
    /// The record of the handover is not durable yet.
    Recording(DomainName),
    /// The record is durable and the job is offered to the receiver.
    Offered(DomainName),
}

/// The state kept for one job.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) job: Job,
    pub(crate) submitted_at: Time,
    pub(crate) deadline: Time,
    pub(crate) class: key::Class,
    pub(crate) team: key::Team,
    /// Declared size of a task.
    pub(crate) size: Size,
    /// Declared run time of a task.
    pub(crate) run_time: Span,
    pub(crate) tasks: Vec<Task>,
    /// Indices of the tasks that may be placed now.
    pub(crate) ready: BTreeSet<u32>,
    /// Number of tasks that have not ended.
    pub(crate) unfinished: u32,
    pub(crate) durable: bool,
    /// Whether no worker can hold a task of the job that is unknown to the cell.
    pub(crate) reconciled: bool,
    pub(crate) cancelling: bool,
    pub(crate) cancelled: bool,
    pub(crate) missed: bool,
    /// Whether the record of the miss is durable.
    pub(crate) miss_durable: bool,
    pub(crate) ending: bool,
    /// Number of handovers of the job.
    pub(crate) hops: u32,
    pub(crate) handover: Handover,
    pub(crate) parked: Option<Reason>,
    /// Requests to answer when the record of the job is durable.
    pub(crate) requests: Vec<RequestId>,
    /// Number of tasks on each rack or worker, if the spread limits it.
    pub(crate) spread: BTreeMap<u32, u32>,
    pub(crate) queue_position: Option<Position>,
    /// When reclaiming capacity for the job was last tried.
    pub(crate) last_reclaim_at: Option<Time>,
    /// When each pending eviction for the job was decided.
    pub(crate) pending_reclaims: Vec<Time>,
}

impl Entry {
    pub(crate) fn task_name(&self, index: u32) -> Option<TaskName> {
        format!("{}/{index}", self.job.name).parse().ok()
    }

    /// Returns the durable state of the job.
    pub(crate) fn transfer(&self) -> Transfer {
        let tasks = self.tasks.iter().enumerate().filter_map(|(index, task)| {
            let progress = Progress {
                finished: task.state == State::Finished,
                failed: task.state == State::Failed,
                attempts: task.attempts,
                crashes: task.crashes,
                checkpoint: task.checkpoint.clone(),
            };
            (progress != Progress::default()).then_some((index as u32, progress))
        });
        let moving = match &self.handover {
            Handover::NotStarted | Handover::Recording(_) => None,
            Handover::Offered(to) => Some(to.clone()),
        };
        Transfer {
            job: self.job.clone(),
            at: self.submitted_at,
            tasks: tasks.collect(),
            missed: self.miss_durable,
            cancelled: self.cancelled,
            moving,
            hops: self.hops,
        }
    }

    /// Restores the progress of the tasks from a transfer.
    pub(crate) fn restore_progress(&mut self, tasks: &BTreeMap<u32, Progress>) {
        for (index, progress) in tasks {
            let Some(task) = self.tasks.get_mut(*index as usize) else { continue };
            task.attempts = progress.attempts;
            task.crashes = progress.crashes;
            task.checkpoint.clone_from(&progress.checkpoint);
            if progress.finished {
                task.state = State::Finished;
            } else if progress.failed {
                task.state = State::Failed;
            }
        }
        self.unfinished = self.tasks.iter().filter(|task| !task.state.is_final()).count() as u32;
    }

    /// Returns whether no worker can be running a task of the job.
    pub(crate) fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| !task.state.is_on_worker() && task.worker.is_none())
    }
}

/// The jobs of a cell by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    names: BTreeMap<JobName, key::Job>,
    entries: BTreeMap<key::Job, Entry>,
    last: u64,
}

impl Table {
    pub(crate) fn insert(&mut self, entry: Entry) -> key::Job {
        self.last += 1;
        let key = key::Job(self.last);
        self.names.insert(entry.job.name.clone(), key);
        self.entries.insert(key, entry);
        key
    }

    pub(crate) fn remove(&mut self, key: key::Job) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.names.remove(&entry.job.name);
        Some(entry)
    }

    pub(crate) fn find(&self, name: &JobName) -> Option<key::Job> {
        self.names.get(name).copied()
    }

    /// Returns the key of the task named `JOB/INDEX`.
    pub(crate) fn find_task(&self, name: &TaskName) -> Option<key::Task> {
        let (job, index) = name.as_str().rsplit_once('/')?;
        let job = self.find(&job.parse().ok()?)?;
        let index: u32 = index.parse().ok()?;
        let known = (index as usize) < self.entries.get(&job)?.tasks.len();
        known.then_some(key::Task::new(job, index))
    }

    pub(crate) fn entry(&self, key: key::Job) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn entry_mut(&mut self, key: key::Job) -> Option<&mut Entry> {
        self.entries.get_mut(&key)
    }

    pub(crate) fn task(&self, key: key::Task) -> Option<&Task> {
        self.entries.get(&key.job())?.tasks.get(key.index() as usize)
    }

    pub(crate) fn task_mut(&mut self, key: key::Task) -> Option<&mut Task> {
        self.entries.get_mut(&key.job())?.tasks.get_mut(key.index() as usize)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (key::Job, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    pub(crate) fn keys(&self) -> Vec<key::Job> {
        self.entries.keys().copied().collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
