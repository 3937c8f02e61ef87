//! Cells, workers and the store in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, Epoch, JobName, TaskName, WorkerName};
use sycamorerill_core::model::{Config, Urgency};
use sycamorerill_tasks::cell::{Cell, Command, Decision, Event, Reply, Settings};
use sycamorerill_tasks::job::{Job, Reason, Request};
use sycamorerill_tasks::journal::{Record, Snapshot};
use sycamorerill_tasks::worker::{Exchange, Report, Token};

use super::{Checks, Truths, Worker};

/// One way between an entry instance and a worker.
const DELAY: Span = Span::from_ms(1);
/// Time that a write takes.
const WRITE: Span = Span::from_ms(20);
/// Time after which an exchange without an answer is given up.
const TIMEOUT: Span = Span::from_ms(1_500);

/// Chances of faults of the network.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// An exchange doesn't arrive.
    pub(crate) lost: f64,
    /// An answer doesn't arrive.
    pub(crate) unanswered: f64,
    /// An exchange or an answer arrives twice, or seconds late.
    pub(crate) late: f64,
}

/// Numbers of what was seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) replies: BTreeMap<String, u64>,
    pub(crate) missed: BTreeMap<JobName, u64>,
    pub(crate) ended: BTreeMap<JobName, sycamorerill_tasks::job::Outcome>,
    /// Time waited by each placement, in milliseconds.
    pub(crate) waited: Vec<(Time, Urgency, u64, TaskName)>,
    /// Evictions by cause.
    pub(crate) evictions: BTreeMap<String, u64>,
    pub(crate) throttles: u64,
    pub(crate) quarantines: u64,
    /// Batch work finished, as core-seconds.
    pub(crate) work: f64,
    /// The same by team, the first part of the name of its jobs.
    pub(crate) teams: BTreeMap<String, f64>,
    /// The same with the instants.
    pub(crate) finished: Vec<(Time, String, f64)>,
    /// Batch work that was done and lost, as core-seconds.
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
    Tell { owner: usize, event: Event },
    Write { owner: usize, record: Record },
    Wake { owner: usize },
}

/// Cells, workers and the store.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) truths: Truths,
    pub(crate) config: Arc<Config>,
    pub(crate) faults: Faults,
    pub(crate) checks: Checks,
    pub(crate) tally: Tally,
    /// Workers that exchanges don't reach, each with the owners that are cut off.
    pub(crate) cut: BTreeSet<(usize, WorkerName)>,
    pub(crate) leaving: BTreeSet<WorkerName>,
    pub(crate) store_up: bool,
    /// Whether everything is checked after each action.
    pub(crate) strict: bool,
    owners: Vec<Owner>,
    settings: Settings,
    domain: DomainName,
    log: Vec<Record>,
    snapshot: Snapshot,
    unwritten: Vec<(usize, Record)>,
    actions: BTreeMap<(Time, u64), Action>,
    requests: BTreeMap<Request, JobName>,
    sequence: u64,
}

