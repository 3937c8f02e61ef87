//! The owner of the workers and jobs of one failure domain.
//!
//! Durable state is emitted as journal records and takes effect when they are
//! durable: only then is a job accepted or a finished task acknowledged to its
//! worker. Placements are not recorded. A successor replays the records, requests
//! a report from every worker that may hold a task under its own higher epoch, and
//! places a task again only when no worker can be running it.

mod adopt;
mod capacity;
mod claim;
mod crash;
mod exchange;
mod failure;
mod interference;
mod jobs;
pub(crate) mod key;
mod list;
mod message;
mod placement;
mod reclaim;
mod report;
mod restore;
mod settings;
mod status;
mod submit;
mod text;
mod timer;
mod transfer;
mod transition;
mod writer;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{ClassName, DomainName, Epoch, JobName, TeamName};
use sycamorerill_core::model::{Class, Config};
use sycamorerill_core::size::Size;

pub use self::list::{JobState, JobSummary};
pub use self::message::{Cause, Command, DeadlineMiss, Decision, Event, Reply};
pub use self::settings::{Interference, Placement, Settings};
pub use self::status::{Counts, Status};

use self::timer::{Timer, TimerAction};
use self::writer::Writer;
use crate::job::Outcome;
use crate::learn::{Estimates, FailureRates, InterferenceModel, MixHistory};
use crate::queue::{Position, Queue};
use crate::worker::Table;

/// A job that has ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    outcome: Outcome,
    /// When the entry is purged.
    expires_at: Time,
    /// Number of handovers of the job.
    hops: u32,
}

/// The owner of one failure domain under one epoch.
#[derive(Clone, Debug)]
pub struct Cell {
    settings: Settings,
    domain: DomainName,
    epoch: Epoch,
    rng: Rng,
    config: Arc<Config>,
    workers: Table,
    jobs: jobs::Table,
    ended: BTreeMap<JobName, Ended>,
    queue: Queue,
    /// Jobs for which no worker was found, in the order in which they are tried again.
    blocked: BTreeSet<Position>,
    /// Workers reserved for a waiting job.
    claims: BTreeMap<key::Worker, claim::Claim>,
    /// Whether to try blocked jobs again, as capacity was freed or a retry is due.
    capacity_freed: bool,
    /// Last blocked job that was returned to the queue.
    blocked_cursor: Option<Position>,
    retry_at: Time,
    writer: Writer,
    timer: Timer,
    /// Workers to which an exchange may be due.
    pending_send: BTreeSet<key::Worker>,
    class_names: key::Interner<ClassName>,
    team_names: key::Interner<TeamName>,
    /// Declared classes by key.
    classes: BTreeMap<key::Class, Class>,
    /// Size reserved by the tasks of each team.
    team_usage: BTreeMap<key::Team, Size>,
    /// Number of listed workers of each size.
    worker_sizes: BTreeMap<Size, u32>,
    /// Quota of each team in this cell, and whether the team may borrow.
    quotas: BTreeMap<key::Team, (Size, bool)>,
    /// Number of racks with listed workers.
    rack_count: u32,
    capacity: Size,
    reserved: Size,
    estimates: Estimates,
    interference: InterferenceModel,
    mix_history: BTreeMap<key::Worker, MixHistory>,
    failure_rates: FailureRates,
    quarantined: BTreeSet<key::Worker>,
    /// Tokens of the eviction budget, a token bucket.
    eviction_tokens: f64,
    evictions_refilled_at: Time,
    last_token: u64,
    last_exchange: u64,
    /// Workers that may hold tasks and have not reported under this epoch.
    unfenced: BTreeSet<key::Worker>,
    counts: Counts,
    /// Whether no worker can hold an unknown task, so that jobs of former owners may be placed.
    reconciled: bool,
    superseded: bool,
    candidate_buffer: Vec<key::Worker>,
}

