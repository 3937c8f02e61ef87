//! The owner of the workers and jobs of one failure domain.
//!
//! What must last goes out as journal records and takes effect when the records
//! are durable: a job is accepted, a worker forgets a finished task. Placements
//! are not recorded. A successor takes the records, asks every worker that may
//! hold a task what it holds, under its own higher epoch, and places a task again
//! only when no worker can be running it.

mod adopt;
mod claim;
mod exchange;
mod failure;
mod fleet;
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

pub use self::list::{Listed, Standing};
pub use self::message::{Cause, Command, Decision, Event, Miss, Reply};
pub use self::settings::{Interference, Placement, Settings};
pub use self::status::{Counts, Status};

use self::timer::{Timer, Wake};
use self::writer::Writer;
use crate::job::Outcome;
use crate::learn::{Estimates, FailureRates, InterferenceModel, MixHistory};
use crate::queue::{Position, Queue};
use crate::worker::Table;

/// A job that has ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    outcome: Outcome,
    /// When it is forgotten.
    expires_at: Time,
    /// Number of hand-overs that it had.
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
    /// Jobs that found no room, in the order in which they are tried again.
    blocked: BTreeSet<Position>,
    /// Workers that are kept for a job.
    claims: BTreeMap<key::Worker, claim::Claim>,
    /// Whether room was freed since jobs were last found to have none.
    capacity_freed: bool,
    /// Last blocked job that was tried.
    blocked_cursor: Option<Position>,
    retry_at: Time,
    writer: Writer,
    timer: Timer,
    /// Workers with commands to send.
    pending_send: BTreeSet<key::Worker>,
    class_names: key::Interner<ClassName>,
    team_names: key::Interner<TeamName>,
    /// Declared classes by key.
    classes: BTreeMap<key::Class, Class>,
    /// What each team holds.
    team_usage: BTreeMap<key::Team, Size>,
    /// Workers by size.
    worker_sizes: BTreeMap<Size, u32>,
    /// Quota in this cell of each team, and whether it may borrow.
    quotas: BTreeMap<key::Team, (Size, bool)>,
    /// Racks with listed workers.
    rack_count: u32,
    capacity: Size,
    reserved: Size,
    estimates: Estimates,
    interference: InterferenceModel,
    mix_history: BTreeMap<key::Worker, MixHistory>,
    failure_rates: FailureRates,
    quarantined: BTreeSet<key::Worker>,
    /// Evictions that may still be made now.
    eviction_tokens: f64,
    evictions_refilled_at: Time,
    last_token: u64,
    last_exchange: u64,
    /// Workers that have not answered under this epoch and may hold tasks.
    unfenced: BTreeSet<key::Worker>,
    counts: Counts,
    /// Whether the jobs of former owners may be placed.
    reconciled: bool,
    superseded: bool,
    candidate_buffer: Vec<key::Worker>,
}

impl Cell {
    /// Returns the cell of `domain`, owned under `epoch`, without workers and jobs.
    ///
    /// Equal seeds and equal events give equal commands.
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

    /// Reports whether a worker has seen a higher epoch; the cell is then to be dropped.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns when the cell wants an [`Event::Tick`] if nothing else happens before.
    pub fn next_wake(&self) -> Option<Time> {
        if self.superseded { None } else { self.timer.next() }
    }

    /// Takes an event that happens at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        if self.superseded {
            self.refuse_superseded(event, out);
            return;
        }
        match event {
            Event::Configured(config) => self.configure(now, config, out),
            Event::Workers(list) => self.list_workers(now, &list, out),
            Event::Submit { job, request } => self.submit(now, job, request, out),
            Event::Cancel { job, request } => self.cancel(&job, request, out),
            Event::Durable(sequence) => self.records_durable(now, sequence, out),
            Event::NotDurable(sequence) => self.record_lost(now, sequence, out),
            Event::Reported { worker, report } => self.handle_report(now, &worker, report, out),
            Event::Unreachable(worker) => self.worker_unreachable(now, &worker),
            Event::Gone(worker) => self.worker_gone(now, &worker, out),
            Event::Fenced => self.superseded = true,
            Event::PredecessorGone => self.predecessor_gone(now),
            Event::Move { job, to } => self.move_job(&job, &to, out),
            Event::Offered { from, transfer } => self.receive_offer(from, *transfer, out),
            Event::Taken { job } => self.handover_confirmed(now, &job, out),
            Event::StoreDown => self.writer.set_available(false),
            Event::StoreUp => self.writer.set_available(true),
            Event::Tick => {}
        }
        self.run_due_wakeups(now, out);
        self.place_waiting(now, out);
        self.send_pending(now, out);
    }

    fn run_due_wakeups(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(wake) = self.timer.pop(now) {
            match wake {
                Wake::CheckWorker(worker) => self.check_worker(now, worker, out),
                Wake::CheckDeadline(job) => self.deadline_passed(now, job, out),
                Wake::MakeReady(task) => self.make_ready(now, task),
                Wake::RetryBlocked => self.capacity_freed = true,
                Wake::RepeatOffer(job) => self.offer_again(now, job, out),
                Wake::PurgeEnded => self.purge_ended(now),
            }
        }
    }

    fn is_reconciled(&self) -> bool {
        self.unfenced.is_empty()
    }

    /// Returns the term of a lease as the owner reckons with it.
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
