//! The actor that runs the cells of this instance.
//!
//! A cell schedules the jobs of one failure domain on the domain's workers.

mod convert;
mod exchange;
mod jobs;
mod missing;

pub(crate) use self::jobs::no_owner_response;

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

use self::exchange::WorkerClocks;
use self::missing::MissingWorkers;
use super::calls::Calls;
use super::control::Control;
use super::message::Inbox;
use super::records;
use super::shards::ShardLayout;
use crate::event;
use crate::events::Code;
use crate::http::Response;
use crate::io::Pool;
use crate::peer::Peers;
use crate::shared::Shared;

/// Maximum number of concurrent exchanges with workers.
const MAX_EXCHANGES: usize = 64;

/// Everything that the actor needs at its start.
pub(crate) struct Dependencies {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) control: Actor<Control>,
    pub(crate) calls: Actor<Calls>,
    pub(crate) shards: ShardLayout,
    pub(crate) name: InstanceName,
    pub(crate) seed: u64,
}

struct OwnedCell {
    cell: Cell,
    /// Whether the cell has restored its state. It starts when the configuration and the
    /// list of workers have been received.
    started: bool,
    /// Snapshot and records of previous owners, until the cell has started.
    recovered: Option<(Snapshot, Vec<Record>)>,
}

/// The cell actor.
pub(crate) struct Cells {
    deps: Dependencies,
    config: Arc<Config>,
    owned_cells: BTreeMap<DomainName, OwnedCell>,
    listed_workers: BTreeMap<DomainName, Vec<Worker>>,
    clients: BTreeMap<WorkerName, platform::Client>,
    clocks: WorkerClocks,
    missing_workers: MissingWorkers,
    /// Requests of operators and submitters that have no response yet, by identity.
    pending_requests: BTreeMap<Bytes, (JobName, Sender<Response>)>,
    next_request: u64,
    exchange_pool: Pool,
    timer: MinTimerKey,
}

impl Cells {
    /// Starts the actor.
    pub(crate) fn init(_: CX![], deps: Dependencies) -> Option<Self> {
        Some(Self {
            deps,
            config: Arc::default(),
            owned_cells: BTreeMap::new(),
            listed_workers: BTreeMap::new(),
            clients: BTreeMap::new(),
            clocks: WorkerClocks::default(),
            missing_workers: MissingWorkers::default(),
            pending_requests: BTreeMap::new(),
            next_request: 1,
            exchange_pool: Pool::new("exchanges", MAX_EXCHANGES),
            timer: MinTimerKey::default(),
        })
    }

    /// Takes ownership of a cell with the state that its previous owners made durable.
    pub(crate) fn cell_gained(
        &mut self,
        cx: CX![],
        shard: Shard,
        epoch: Epoch,
        snapshot: Snapshot,
        records: Vec<Record>,
    ) {
        let Some(domain) = self.deps.shards.domain_of(shard).cloned() else {
            return;
        };
        let seed = self.deps.seed ^ epoch.0;
        let cell = Cell::new(cell::Settings::default(), domain.clone(), epoch, seed);
        let recovered = Some((snapshot, records));
        let owned = OwnedCell { cell, started: false, recovered };
        self.owned_cells.insert(domain.clone(), owned);
        self.start(cx, &domain);
        self.deps.shared.metrics.set_owned_shards("cell", self.owned_cells.len());
    }

    /// Starts a cell if the configuration and the list of workers have been received.
    fn start(&mut self, cx: CX![], domain: &DomainName) {
        if self.config.version.0 == 0 || !self.listed_workers.contains_key(domain) {
            return;
        }
        let Some(owned) = self.owned_cells.get_mut(domain) else {
            return;
        };
        let Some((snapshot, records)) = owned.recovered.take() else {
            return;
        };
        self.handle_event(cx, domain, Event::Configured(Arc::clone(&self.config)));
        let now = self.deps.shared.clock.now();
        let mut commands = Vec::new();
        if let Some(owned) = self.owned_cells.get_mut(domain) {
            owned.cell.restore(now, snapshot, records, &mut commands);
            owned.started = true;
        }
        self.execute_all(cx, domain, commands);
        let workers = self.listed_workers.get(domain).cloned().unwrap_or_default();
        self.handle_event(cx, domain, Event::WorkersListed(workers));
    }

    /// Removes a cell that this instance no longer owns.
    pub(crate) fn cell_lost(&mut self, _: CX![], shard: Shard) {
        if let Some(domain) = self.deps.shards.domain_of(shard) {
            self.owned_cells.remove(domain);
        }
        self.deps.shared.metrics.set_owned_shards("cell", self.owned_cells.len());
    }

    /// Activates a configuration.
    pub(crate) fn apply_config(&mut self, cx: CX![], config: Arc<Config>) {
        self.config = config;
        for domain in self.domains() {
            if self.is_started(&domain) {
                self.handle_event(cx, &domain, Event::Configured(Arc::clone(&self.config)));
            } else {
                self.start(cx, &domain);
            }
        }
    }

    /// Updates the workers of each failure domain from the platform's list.
    pub(crate) fn update_workers(
        &mut self,
        cx: CX![],
        listed: BTreeMap<DomainName, Vec<Worker>>,
        clients: BTreeMap<WorkerName, platform::Client>,
    ) {
        let gone = self.missing_workers.record_list(&listed);
        self.listed_workers = listed;
        // Existing clients are kept because they hold open connections.
        for (name, client) in clients {
            self.clients.entry(name).or_insert(client);
        }
        for domain in self.domains() {
            if self.is_started(&domain) {
                let workers = self.listed_workers.get(&domain).cloned().unwrap_or_default();
                self.handle_event(cx, &domain, Event::WorkersListed(workers));
            } else {
                self.start(cx, &domain);
            }
        }
        for (domain, worker) in gone {
            event!(Code::WorkerState, worker = worker, state = "gone");
            self.handle_event(cx, &domain, Event::WorkerGone(worker));
        }
        self.report_tasks(cx);
    }