impl Cell {
    /// Returns a cell of `domain` under `epoch`, without workers and jobs.
    ///
    /// Equal seeds and equal events produce equal commands.
    pub fn new(settings: Settings, domain: DomainName, epoch: Epoch, seed: u64) -> Self {
        Self {
            settings,
            domain,
            epoch,
            rng: Rng::with_seed(seed),
            config: Arc::default(),
            workers: Table::default(),
            jobs: jobs::Table::default(),
            ended: BTreeMap::new(),
            queue: Queue::default(),
            blocked: BTreeSet::new(),
            claims: BTreeMap::new(),
            capacity_freed: false,
            blocked_cursor: None,
            retry_at: Time::ZERO,
            writer: Writer::default(),
            timer: Timer::default(),
            pending_send: BTreeSet::new(),
            class_names: key::Interner::default(),
            team_names: key::Interner::default(),
            classes: BTreeMap::new(),
            team_usage: BTreeMap::new(),
            worker_sizes: BTreeMap::new(),
            quotas: BTreeMap::new(),
            rack_count: 0,
            capacity: Size::ZERO,
            reserved: Size::ZERO,
            estimates: Estimates::default(),
            interference: InterferenceModel::default(),
            mix_history: BTreeMap::new(),
            failure_rates: FailureRates::default(),
            quarantined: BTreeSet::new(),
            eviction_tokens: 1.0,
            evictions_refilled_at: Time::ZERO,
            last_token: 0,
            last_exchange: 0,
            unfenced: BTreeSet::new(),
            counts: Counts::default(),
            reconciled: false,
            superseded: false,
            candidate_buffer: Vec::new(),
        }
    }

    /// Returns the failure domain of the cell.
    pub const fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Returns the epoch under which the cell is owned.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether a successor has taken over, after which the cell should be dropped.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns when to send an [`Event::Tick`] if no other event occurs before.
    pub fn next_wake(&self) -> Option<Time> {
        if self.superseded { None } else { self.timer.next() }
    }

    /// Handles an event at `now` and appends the resulting commands to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        if self.superseded {
            self.refuse_superseded(event, out);
            return;
        }
        match event {
            Event::Configured(config) => self.configure(now, config, out),
            Event::WorkersListed(list) => self.list_workers(now, &list, out),
            Event::Submit { job, request } => self.submit(now, job, request, out),
            Event::Cancel { job, request } => self.cancel(&job, request, out),
            Event::Durable(sequence) => self.records_durable(now, sequence, out),
            Event::NotDurable(sequence) => self.record_not_durable(now, sequence, out),
            Event::Reported { worker, report } => self.handle_report(now, &worker, report, out),
            Event::Unreachable(worker) => self.worker_unreachable(now, &worker),
            Event::WorkerGone(worker) => self.worker_gone(now, &worker, out),
            Event::JournalFenced => self.superseded = true,
            Event::PredecessorGone => self.predecessor_gone(now),
            Event::StartHandover { job, to } => self.start_handover(&job, &to, out),
            Event::HandoverOffered { from, transfer } => self.receive_offer(from, *transfer, out),
            Event::HandoverConfirmed { job } => self.handover_confirmed(now, &job, out),
            Event::StoreDown => self.writer.set_available(false),
            Event::StoreUp => self.writer.set_available(true),
            Event::Tick => {}
        }
        self.run_due_timers(now, out);
        self.place_waiting(now, out);
        self.send_pending(now, out);
    }

    fn run_due_timers(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(wake) = self.timer.pop(now) {
            match wake {
                TimerAction::CheckWorker(worker) => self.check_worker(now, worker, out),
                TimerAction::CheckDeadline(job) => self.deadline_passed(now, job, out),
                TimerAction::MakeReady(task) => self.make_ready(now, task),
                TimerAction::RetryBlocked => self.capacity_freed = true,
                TimerAction::RepeatOffer(job) => self.repeat_offer(now, job, out),
                TimerAction::PurgeEnded => self.purge_ended(now),
            }
        }
    }

    fn is_reconciled(&self) -> bool {
        self.unfenced.is_empty()
    }

    /// Returns the duration of a lease.
    fn lease(&self) -> Span {
        self.config.policy.task_lease
    }

    fn class_of(&mut self, name: &ClassName) -> key::Class {
        key::Class(self.class_names.intern(name))
    }

    fn team_of(&mut self, name: &TeamName) -> key::Team {
        key::Team(self.team_names.intern(name))
    }

    fn is_service(&self, class: key::Class) -> bool {
        self.classes.get(&class).is_some_and(|class| class.service)
    }

    fn can_checkpoint(&self, class: key::Class) -> bool {
        self.classes.get(&class).is_some_and(|class| class.checkpoint)
    }
}
