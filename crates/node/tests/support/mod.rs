//! A platform in memory for tests.
//!
//! It has a store with conditional transactions and versions, and executors that implement
//! as much of their contract as these tests need.

#![allow(dead_code, reason = "each test file uses a part of the platform")]

pub(crate) mod run;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::config::{Config, Limits, Queue, Service};
use sycamorerill_jobs::executor::{
    Advice, Availability, EndReason, Incarnation, Outcome, Refusal, Registration, Report, RunEnd,
    RunReport, Steady,
};
use sycamorerill_jobs::id::{
    DomainName, ExecutorId, InstanceName, Label, QueueName, Run, ServiceName, StepId, TaskId,
};
use sycamorerill_jobs::spec::Resources;
use sycamorerill_node::platform::{
    Changes, Error, Key, Page, Platform, Probe, Row, Start, StoreClock, Table, Target, Transaction,
    Version,
};
use sycamorerill_node::{Instance, ManagerSettings, Settings, Spawner, clock, start};

/// Default run time of a task, in milliseconds.
const RUN_MS: u64 = 60;

/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 100;
/// Maximum number of bytes in a call, as the store encodes values.
const MAX_CALL_BYTES: usize = 1_000_000;
/// Maximum number of bytes in a row.
const ROW_BYTES: usize = 65_536;

/// Time that a watch may take in addition to its wait before the platform adapter fails it.
const WATCH_SLACK_MS: u64 = 500;

/// Start of the names of rows that evacuate failure domains.
pub(crate) const EVACUATION: &str = "evacuated:";

type RowKey = (Table, String, String);

/// The store and the executors, shared by all instances of a test.
#[derive(Debug, Default)]
pub(crate) struct MemoryPlatform {
    rows: RefCell<BTreeMap<RowKey, (Bytes, u64)>>,
    history: RefCell<Vec<(RowKey, Option<Bytes>, u64)>>,
    version: Cell<u64>,
    /// Number of upcoming transactions that are handled but whose answers are lost.
    pub(crate) lost_answers: Cell<u32>,
    /// Time after which the store performs claims, whose callers get no answer; 0 for at once.
    pub(crate) claim_delay_ms: Cell<u64>,
    /// Claims that wait, with the times at which the store performs them.
    late_claims: RefCell<Vec<(Time, Transaction)>>,
    /// Whether watches that begin now are never answered.
    pub(crate) hang_watches: Cell<bool>,
    /// Whether watches of operators' rows that begin now are never answered.
    pub(crate) hang_operator_watches: Cell<bool>,
    /// Version up to which the store has discarded its history.
    discarded: Cell<u64>,
    /// Run time of a task, in milliseconds.
    pub(crate) run_ms: Cell<u64>,
    /// Number of upcoming transactions that are refused.
    pub(crate) refusals: Cell<u32>,
    /// Number of further transactions on accepted jobs that the store refuses.
    pub(crate) job_refusals: Cell<u32>,
    executors: RefCell<BTreeMap<ExecutorId, FakeExecutor>>,
    /// For each probe that was sent, whether it renewed leases.
    pub(crate) probes: RefCell<Vec<bool>>,
    /// Whether the store refuses transactions of owners for the moment.
    pub(crate) store_refuses_records: Cell<bool>,
    /// Name of a row of which the store rejects each write.
    pub(crate) rejected_row: RefCell<Option<String>>,
    /// Time for which the process is suspended as soon as the store has the next record of a run.
    pub(crate) suspension_ms: Cell<u64>,
    /// Number of starts that were not sent, as their time was over.
    pub(crate) withheld_starts: Cell<u32>,
    /// Starts that executors have carried out.
    pub(crate) starts: RefCell<Vec<(TaskId, Run)>>,
}

#[derive(Debug, Default)]
struct FakeExecutor {
    fence: u64,
    running: BTreeMap<TaskId, (Run, u64)>,
    ended: Vec<RunEnd>,
    end_count: u64,
}

/// The connection of one instance to the platform.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    platform: Rc<MemoryPlatform>,
    /// Whether this instance reaches the store and the executors.
    pub(crate) connected: Rc<Cell<bool>>,
}

impl MemoryPlatform {
    pub(crate) fn new(executors: u32) -> Rc<Self> {
        let platform = Self { run_ms: Cell::new(RUN_MS), ..Self::default() };
        for number in 0..executors {
            let id = ExecutorId::from(format!("x{number}").as_str());
            platform.put(Table::Executors, "", id.as_str(), Bytes::from_static(b"x"));
            platform.executors.borrow_mut().insert(id, FakeExecutor::default());
        }
        platform.put(Table::Operator, "", "config", Bytes::from_static(b"1"));
        Rc::new(platform)
    }

