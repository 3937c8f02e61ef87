//! The actor that carries the cells owned here: their workers and their jobs.

mod absence;
mod exchange;
mod jobs;
mod wire;

pub(crate) use self::jobs::not_owned;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use crossbeam_channel::Sender;
use stakker::{Actor, CX, MinTimerKey, call, timer_min};
use sycamorerill_clients::worker as platform;
use sycamorerill_control::ownership::Shard;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, Epoch, InstanceName, JobName, WorkerName};
use sycamorerill_core::model::Config;
use sycamorerill_tasks::cell::{self, Cell, Command, Event};
use sycamorerill_tasks::journal::{Record, Snapshot};
use sycamorerill_tasks::worker::Worker;

use self::absence::Absences;
use self::exchange::Clocks;
use super::calls::Calls;
use super::control::Control;
use super::message::Inbox;
use super::records;
use super::shards::Shards;
use crate::event;
use crate::events::Code;
use crate::http::Response;
use crate::io::Pool;
use crate::peer::Peers;
use crate::shared::Shared;

/// Exchanges with workers at one time.
const MAX_EXCHANGES: usize = 64;

/// What the actor is made of.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) control: Actor<Control>,
    pub(crate) calls: Actor<Calls>,
    pub(crate) shards: Shards,
    pub(crate) name: InstanceName,
    pub(crate) seed: u64,
}

/// One owned cell.
struct Hosted {
    cell: Cell,
    /// Whether the configuration and the list have been here, so that it may start.
    restored: bool,
    /// What former owners left, until the cell has started.
    left: Option<(Snapshot, Vec<Record>)>,
}

/// The actor.
pub(crate) struct Cells {
    parts: Parts,
    config: Arc<Config>,
    hosted: BTreeMap<DomainName, Hosted>,
    listed: BTreeMap<DomainName, Vec<Worker>>,
    clients: BTreeMap<WorkerName, platform::Client>,
    clocks: Clocks,
    absences: Absences,
    /// Operators and submitters that wait, by the identity of their request.
    waiting: BTreeMap<Bytes, (JobName, Sender<Response>)>,
    next_request: u64,
    exchanges: Pool,
    wake: MinTimerKey,
}

impl Cells {
    /// Starts the actor.
    pub(crate) fn init(_: CX![], parts: Parts) -> Option<Self> {
        Some(Self {
            parts,
            config: Arc::default(),
            hosted: BTreeMap::new(),
            listed: BTreeMap::new(),
            clients: BTreeMap::new(),
            clocks: Clocks::default(),
            absences: Absences::default(),
            waiting: BTreeMap::new(),
            next_request: 1,
            exchanges: Pool::new("exchanges", MAX_EXCHANGES),
            wake: MinTimerKey::default(),
        })
    }

    /// Takes an owned cell with what its former owners made durable.
    pub(crate) fn gained(
        &mut self,
        cx: CX![],
        shard: Shard,
        epoch: Epoch,
        snapshot: Snapshot,
        records: Vec<Record>,
    ) {
        let Some(domain) = self.parts.shards.cell(shard).cloned() else {
            return;
        };
        let seed = self.parts.seed ^ epoch.0;
        let cell = Cell::new(cell::Settings::default(), domain.clone(), epoch, seed);
        let left = Some((snapshot, records));
        let hosted = Hosted { cell, restored: false, left };
        self.hosted.insert(domain.clone(), hosted);
        self.start(cx, &domain);
        self.parts.shared.metrics.set_owned("cell", self.hosted.len());
    }

    /// Starts a cell once the configuration and the list of workers are here.
    fn start(&mut self, cx: CX![], domain: &DomainName) {
        if self.config.version.0 == 0 || !self.listed.contains_key(domain) {
            return;
        }
        let Some(hosted) = self.hosted.get_mut(domain) else {
            return;
        };
        let Some((snapshot, records)) = hosted.left.take() else {
            return;
        };
        self.drive(cx, domain, Event::Configured(Arc::clone(&self.config)));
        let now = self.parts.shared.clock.now();
        let mut commands = Vec::new();
        if let Some(hosted) = self.hosted.get_mut(domain) {
            hosted.cell.restore(now, snapshot, records, &mut commands);
            hosted.restored = true;
        }
        self.carry_out_all(cx, domain, commands);
        let workers = self.listed.get(domain).cloned().unwrap_or_default();
        self.drive(cx, domain, Event::Workers(workers));
    }

    /// Drops a cell that is owned here no longer.
    pub(crate) fn lost(&mut self, _: CX![], shard: Shard) {
        if let Some(domain) = self.parts.shards.cell(shard) {
            self.hosted.remove(domain);
        }
        self.parts.shared.metrics.set_owned("cell", self.hosted.len());
    }

    /// Puts a configuration in force.
    pub(crate) fn configured(&mut self, cx: CX![], config: Arc<Config>) {
        self.config = config;
        for domain in self.domains() {
            if self.is_restored(&domain) {
                self.drive(cx, &domain, Event::Configured(Arc::clone(&self.config)));
            } else {
                self.start(cx, &domain);
            }
        }
    }

