//! A simulation of cells, workers and the store in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, Epoch, JobName, TaskName, WorkerName};
use sycamorerill_core::model::{Config, Urgency};
use sycamorerill_tasks::cell::{Cell, Command, Decision, Event, Reply, Settings};
use sycamorerill_tasks::job::{Job, Reason, RequestId};
use sycamorerill_tasks::journal::{Record, Snapshot};
use sycamorerill_tasks::worker::{Exchange, Report, Token};

use super::{Checks, Profiles, Worker};

/// One-way network delay between an entry instance and a worker.
const NETWORK_DELAY: Span = Span::from_ms(1);
/// Duration of a write to the store.
const WRITE_TIME: Span = Span::from_ms(20);
/// Time after which an unanswered exchange is reported as unreachable.
const EXCHANGE_TIMEOUT: Span = Span::from_ms(1_500);

/// Probabilities of network faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Probability that an exchange doesn't arrive.
    pub(crate) lost: f64,
    /// Probability that an answer doesn't arrive.
    pub(crate) unanswered: f64,
    /// Probability that an exchange or an answer arrives a second time, up to 20 s late.
    pub(crate) late: f64,
}

/// Observations made during a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) replies: BTreeMap<String, u64>,
    pub(crate) missed: BTreeMap<JobName, u64>,
    pub(crate) ended: BTreeMap<JobName, sycamorerill_tasks::job::Outcome>,
    /// Instant, urgency, waiting time in milliseconds and task of each placement.
    pub(crate) waited: Vec<(Time, Urgency, u64, TaskName)>,
    /// Number of evictions by cause.
    pub(crate) evictions: BTreeMap<String, u64>,
    pub(crate) throttles: u64,
    pub(crate) quarantines: u64,
    /// Number of workers that each task has crashed.
    pub(crate) crashes: BTreeMap<TaskName, u64>,
    /// Finished batch work in core-seconds.
    pub(crate) work: f64,
    /// Finished batch work by team, which is the first part of the job name.
    pub(crate) teams: BTreeMap<String, f64>,
    /// Instant, team and core-seconds of each finished task.
    pub(crate) finished: Vec<(Time, String, f64)>,
    /// Batch work that was done and lost, in core-seconds.
    pub(crate) work_lost: f64,
}

struct Owner {
    cell: Cell,
    paused: bool,
    inbox: Vec<Event>,
    wake: Option<Time>,
}

enum Action {
    Arrive { owner: usize, worker: WorkerName, exchange: Exchange },
    Answer { owner: usize, worker: WorkerName, report: Report },
    Deliver { owner: usize, event: Event },
    Write { owner: usize, record: Record },
    Wake { owner: usize },
}

/// Simulated cells, workers and store.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) profiles: Profiles,
    pub(crate) config: Arc<Config>,
    pub(crate) faults: Faults,
    pub(crate) checks: Checks,
    pub(crate) tally: Tally,
    /// Pairs of owner and worker between which no exchange arrives.
    pub(crate) cut: BTreeSet<(usize, WorkerName)>,
    pub(crate) leaving: BTreeSet<WorkerName>,
    pub(crate) store_up: bool,
    /// Whether the invariants are checked after each action.
    pub(crate) strict: bool,
    owners: Vec<Owner>,
    settings: Settings,
    domain: DomainName,
    log: Vec<Record>,
    snapshot: Snapshot,
    unwritten: Vec<(usize, Record)>,
    actions: BTreeMap<(Time, u64), Action>,
    requests: BTreeMap<RequestId, JobName>,
    sequence: u64,
}

