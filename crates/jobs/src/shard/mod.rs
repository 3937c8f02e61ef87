//! The owner of some executors and of the jobs placed there.
//!
//! A run is recorded before it is ordered, so that a successor knows where each
//! task may be running. A run is closed only by evidence: its listed end, a look
//! under our own epoch or after an answered stop that does not list it, a lease
//! that has lapsed by the executor's own clock, or the end of the executor's life.

mod advice;
mod drain;
mod entry;
mod executors;
mod health;
mod lifecycle;
mod message;
mod model;
mod order;
mod place;
mod probe;
mod rank;
mod rejections;
mod relocate;
mod restore;
mod settings;
mod throttle;
mod write;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorerill_core::clock::Time;

use self::entry::Entry;
use self::executors::Executor;
use self::rank::Rank;
use crate::config::Config;
use crate::id::{ExecutorId, JobId, Run, StepId, TaskId};
use crate::progress::State;

pub use self::message::{Batch, Closing, Command, Event, Note, Order, Probe};
pub use self::model::{ImageSnapshot, Snapshot};
pub use self::restore::Restored;
pub use self::settings::Settings;

/// The owner of a shard under one epoch.
#[derive(Debug)]
pub struct Shard {
    settings: Settings,
    config: Arc<Config>,
    jobs: BTreeMap<JobId, Entry>,
    executors: BTreeMap<ExecutorId, Executor>,
    /// Steps with tasks that wait to be placed, in the order of placement.
    waiting: BTreeSet<(Rank, StepId)>,
    /// Jobs whose record is behind.
    dirty: BTreeSet<JobId>,
    /// What the batches that come next record.
    round: write::Round,
    /// The batch that is being recorded.
    pending_batch: Option<write::PendingBatch>,
    /// Where steps of queues with a policy may run.
    advice: BTreeMap<StepId, advice::StepAdvice>,
    /// Executors that may be due for a look.
    probe_candidates: BTreeSet<ExecutorId>,
    /// Jobs that were cancelled before they were heard of.
    cancelled_early: BTreeSet<JobId>,
    /// Scheduled jobs with occurrences to come.
    scheduled: BTreeSet<JobId>,
    /// Whether tasks wait that may find room now.
    placement_due: bool,
    /// Waiting tasks are not placed before.
    place_after: Time,
    /// No batch is recorded before.
    write_after: Time,
    /// Runs that are ordered once they are recorded.
    placed: Vec<(TaskId, Run)>,
    /// Whether ends were taken in since the last batch.
    has_new_ends: bool,
    /// Time of day at the latest event, in milliseconds since 1970.
    wall_ms: u64,
    /// Whether an executor has seen a higher epoch.
    superseded: bool,
    next_tick: Time,
    /// Open runs are next gone through then.
    next_sweep: Time,
    estimator: throttle::Estimator,
    out: Vec<Command>,
}

impl Shard {
    /// Returns a shard without jobs and executors.
    pub fn new(settings: Settings, config: Arc<Config>) -> Self {
        Self {
            settings,
            config,
            jobs: BTreeMap::new(),
            executors: BTreeMap::new(),
            waiting: BTreeSet::new(),
            dirty: BTreeSet::new(),
            round: write::Round::default(),
            pending_batch: None,
            advice: BTreeMap::new(),
            probe_candidates: BTreeSet::new(),
            cancelled_early: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            placement_due: false,
            place_after: Time::ZERO,
            write_after: Time::ZERO,
            next_sweep: Time::ZERO,
            placed: Vec::new(),
            has_new_ends: false,
            wall_ms: 0,
            superseded: false,
            next_tick: Time::ZERO,
            estimator: throttle::Estimator::default(),
            out: Vec::new(),
        }
    }

    /// Takes an event that happens at `now`; `wall_ms` is the time of day.
    ///
    /// What follows from it is asked for by the next [`Shard::turn`].
    pub fn handle(&mut self, now: Time, wall_ms: u64, event: Event) {
        self.wall_ms = wall_ms;
        match event {
            Event::Configured(config) => self.configure(config),
            Event::Accepted(job, accepted) => self.handle_accepted(now, job, *accepted),
            Event::Cancelled(job) => self.cancel(now, job),
            Event::Listed(listed) => self.handle_listed(now, *listed),
            Event::Unlisted(executor) => self.handle_unlisted(now, &executor),
            Event::Recorded => self.handle_recorded(now),
            Event::Started(order, answer) => self.handle_start_answer(now, &order, answer),
            Event::Stopped(order, answer) => self.handle_stop_answer(now, &order, answer),
            Event::Paced(order, percent, answer) => {
                self.handle_throttle_answer(now, &order, percent, answer)
            }
            Event::Advised(step, queried, permits) => {
                self.handle_advice(now, step, &queried, permits)
            }
            Event::Looked(probe, report) => self.handle_report(now, &probe, report),
            Event::NotLooked(probe, answer) => self.handle_probe_failure(now, &probe, answer),
        }
    }

    /// Decides what is to be done at `now`, after a series of events.
    pub fn turn(&mut self, now: Time, wall_ms: u64) -> Vec<Command> {
        self.wall_ms = wall_ms;
        if self.superseded {
            return Vec::new();
        }
        if now >= self.next_tick {
            self.next_tick = now + self.settings.tick;
            self.tick(now);
        }
        self.place_waiting(now);
        self.write_batch(now);
        self.send_due_probes(now);
        std::mem::take(&mut self.out)
    }

    /// Reports whether an executor has seen a higher epoch; the shard is then another's
    /// and decides nothing any more.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the recorded or decided state of a job.
    pub fn state(&self, job: JobId) -> Option<State> {
        self.jobs.get(&job).map(|entry| entry.state)
    }

    fn tick(&mut self, now: Time) {
        self.begin_due(now);
        self.close_lapsed(now);
        self.stop_on_draining(now);
        if now >= self.next_sweep {
            self.next_sweep = now + self.settings.sweep;
            self.retry_orders(now);
            self.relocate(now);
        }
        self.placement_due = true;
    }

    fn configure(&mut self, config: Arc<Config>) {
        if config.version > self.config.version || self.config.version == 0 {
            self.config = config;
            self.placement_due = true;
        }
    }
}