    fn domains(&self) -> Vec<DomainName> {
        self.owned_cells.keys().cloned().collect()
    }

    fn is_started(&self, domain: &DomainName) -> bool {
        self.owned_cells.get(domain).is_some_and(|owned| owned.started)
    }

    /// Updates the task metrics and reports the number of running tasks to the call actor.
    fn report_tasks(&mut self, _: CX![]) {
        let mut by_state: BTreeMap<&'static str, u64> = BTreeMap::new();
        for owned in self.owned_cells.values() {
            for (state, number) in &owned.cell.status().counts.states {
                *by_state.entry(state.as_str()).or_default() += number;
            }
        }
        for (state, number) in &by_state {
            let number = usize::try_from(*number).unwrap_or(usize::MAX);
            self.deps.shared.metrics.set_tasks(state, number);
        }
        let running = by_state.get("running").copied().unwrap_or(0);
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        call!([self.deps.calls], running_tasks(running));
    }

    /// Handles a change of the store's state.
    pub(crate) fn store_changed(&mut self, cx: CX![], up: bool) {
        for domain in self.domains() {
            let event = if up { Event::StoreUp } else { Event::StoreDown };
            self.handle_event(cx, &domain, event);
        }
    }

    /// Handles the journal's result for a record of a cell.
    ///
    /// Results of a previous epoch of the cell are ignored.
    pub(crate) fn record_written(
        &mut self,
        cx: CX![],
        domain: DomainName,
        epoch: Epoch,
        sequence: u64,
        lasts: bool,
    ) {
        let current =
            self.owned_cells.get(&domain).is_some_and(|owned| owned.cell.epoch() == epoch);
        if current {
            let event = if lasts { Event::Durable(sequence) } else { Event::NotDurable(sequence) };
            self.handle_event(cx, &domain, event);
        }
    }

    /// Sends a snapshot of a cell to the control actor.
    pub(crate) fn take_snapshot(&mut self, _: CX![], shard: Shard) {
        let Some(domain) = self.deps.shards.domain_of(shard) else {
            return;
        };
        let Some(owned) = self.owned_cells.get(domain).filter(|owned| owned.started) else {
            return;
        };
        match records::write_snapshot(&owned.cell.snapshot()) {
            Ok(bytes) => call!([self.deps.control], snapshot(shard, bytes)),
            Err(error) => event!(Code::RecoveryFailed, shard = shard, error = error),
        }
    }

    /// Passes an event to a cell and executes the commands that it returns.
    fn handle_event(&mut self, cx: CX![], domain: &DomainName, event: Event) {
        let now = self.deps.shared.clock.now();
        let Some(owned) = self.owned_cells.get_mut(domain) else {
            return;
        };
        let mut commands = Vec::new();
        owned.cell.handle(now, event, &mut commands);
        self.execute_all(cx, domain, commands);
    }

    fn execute_all(&mut self, cx: CX![], domain: &DomainName, commands: Vec<Command>) {
        for command in commands {
            self.execute(cx, domain, command);
        }
        self.schedule(cx);
    }

    /// Handles the timers of all cells that are due.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.deps.shared.clock.now();
        for domain in self.domains() {
            let wake = self.owned_cells.get(&domain).and_then(|owned| owned.cell.next_wake());
            if wake.is_some_and(|wake| wake <= now) {
                self.handle_event(cx, &domain, Event::Tick);
            }
        }
        self.schedule(cx);
    }

    fn schedule(&mut self, cx: CX![]) {
        let wakes = self.owned_cells.values().filter_map(|owned| owned.cell.next_wake());
        if let Some(wake) = wakes.min() {
            let at = self.deps.shared.clock.instant(wake.max(Time::ZERO));
            timer_min!(&mut self.timer, at, [cx], tick());
        }
    }

    fn execute(&mut self, cx: CX![], domain: &DomainName, command: Command) {
        match command {
            Command::Exchange { worker, exchange } => self.send_exchange(domain, worker, exchange),
            Command::Journal(record) => {
                let Some(epoch) = self.owned_cells.get(domain).map(|owned| owned.cell.epoch())
                else {
                    return;
                };
                call!([self.deps.control], journal_cell(domain.clone(), epoch, record));
            }
            Command::Reply { request, reply } => self.reply(&request, reply),
            Command::OfferHandover { to, transfer } => self.offer_handover(domain, &to, *transfer),
            Command::ConfirmHandover { to, job } => self.confirm_handover(&to, job),
            Command::DeadlineMissed(miss) => {
                call!([self.deps.control], count_missed_deadline(miss))
            }
            Command::Superseded(epoch) => {
                event!(Code::WorkerState, domain = domain, superseded_by = epoch);
                let domain = domain.clone();
                call!([cx], superseded(domain));
            }
            Command::Decision(decision) => {
                if matches!(decision, cell::Decision::Evicted { .. }) {
                    self.deps.shared.metrics.task_evicted();
                }
                event!(Code::TaskPlaced, domain = domain, decision = decision);
            }
        }
    }

    /// Removes a cell for which a worker has reported a newer owner.
    pub(crate) fn superseded(&mut self, _: CX![], domain: DomainName) {
        self.owned_cells.remove(&domain);
    }
}