impl World {
    pub(crate) fn new(config: Config, settings: Settings, truths: Truths, seed: u64) -> Self {
        Self {
            now: Time::from_ms(1),
            rng: Rng::with_seed(seed),
            workers: BTreeMap::new(),
            truths,
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

    /// Starts a new owner from the store; the last one goes on.
    pub(crate) fn take_over(&mut self) {
        let owner = self.owners.len();
        let epoch = Epoch(owner as u64 + 1);
        let seed = self.rng.u64(..);
        let mut cell = Cell::new(self.settings.clone(), self.domain.clone(), epoch, seed);
        let mut out = Vec::new();
        cell.handle(self.now, Event::Configured(Arc::clone(&self.config)), &mut out);
        cell.restore(self.now, self.snapshot.clone(), self.log.clone(), &mut out);
        self.owners.push(Owner { cell, paused: false, inbox: Vec::new(), wake: None });
        self.obey(owner, out);
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

    /// Tells the last owner which workers there are.
    pub(crate) fn list_workers(&mut self) {
        let list = self.workers.values().map(|worker| sycamorerill_tasks::worker::Worker {
            name: worker.name.clone(),
            rack: worker.rack.parse().unwrap(),
            size: worker.size,
            leaving: self.leaving.contains(&worker.name),
        });
        let list = list.collect();
        self.tell(Event::Workers(list));
    }

    /// Tells the last owner something.
    pub(crate) fn tell(&mut self, event: Event) {
        let owner = self.owners.len() - 1;
        self.tell_owner(owner, event);
    }

    pub(crate) fn owner(&self) -> usize {
        self.owners.len() - 1
    }

    pub(crate) fn cell(&self) -> &Cell {
        &self.owners[self.owner()].cell
    }

    pub(crate) fn submit(&mut self, job: Job) {
        self.sequence += 1;
        let request = Request { id: format!("r{}", self.sequence).into() };
        self.requests.insert(request.clone(), job.name.clone());
        self.tell(Event::Submit { job, request });
    }

    pub(crate) fn cancel(&mut self, job: JobName) {
        self.sequence += 1;
        let request = Request { id: format!("r{}", self.sequence).into() };
        self.tell(Event::Cancel { job, request });
    }

    pub(crate) fn set_store(&mut self, up: bool) {
        self.store_up = up;
        self.tell(if up { Event::StoreUp } else { Event::StoreDown });
        if up {
            for (owner, record) in std::mem::take(&mut self.unwritten) {
                self.push(WRITE, Action::Write { owner, record });
            }
        }
    }

    pub(crate) fn pause(&mut self, owner: usize, paused: bool) {
        self.owners[owner].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.owners[owner].inbox) {
                self.tell_owner(owner, event);
            }
            self.tell_owner(owner, Event::Tick);
        }
    }

    /// Ends a worker and all that runs there.
    pub(crate) fn kill(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
    }

    fn push(&mut self, after: Span, action: Action) {
        self.sequence += 1;
        self.actions.insert((self.now + after, self.sequence), action);
    }

    fn tell_owner(&mut self, owner: usize, event: Event) {
        if self.owners[owner].paused {
            self.owners[owner].inbox.push(event);
            return;
        }
        let mut out = Vec::new();
        self.owners[owner].cell.handle(self.now, event, &mut out);
        self.obey(owner, out);
        let next = self.owners[owner].cell.next_wake();
        let planned = self.owners[owner].wake.filter(|at| *at > self.now);
        if let Some(at) = next
            && planned.is_none_or(|planned| at < planned)
        {
            self.owners[owner].wake = Some(at);
            let after = at.since(self.now).less(Span::ZERO);
            let after = if after == Span::ZERO { Span::from_ms(1) } else { after };
            self.push(after, Action::Wake { owner });
        }
    }

    fn obey(&mut self, owner: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Exchange { worker, exchange } => self.carry(owner, worker, exchange),
                Command::Journal(record) => self.push(WRITE, Action::Write { owner, record }),
                Command::Reply { request, reply } => self.replied(&request, &reply),
                Command::Missed(miss) => *self.tally.missed.entry(miss.job).or_default() += 1,
                Command::Decision(decision) => self.decided(decision),
                Command::Offer { .. } | Command::Taken { .. } | Command::Superseded(_) => {}
            }
        }
    }

    fn replied(&mut self, request: &Request, reply: &Reply) {
        let text = format!("{reply:?}");
        let word = text.split(['(', ' ']).next().unwrap_or_default().to_owned();
        *self.tally.replies.entry(word).or_default() += 1;
        // The name of a conflicting job belongs to another one, which may run.
        if let (Reply::NotRun(reason), Some(job)) = (reply, self.requests.get(request))
            && !matches!(reason, Reason::Conflict(_))
        {
            self.checks.told_not_run(job);
        }
    }

    fn decided(&mut self, decision: Decision) {
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

    fn carry(&mut self, owner: usize, worker: WorkerName, exchange: Exchange) {
        let reached = !self.cut.contains(&(owner, worker.clone()));
        if !reached || self.rng.f64() < self.faults.lost {
            return self.push(TIMEOUT, Action::Tell { owner, event: Event::Unreachable(worker) });
        }
        if self.rng.f64() < self.faults.late {
            let late = Span::from_ms(self.rng.u64(1..20_000));
            let (worker, exchange) = (worker.clone(), exchange.clone());
            self.push(late, Action::Arrive { owner, worker, exchange });
        }
        self.push(DELAY, Action::Arrive { owner, worker, exchange });
    }

    fn arrive(&mut self, owner: usize, name: WorkerName, exchange: &Exchange) {
        let Some(worker) = self.workers.get_mut(&name) else {
            let event = Event::Unreachable(name);
            return self.push(TIMEOUT, Action::Tell { owner, event });
        };
        worker.advance(self.now, &self.truths);
        let before: BTreeSet<Token> = worker.runs.keys().copied().collect();
        let report = worker.exchange(exchange, &self.truths);
        for (token, run) in worker.runs.iter().filter(|(token, _)| !before.contains(token)) {
            self.checks.started(*token, run);
        }
        for (token, run) in std::mem::take(&mut worker.forgotten) {
            self.checks.forgotten(token, &run);
            self.tally.forgotten(self.now, &run, &self.truths);
        }
        if self.rng.f64() < self.faults.unanswered {
            let event = Event::Unreachable(name);
            return self.push(TIMEOUT, Action::Tell { owner, event });
        }
        if self.rng.f64() < self.faults.late {
            let late = Span::from_ms(self.rng.u64(1..20_000));
            let (worker, report) = (name.clone(), report.clone());
            self.push(late, Action::Answer { owner, worker, report });
        }
        self.push(DELAY, Action::Answer { owner, worker: name, report });
    }

    fn write(&mut self, owner: usize, record: Record) {
        if !self.store_up {
            return self.unwritten.push((owner, record));
        }
        let sequence = record.sequence;
        // Only the owner of the highest epoch can append.
        if owner + 1 < self.owners.len() {
            return self.tell_owner(owner, Event::NotDurable(sequence));
        }
        self.checks.durable(&record);
        self.log.push(record);
        self.tell_owner(owner, Event::Durable(sequence));
    }

    /// Lets time pass.
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
                self.look();
            }
        }
        self.now = end;
        self.look();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive { owner, worker, exchange } => self.arrive(owner, worker, &exchange),
            Action::Answer { owner, worker, report } => {
                self.tell_owner(owner, Event::Reported { worker, report });
            }
            Action::Tell { owner, event } => self.tell_owner(owner, event),
            Action::Write { owner, record } => self.write(owner, record),
            Action::Wake { owner } => self.tell_owner(owner, Event::Tick),
        }
    }

    /// Brings all workers up to now and checks what runs.
    pub(crate) fn look(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now, &self.truths);
        }
        self.checks.look(&self.workers);
    }
}

impl Tally {
    /// Returns the batch work finished for a team, as core-seconds.
    pub(crate) fn team_work(&self, team: &str) -> f64 {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn forgotten(&mut self, now: Time, run: &super::worker::Run, truths: &Truths) {
        use sycamorerill_tasks::worker::Phase;
        let declared = truths.declared.get(&run.class).copied().unwrap_or(run.size);
        let cores = truths.of(&run.class).uses(declared).cpu().as_cores();
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