    pub(crate) fn put(&self, table: Table, part: &str, name: &str, value: Bytes) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let row_key = (table, part.to_owned(), name.to_owned());
        self.rows.borrow_mut().insert(row_key.clone(), (value.clone(), version));
        self.history.borrow_mut().push((row_key, Some(value), version));
    }

    fn perform_late_claims(&self) {
        let now = clock::now();
        let claims = self.late_claims.take();
        let (due, later): (Vec<_>, Vec<_>) = claims.into_iter().partition(|(at, _)| *at <= now);
        self.late_claims.replace(later);
        for (_, transaction) in due {
            let _ = self.transact(&transaction);
        }
    }

    /// Removes a row; the removal is not in the history if that is lost.
    pub(crate) fn remove(&self, table: Table, name: &str, history_lost: bool) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let row_key = (table, String::new(), name.to_owned());
        self.rows.borrow_mut().remove(&row_key);
        if history_lost {
            self.discarded.set(version);
        } else {
            self.history.borrow_mut().push((row_key, None, version));
        }
    }

    fn version_of(&self, row_key: &RowKey) -> u64 {
        self.rows.borrow().get(row_key).map_or(0, |(_, version)| *version)
    }

    fn transact(&self, transaction: &Transaction) -> Result<Version, Error> {
        let conflict = transaction
            .expected
            .iter()
            .any(|(key, version)| self.version_of(&row_key(key)) != version.0);
        if conflict {
            let rows = self.rows.borrow();
            let found = transaction.expected.iter().filter_map(|(key, _)| {
                let (value, version) = rows.get(&row_key(key))?;
                Some(row(&row_key(key), Some(value.clone()), *version))
            });
            return Err(Error::Conflict(found.collect()));
        }
        if self.is_malformed(transaction) {
            return Err(Error::Refused(400));
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        for key in &transaction.removes {
            self.rows.borrow_mut().remove(&row_key(key));
            self.history.borrow_mut().push((row_key(key), None, version));
        }
        for (key, value) in &transaction.writes {
            self.rows.borrow_mut().insert(row_key(key), (value.clone(), version));
            self.history.borrow_mut().push((row_key(key), Some(value.clone()), version));
        }
        Ok(Version(version))
    }

    /// Returns whether the store rejects a transaction whatever its conditions.
    fn is_malformed(&self, transaction: &Transaction) -> bool {
        let Transaction { expected, writes, removes } = transaction;
        let rejected = self.rejected_row.borrow();
        let bytes: usize = writes.iter().map(|(_, value)| value.len().div_ceil(3) * 4).sum();
        expected.len() + writes.len() + removes.len() > MAX_ENTRIES
            || bytes > MAX_CALL_BYTES
            || writes.iter().any(|(key, value)| {
                value.len() > ROW_BYTES || rejected.as_ref().is_some_and(|name| *name == key.name)
            })
    }

    /// Starts an instance on this platform.
    pub(crate) fn start_instance(
        self: &Rc<Self>,
        spawner: &Spawner,
        name: &str,
    ) -> (Instance, Connection) {
        let connection =
            Connection { platform: Rc::clone(self), connected: Rc::new(Cell::new(true)) };
        let settings =
            Settings { name: InstanceName::from(name), manager: ManagerSettings::default() };
        (start(Rc::new(connection.clone()), spawner, settings), connection)
    }

    /// Returns how often tasks with this index were started.
    pub(crate) fn starts_of(&self, index: u32) -> usize {
        self.starts.borrow().iter().filter(|(task, _)| task.index == index).count()
    }

    fn changes_after(&self, table: Table, after: Version) -> Vec<Row> {
        let history = self.history.borrow();
        let later = history.iter().filter(|(p, _, version)| p.0 == table && *version > after.0);
        later.map(|(row_key, value, version)| row(row_key, value.clone(), *version)).collect()
    }

    /// Returns the values of the rows of a table with the given name, in all parts.
    pub(crate) fn values(&self, table: Table, name: &str) -> Vec<Bytes> {
        let rows = self.rows.borrow();
        let found = rows.iter().filter(|(row_key, _)| row_key.0 == table && row_key.2 == name);
        found.map(|(_, (value, _))| value.clone()).collect()
    }

    /// Returns the part that holds the first row of a table with the given name.
    pub(crate) fn part_of(&self, table: Table, name: &str) -> String {
        let rows = self.rows.borrow();
        let found = rows.keys().find(|row_key| row_key.0 == table && row_key.2 == name);
        found.map_or_else(String::new, |row_key| row_key.1.clone())
    }

    /// Returns the number of runs that are running on all executors.
    pub(crate) fn running(&self) -> usize {
        self.executors.borrow().values().map(|executor| executor.running.len()).sum()
    }

    fn finish_due_runs(&self, id: &ExecutorId) {
        let now = clock::now().as_ms();
        let mut executors = self.executors.borrow_mut();
        let Some(executor) = executors.get_mut(id) else {
            return;
        };
        let over: Vec<TaskId> =
            executor.running.iter().filter(|(_, (_, at))| *at <= now).map(|(t, _)| *t).collect();
        for task in over {
            if let Some((run, _)) = executor.running.remove(&task) {
                executor.end_count += 1;
                let (number, checkpoint) = (executor.end_count, String::new());
                executor.ended.push(RunEnd {
                    number,
                    task,
                    run,
                    reason: EndReason::Done,
                    checkpoint,
                });
            }
        }
    }
}