impl World {
    pub(crate) fn new(config: Config, settings: Settings, profiles: Profiles, seed: u64) -> Self {
        Self {
            now: Time::from_ms(1),
            rng: Rng::with_seed(seed),
            workers: BTreeMap::new(),
            profiles,
            config: Arc::new(config),
            faults: Faults::default(),
            checks: Checks::default(),
            tally: Tally::default(),
            cut: BTreeSet::new(),
            leaving: BTreeSet::new(),
            store_up: true,
            strict: true,
            owners: Vec::new(),
            settings,
            domain: "vejle-a".parse().unwrap(),
            log: Vec::new(),
            snapshot: Snapshot::default(),
            unwritten: Vec::new(),
            actions: BTreeMap::new(),
            requests: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Starts a new owner from the store; former owners keep running.
    pub(crate) fn take_over(&mut self) {
        let owner = self.owners.len();
        let epoch = Epoch(owner as u64 + 1);
        let seed = self.rng.u64(..);
        let mut cell = Cell::new(self.settings.clone(), self.domain.clone(), epoch, seed);
        let mut out = Vec::new();
        cell.handle(self.now, Event::Configured(Arc::clone(&self.config)), &mut out);
        cell.restore(self.now, self.snapshot.clone(), self.log.clone(), &mut out);
        self.owners.push(Owner { cell, paused: false, inbox: Vec::new(), wake: None });
        self.execute(owner, out);
        self.list_workers();
    }

    /// Replaces the log by a snapshot of the last owner.
    pub(crate) fn compact(&mut self) {
        if self.store_up {
            self.snapshot = self.cell().snapshot();
            let kept = self.snapshot.sequence;
            self.log.retain(|record| record.sequence > kept);
        }
    }

    /// Sends the list of workers to the last owner.
    pub(crate) fn list_workers(&mut self) {
        let list = self.workers.values().map(|worker| sycamorerill_tasks::worker::Worker {
            name: worker.name.clone(),
            rack: worker.rack.parse().unwrap(),
            size: worker.size,
            leaving: self.leaving.contains(&worker.name),
        });
        let list = list.collect();
        self.handle(Event::WorkersListed(list));
    }

    /// Sends an event to the last owner.
    pub(crate) fn handle(&mut self, event: Event) {
        let owner = self.owners.len() - 1;
        self.deliver(owner, event);
    }

    pub(crate) fn owner(&self) -> usize {
        self.owners.len() - 1
    }

    pub(crate) fn cell(&self) -> &Cell {
        &self.owners[self.owner()].cell
    }

    pub(crate) fn submit(&mut self, job: Job) {
        self.sequence += 1;
        let request = RequestId { id: format!("r{}", self.sequence).into() };
        self.requests.insert(request.clone(), job.name.clone());
        self.handle(Event::Submit { job, request });
    }

    pub(crate) fn cancel(&mut self, job: JobName) {
        self.sequence += 1;
        let request = RequestId { id: format!("r{}", self.sequence).into() };
        self.handle(Event::Cancel { job, request });
    }

    pub(crate) fn set_store(&mut self, up: bool) {
        self.store_up = up;
        self.handle(if up { Event::StoreUp } else { Event::StoreDown });
        if up {
            for (owner, record) in std::mem::take(&mut self.unwritten) {
                self.push(WRITE_TIME, Action::Write { owner, record });
            }
        }
    }

    pub(crate) fn pause(&mut self, owner: usize, paused: bool) {
        self.owners[owner].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.owners[owner].inbox) {
                self.deliver(owner, event);
            }
            self.deliver(owner, Event::Tick);
        }
    }

    /// Removes a worker with all of its tasks.
    pub(crate) fn kill(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
    }

    fn push(&mut self, after: Span, action: Action) {
        self.sequence += 1;
        self.actions.insert((self.now + after, self.sequence), action);
    }

    fn deliver(&mut self, owner: usize, event: Event) {
        if self.owners[owner].paused {
            self.owners[owner].inbox.push(event);
            return;
        }
        let mut out = Vec::new();
        self.owners[owner].cell.handle(self.now, event, &mut out);
        self.execute(owner, out);
        let next = self.owners[owner].cell.next_wake();
        let planned = self.owners[owner].wake.filter(|at| *at > self.now);
        if let Some(at) = next
            && planned.is_none_or(|planned| at < planned)
        {
            self.owners[owner].wake = Some(at);
            let after = at.since(self.now).saturating_sub(Span::ZERO);
            let after = if after == Span::ZERO { Span::from_ms(1) } else { after };
            self.push(after, Action::Wake { owner });
        }
    }