    /// Takes the workers that the platform lists, by failure domain.
    pub(crate) fn listed(
        &mut self,
        cx: CX![],
        listed: BTreeMap<DomainName, Vec<Worker>>,
        clients: BTreeMap<WorkerName, platform::Client>,
    ) {
        let gone = self.absences.note(&listed);
        self.listed = listed;
        // A client that is there already holds connections worth keeping.
        for (name, client) in clients {
            self.clients.entry(name).or_insert(client);
        }
        for domain in self.domains() {
            if self.is_restored(&domain) {
                let workers = self.listed.get(&domain).cloned().unwrap_or_default();
                self.drive(cx, &domain, Event::Workers(workers));
            } else {
                self.start(cx, &domain);
            }
        }
        for (domain, worker) in gone {
            event!(Code::WorkerState, worker = worker, state = "gone");
            self.drive(cx, &domain, Event::Gone(worker));
        }
        self.count(cx);
    }

    fn domains(&self) -> Vec<DomainName> {
        self.hosted.keys().cloned().collect()
    }

    fn is_restored(&self, domain: &DomainName) -> bool {
        self.hosted.get(domain).is_some_and(|hosted| hosted.restored)
    }

    /// Sets the metrics of the tasks and tells the load.
    fn count(&mut self, _: CX![]) {
        let mut by_state: BTreeMap<&'static str, u64> = BTreeMap::new();
        for hosted in self.hosted.values() {
            for (state, number) in &hosted.cell.status().counts.states {
                *by_state.entry(state.as_str()).or_default() += number;
            }
        }
        for (state, number) in &by_state {
            let number = usize::try_from(*number).unwrap_or(usize::MAX);
            self.parts.shared.metrics.set_tasks(state, number);
        }
        let running = by_state.get("running").copied().unwrap_or(0);
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        call!([self.parts.calls], running_tasks(running));
    }

    /// Takes word that the store has gone down or come up.
    pub(crate) fn store_is(&mut self, cx: CX![], up: bool) {
        for domain in self.domains() {
            let event = if up { Event::StoreUp } else { Event::StoreDown };
            self.drive(cx, &domain, event);
        }
    }

    /// Takes the journal's word on one record of a cell.
    pub(crate) fn written(
        &mut self,
        cx: CX![],
        domain: DomainName,
        epoch: Epoch,
        sequence: u64,
        lasts: bool,
    ) {
        let current = self.hosted.get(&domain).is_some_and(|hosted| hosted.cell.epoch() == epoch);
        if current {
            let event = if lasts { Event::Durable(sequence) } else { Event::NotDurable(sequence) };
            self.drive(cx, &domain, event);
        }
    }

    /// Gives the content of a cell for a snapshot.
    pub(crate) fn snapshot_wanted(&mut self, _: CX![], shard: Shard) {
        let Some(domain) = self.parts.shards.cell(shard) else {
            return;
        };
        let Some(hosted) = self.hosted.get(domain).filter(|hosted| hosted.restored) else {
            return;
        };
        match records::write_snapshot(&hosted.cell.snapshot()) {
            Ok(bytes) => call!([self.parts.control], snapshot(shard, bytes)),
            Err(error) => event!(Code::RecoveryFailed, shard = shard, error = error),
        }
    }

    /// Tells a cell what happened and carries out its commands.
    fn drive(&mut self, cx: CX![], domain: &DomainName, event: Event) {
        let now = self.parts.shared.clock.now();
        let Some(hosted) = self.hosted.get_mut(domain) else {
            return;
        };
        let mut commands = Vec::new();
        hosted.cell.handle(now, event, &mut commands);
        self.carry_out_all(cx, domain, commands);
    }

    fn carry_out_all(&mut self, cx: CX![], domain: &DomainName, commands: Vec<Command>) {
        for command in commands {
            self.carry_out(cx, domain, command);
        }
        self.schedule(cx);
    }

    /// Wakes each cell whose instant has come.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.parts.shared.clock.now();
        for domain in self.domains() {
            let wake = self.hosted.get(&domain).and_then(|hosted| hosted.cell.next_wake());
            if wake.is_some_and(|wake| wake <= now) {
                self.drive(cx, &domain, Event::Tick);
            }
        }
        self.schedule(cx);
    }

    fn schedule(&mut self, cx: CX![]) {
        let wakes = self.hosted.values().filter_map(|hosted| hosted.cell.next_wake());
        if let Some(wake) = wakes.min() {
            let at = self.parts.shared.clock.instant(wake.max(Time::ZERO));
            timer_min!(&mut self.wake, at, [cx], tick());
        }
    }

    fn carry_out(&mut self, cx: CX![], domain: &DomainName, command: Command) {
        match command {
            Command::Exchange { worker, exchange } => self.exchange(domain, worker, exchange),
            Command::Journal(record) => {
                let Some(epoch) = self.hosted.get(domain).map(|hosted| hosted.cell.epoch()) else {
                    return;
                };
                call!([self.parts.control], journal_cell(domain.clone(), epoch, record));
            }
            Command::Reply { request, reply } => self.reply(&request, reply),
            Command::Offer { to, transfer } => self.offer(domain, &to, *transfer),
            Command::Taken { to, job } => self.tell_taken(&to, job),
            Command::Missed(miss) => call!([self.parts.control], deadline_missed(miss)),
            Command::Superseded(epoch) => {
                event!(Code::WorkerState, domain = domain, superseded_by = epoch);
                let domain = domain.clone();
                call!([cx], superseded(domain));
            }
            Command::Decision(decision) => {
                if matches!(decision, cell::Decision::Evicted { .. }) {
                    self.parts.shared.metrics.evicted();
                }
                event!(Code::TaskPlaced, domain = domain, decision = decision);
            }
        }
    }

    /// Drops a cell that a worker says has a newer owner.
    pub(crate) fn superseded(&mut self, _: CX![], domain: DomainName) {
        self.hosted.remove(&domain);
    }
}