fn row_key(key: &Key) -> RowKey {
    (key.table, key.part.clone(), key.name.clone())
}

fn row(row_key: &RowKey, value: Option<Bytes>, version: u64) -> Row {
    let version = Version(version);
    Row { part: row_key.1.clone(), name: row_key.2.clone(), value, version }
}

async fn pause(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

impl Connection {
    async fn connect(&self) -> Result<(), Error> {
        pause(1).await;
        if self.connected.get() { Ok(()) } else { Err(Error::NotSent) }
    }

    fn check_order(&self, target: &Target) -> Result<Steady, Outcome> {
        let clock = Steady(clock::now().as_ms());
        if !self.connected.get() {
            return Err(Outcome::Unknown);
        }
        let mut executors = self.platform.executors.borrow_mut();
        let Some(executor) = executors.get_mut(&target.executor) else {
            return Err(Outcome::NotSent);
        };
        if target.epoch < executor.fence {
            return Err(Outcome::Refused(Refusal::Fence, Some(clock)));
        }
        executor.fence = target.epoch;
        Ok(clock)
    }
}

impl Platform for Connection {
    async fn transact(&self, transaction: &Transaction, timeout: Span) -> Result<Version, Error> {
        self.connect().await?;
        let is_record = |(key, _): &(Key, Bytes)| key.table == Table::Progress;
        if self.platform.store_refuses_records.get() && transaction.writes.iter().any(is_record) {
            return Err(Error::Refused(503));
        }
        let is_job = |(key, _): &(Key, Bytes)| key.table == Table::Accepted;
        let job_refusals = self.platform.job_refusals.get();
        if job_refusals > 0 && transaction.writes.iter().any(is_job) {
            self.platform.job_refusals.set(job_refusals - 1);
            return Err(Error::Refused(503));
        }
        if self.platform.refusals.get() > 0 {
            self.platform.refusals.set(self.platform.refusals.get() - 1);
            return Err(Error::Refused(503));
        }
        let delay = Span::from_ms(self.platform.claim_delay_ms.get());
        if delay > Span::ZERO && transaction.writes.iter().any(|(key, _)| key.name == "owner") {
            let late = (clock::now() + delay, transaction.clone());
            self.platform.late_claims.borrow_mut().push(late);
            pause(timeout.as_ms()).await;
            return Err(Error::Unknown);
        }
        let done = self.platform.transact(transaction);
        let holds_run = |(key, value): &(Key, Bytes)| {
            key.table == Table::Progress && key.name.starts_with(run::JOB_ID) && value.len() > 2
        };
        if transaction.writes.iter().any(holds_run) {
            std::thread::sleep(Duration::from_millis(self.platform.suspension_ms.take()));
        }
        if self.platform.lost_answers.get() > 0 {
            self.platform.lost_answers.set(self.platform.lost_answers.get() - 1);
            pause(timeout.as_ms()).await;
            return Err(Error::Unknown);
        }
        done
    }

    async fn read(
        &self,
        table: Table,
        part: &str,
        from: &str,
        max_rows: u32,
    ) -> Result<Page, Error> {
        self.connect().await?;
        let rows = self.platform.rows.borrow();
        let first = (table, part.to_owned(), from.to_owned());
        let found: Vec<Row> = rows
            .range(first..)
            .take_while(|(row_key, _)| row_key.0 == table && row_key.1 == part)
            .take(max_rows as usize + 1)
            .map(|(row_key, (value, version))| row(row_key, Some(value.clone()), *version))
            .collect();
        let more = found.len() > max_rows as usize;
        let rows = found.into_iter().take(max_rows as usize).collect();
        Ok(Page { rows, more, version: Version(self.platform.version.get()) })
    }

    async fn watch(&self, table: Table, after: Version, wait: Span) -> Result<Changes, Error> {
        let until = clock::now() + wait;
        let hangs_operator = self.platform.hang_operator_watches.get();
        if self.platform.hang_watches.get() || (hangs_operator && table == Table::Operator) {
            pause(wait.as_ms() + WATCH_SLACK_MS).await;
            return Err(Error::Unknown);
        }
        loop {
            self.connect().await?;
            self.platform.perform_late_claims();
            if after.0 < self.platform.discarded.get() {
                return Err(Error::HistoryGone);
            }
            let changed = self.platform.changes_after(table, after);
            if !changed.is_empty() || clock::now() >= until {
                let version = Version(self.platform.version.get());
                return Ok(Changes { rows: changed, version });
            }
            pause(2).await;
        }
    }

    fn store_latency(&self) -> Span {
        Span::ZERO
    }

    fn store_clock(&self) -> Option<StoreClock> {
        let now = clock::now();
        Some(StoreClock { reading: now.since(Time::ZERO), sent: now, received: now })
    }

    async fn start(&self, target: Target, start: Start) -> Outcome {
        pause(1).await;
        if clock::now() > start.before {
            self.platform.withheld_starts.set(self.platform.withheld_starts.get() + 1);
            return Outcome::NotSent;
        }
        let clock = match self.check_order(&target) {
            Ok(clock) => clock,
            Err(outcome) => return outcome,
        };
        let mut executors = self.platform.executors.borrow_mut();
        let executor = executors.entry(target.executor).or_default();
        if executor.running.contains_key(&start.task) {
            return Outcome::Done(clock);
        }
        executor.running.insert(start.task, (start.run, clock.0 + self.platform.run_ms.get()));
        self.platform.starts.borrow_mut().push((start.task, start.run));
        Outcome::Done(clock)
    }

    async fn stop(&self, target: Target, task: TaskId, _run: Run) -> Outcome {
        pause(1).await;
        let clock = match self.check_order(&target) {
            Ok(clock) => clock,
            Err(outcome) => return outcome,
        };
        self.platform
            .executors
            .borrow_mut()
            .entry(target.executor)
            .or_default()
            .running
            .remove(&task);
        Outcome::Done(clock)
    }

    async fn throttle(&self, target: Target, _task: TaskId, _run: Run, _percent: u32) -> Outcome {
        self.check_order(&target).map_or_else(|outcome| outcome, Outcome::Done)
    }

    async fn probe(&self, target: Target, probe: Probe) -> Result<Report, Outcome> {
        let until = clock::now() + probe.wait;
        self.platform.probes.borrow_mut().push(probe.deadline.is_some());
        loop {
            pause(1).await;
            let clock = self.check_order(&target)?;
            self.platform.finish_due_runs(&target.executor);
            let mut executors = self.platform.executors.borrow_mut();
            let executor = executors.entry(target.executor.clone()).or_default();
            executor.ended.retain(|end| end.number > probe.acknowledged);
            if !executor.ended.is_empty() || clock::now() >= until {
                let running = executor.running.iter().map(|(task, (run, _))| RunReport {
                    task: *task,
                    run: *run,
                    checkpoint: String::new(),
                    percent: 0,
                    load: None,
                });
                let (running, ended) = (running.collect(), executor.ended.clone());
                let latest_end = executor.end_count;
                let incarnation = Some(Incarnation(1));
                return Ok(Report { incarnation, clock, running, ended, latest_end });
            }
        }
    }

    async fn advise(&self, _step: StepId, _executors: &[ExecutorId]) -> Option<Advice> {
        None
    }

    fn parse_executor(&self, row: &Row) -> Option<Registration> {
        row.value.as_ref()?;
        Some(Registration {
            id: ExecutorId::from(row.name.as_str()),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            service: ServiceName::from("s"),
            domain: DomainName::from("d"),
            availability: Availability::Ready,
            warm_up: Span::ZERO,
            remaining: None,
            capacity: Resources { cpu: 8_000, memory: 8_000, accelerators: 0 },
            labels: vec![Label::from("a"), Label::from("r1")],
            clock: Steady(clock::now().as_ms()),
        })
    }

    fn parse_evacuation(&self, row: &Row) -> Option<DomainName> {
        row.name.strip_prefix(EVACUATION).map(DomainName::from)
    }

    fn parse_config(&self, row: &Row) -> Result<Option<Config>, String> {
        let Some(value) = row.value.as_ref().filter(|_| row.name == "config") else {
            return Ok(None);
        };
        // The version, and the name of the queue after it.
        let text = String::from_utf8_lossy(value);
        let (version, name) = text.split_once(' ').unwrap_or((&text, "q"));
        let version: u64 = version.parse().map_err(|_| format!("`{text}` is not a version"))?;
        let queue = Queue {
            name: QueueName::from(name),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: ServiceName::from("s"),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            objective: Span::from_ms(500),
            advice: None,
        };
        let service = Service { enforces_capacity: true, standby: false };
        Ok(Some(Config {
            version,
            queues: BTreeMap::from([(queue.name.clone(), queue)]),
            services: BTreeMap::from([(ServiceName::from("s"), service)]),
            limits: Limits::default(),
        }))
    }
}