    fn execute(&mut self, owner: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Exchange { worker, exchange } => {
                    self.send_exchange(owner, worker, exchange)
                }
                Command::Journal(record) => self.push(WRITE_TIME, Action::Write { owner, record }),
                Command::Reply { request, reply } => self.record_reply(&request, &reply),
                Command::DeadlineMissed(miss) => {
                    *self.tally.missed.entry(miss.job).or_default() += 1
                }
                Command::Decision(decision) => self.record_decision(decision),
                Command::OfferHandover { .. }
                | Command::ConfirmHandover { .. }
                | Command::Superseded(_) => {}
            }
        }
    }

    fn record_reply(&mut self, request: &RequestId, reply: &Reply) {
        let text = format!("{reply:?}");
        let word = text.split(['(', ' ']).next().unwrap_or_default().to_owned();
        *self.tally.replies.entry(word).or_default() += 1;
        // The name of a conflicting job belongs to another job, which may run.
        if let (Reply::NotRun(reason), Some(job)) = (reply, self.requests.get(request))
            && !matches!(reason, Reason::Conflict(_))
        {
            self.checks.answered_not_run(job);
        }
    }

    fn record_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Placed { task, waited, urgency, .. } => {
                self.tally.waited.push((self.now, urgency, waited.as_ms(), task));
            }
            Decision::Evicted { cause, .. } => {
                *self.tally.evictions.entry(format!("{cause:?}")).or_default() += 1;
            }
            Decision::Throttled { .. } => self.tally.throttles += 1,
            Decision::Quarantined { .. } => self.tally.quarantines += 1,
            Decision::Ended { job, outcome } => {
                self.tally.ended.insert(job, outcome);
            }
            _ => {}
        }
    }

    fn send_exchange(&mut self, owner: usize, worker: WorkerName, exchange: Exchange) {
        let reached = !self.cut.contains(&(owner, worker.clone()));
        if !reached || self.rng.f64() < self.faults.lost {
            return self.push(
                EXCHANGE_TIMEOUT,
                Action::Deliver { owner, event: Event::Unreachable(worker) },
            );
        }
        if self.rng.f64() < self.faults.late {
            let late = Span::from_ms(self.rng.u64(1..20_000));
            let (worker, exchange) = (worker.clone(), exchange.clone());
            self.push(late, Action::Arrive { owner, worker, exchange });
        }
        self.push(NETWORK_DELAY, Action::Arrive { owner, worker, exchange });
    }

    fn arrive(&mut self, owner: usize, name: WorkerName, exchange: &Exchange) {
        let Some(worker) = self.workers.get_mut(&name) else {
            let event = Event::Unreachable(name);
            return self.push(EXCHANGE_TIMEOUT, Action::Deliver { owner, event });
        };
        worker.advance(self.now, &self.profiles);
        if worker.is_down(self.now) {
            let event = Event::Unreachable(name);
            return self.push(EXCHANGE_TIMEOUT, Action::Deliver { owner, event });
        }
        let before: BTreeSet<Token> = worker.runs.keys().copied().collect();
        let report = worker.exchange(exchange, &self.profiles);
        for (token, run) in worker.runs.iter().filter(|(token, _)| !before.contains(token)) {
            self.checks.started(*token, run);
        }
        for (token, run) in std::mem::take(&mut worker.acknowledged) {
            self.checks.acknowledged(token, &run);
            self.tally.acknowledged(self.now, &run, &self.profiles);
        }
        if self.rng.f64() < self.faults.unanswered {
            let event = Event::Unreachable(name);
            return self.push(EXCHANGE_TIMEOUT, Action::Deliver { owner, event });
        }
        if self.rng.f64() < self.faults.late {
            let late = Span::from_ms(self.rng.u64(1..20_000));
            let (worker, report) = (name.clone(), report.clone());
            self.push(late, Action::Answer { owner, worker, report });
        }
        self.push(NETWORK_DELAY, Action::Answer { owner, worker: name, report });
    }

    fn write(&mut self, owner: usize, record: Record) {
        if !self.store_up {
            return self.unwritten.push((owner, record));
        }
        let sequence = record.sequence;
        // Only the owner with the highest epoch can append.
        if owner + 1 < self.owners.len() {
            return self.deliver(owner, Event::NotDurable(sequence));
        }
        self.checks.durable(&record);
        self.log.push(record);
        self.deliver(owner, Event::Durable(sequence));
    }

    /// Advances the virtual time by `span`.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.actions.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let action = entry.remove();
            self.now = at;
            self.act(action);
            if self.strict {
                self.check_invariants();
            }
        }
        self.now = end;
        self.check_invariants();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive { owner, worker, exchange } => self.arrive(owner, worker, &exchange),
            Action::Answer { owner, worker, report } => {
                self.deliver(owner, Event::Reported { worker, report });
            }
            Action::Deliver { owner, event } => self.deliver(owner, event),
            Action::Write { owner, record } => self.write(owner, record),
            Action::Wake { owner } => self.deliver(owner, Event::Tick),
        }
    }

    /// Advances all workers to the current time and checks the invariants.
    pub(crate) fn check_invariants(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now, &self.profiles);
            for task in std::mem::take(&mut worker.crashed_by) {
                *self.tally.crashes.entry(task).or_default() += 1;
            }
        }
        self.checks.check_invariants(&self.workers);
    }
}

impl Tally {
    /// Returns the finished batch work of a team in core-seconds.
    pub(crate) fn team_work(&self, team: &str) -> f64 {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn acknowledged(&mut self, now: Time, run: &super::worker::Run, profiles: &Profiles) {
        use sycamorerill_tasks::worker::Phase;
        let declared = profiles.declared.get(&run.class).copied().unwrap_or(run.size);
        let cores = profiles.of(&run.class).uses(declared).cpu().as_cores();
        let work = cores * run.done.as_ms_f64() / 1_000.0;
        match run.phase {
            Phase::Finished => {
                self.work += work;
                let team = run.task.as_str().split('-').next().unwrap_or_default();
                *self.teams.entry(team.to_owned()).or_default() += work;
                self.finished.push((now, team.to_owned(), work));
            }
            Phase::Checkpointed(_) => {}
            _ => self.work_lost += work,
        }
    }
}
