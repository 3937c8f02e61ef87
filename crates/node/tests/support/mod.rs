//! A platform in memory: a store with conditions and versions, and executors that keep
//! the contract as far as these tests need it.

#![allow(dead_code, reason = "each test file uses a part of the platform")]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{Config, Limits, Queue, Service};
use sycamorerill_jobs::executor::{
    Answer, Born, Ended, How, Listed, Permits, Refusal, Report, Running, Standing, Steady,
};
use sycamorerill_jobs::id::{
    DomainName, ExecutorId, InstanceName, Label, QueueName, Run, ServiceName, StepId, TaskId,
};
use sycamorerill_jobs::spec::Room;
use sycamorerill_node::port::{
    Changes, Error, Key, Look, Order, Page, Platform, Row, Start, Table, Transaction, Version,
};
use sycamorerill_node::{Instance, KeeperSettings, Settings, Spawner, clock, start};

/// Time that a task runs, in milliseconds, where a test does not say.
const RUN_MS: u64 = 60;

/// Time after which an adapter gives a wait for changes up, beyond the wait itself.
const FOLLOW_SLACK_MS: u64 = 500;

type Place = (Table, String, String);

/// The store and the executors, shared by all instances.
#[derive(Debug, Default)]
pub(crate) struct World {
    rows: RefCell<BTreeMap<Place, (Bytes, u64)>>,
    history: RefCell<Vec<(Place, Option<Bytes>, u64)>>,
    version: Cell<u64>,
    /// Writes that are done, or refused by their conditions, and not answered.
    pub(crate) lose_answers: Cell<u32>,
    /// Whether waits for changes that are sent now are never answered.
    pub(crate) silent: Cell<bool>,
    /// Time that a task runs, in milliseconds.
    pub(crate) run_ms: Cell<u64>,
    /// Writes that are refused.
    pub(crate) refuse: Cell<u32>,
    executors: RefCell<BTreeMap<ExecutorId, Machine>>,
    /// Starts that were carried out.
    pub(crate) starts: RefCell<Vec<(TaskId, Run)>>,
}

#[derive(Debug, Default)]
struct Machine {
    fence: u64,
    running: BTreeMap<TaskId, (Run, u64)>,
    ended: Vec<Ended>,
    counted: u64,
}

/// The platform as one instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct View {
    world: Rc<World>,
    /// Whether this instance reaches the store and the executors.
    pub(crate) connected: Rc<Cell<bool>>,
}

impl World {
    pub(crate) fn new(executors: u32) -> Rc<Self> {
        let world = Self { run_ms: Cell::new(RUN_MS), ..Self::default() };
        for number in 0..executors {
            let id = ExecutorId::from(format!("x{number}").as_str());
            world.put(Table::Executors, "", id.as_str(), Bytes::from_static(b"x"));
            world.executors.borrow_mut().insert(id, Machine::default());
        }
        world.put(Table::Declared, "", "config", Bytes::from_static(b"1"));
        Rc::new(world)
    }

    fn put(&self, table: Table, part: &str, name: &str, value: Bytes) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let place = (table, part.to_owned(), name.to_owned());
        self.rows.borrow_mut().insert(place.clone(), (value.clone(), version));
        self.history.borrow_mut().push((place, Some(value), version));
    }

    fn version_of(&self, place: &Place) -> u64 {
        self.rows.borrow().get(place).map_or(0, |(_, version)| *version)
    }

    fn transact(&self, change: &Transaction) -> Result<Version, Error> {
        let conflict =
            change.expected.iter().any(|(key, version)| self.version_of(&place(key)) != version.0);
        if conflict {
            let rows = self.rows.borrow();
            let found = change.expected.iter().filter_map(|(key, _)| {
                let (value, version) = rows.get(&place(key))?;
                Some(row(&place(key), Some(value.clone()), *version))
            });
            return Err(Error::Conflict(found.collect()));
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        for (key, value) in &change.writes {
            self.rows.borrow_mut().insert(place(key), (value.clone(), version));
            self.history.borrow_mut().push((place(key), Some(value.clone()), version));
        }
        Ok(Version(version))
    }

    /// Starts an instance that sees this world.
    pub(crate) fn join(self: &Rc<Self>, spawner: &Spawner, name: &str) -> (Instance, View) {
        let view = View { world: Rc::clone(self), connected: Rc::new(Cell::new(true)) };
        let settings =
            Settings { name: InstanceName::from(name), keeper: KeeperSettings::default() };
        (start(Rc::new(view.clone()), spawner, settings), view)
    }

    /// Returns how often a task was started.
    pub(crate) fn starts_of(&self, index: u32) -> usize {
        self.starts.borrow().iter().filter(|(task, _)| task.index == index).count()
    }

    fn changed(&self, table: Table, after: Version) -> Vec<Row> {
        let history = self.history.borrow();
        let later = history.iter().filter(|(p, _, version)| p.0 == table && *version > after.0);
        later.map(|(place, value, version)| row(place, value.clone(), *version)).collect()
    }

    /// Returns the rows of a table whose name is `name`.
    pub(crate) fn values(&self, table: Table, name: &str) -> Vec<Bytes> {
        let rows = self.rows.borrow();
        let found = rows.iter().filter(|(place, _)| place.0 == table && place.2 == name);
        found.map(|(_, (value, _))| value.clone()).collect()
    }

    /// Returns the number of runs at all executors.
    pub(crate) fn running(&self) -> usize {
        self.executors.borrow().values().map(|machine| machine.running.len()).sum()
    }

    fn live(&self, id: &ExecutorId) {
        let now = clock::now().as_ms();
        let mut machines = self.executors.borrow_mut();
        let Some(machine) = machines.get_mut(id) else {
            return;
        };
        let over: Vec<TaskId> =
            machine.running.iter().filter(|(_, (_, at))| *at <= now).map(|(t, _)| *t).collect();
        for task in over {
            if let Some((run, _)) = machine.running.remove(&task) {
                machine.counted += 1;
                let (number, saved) = (machine.counted, String::new());
                machine.ended.push(Ended { number, task, run, how: How::Done, saved });
            }
        }
    }
}

fn place(key: &Key) -> Place {
    (key.table, key.part.clone(), key.name.clone())
}

fn row(place: &Place, value: Option<Bytes>, version: u64) -> Row {
    let version = Version(version);
    Row { part: place.1.clone(), name: place.2.clone(), value, version }
}

async fn pause(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

impl View {
    async fn reach(&self) -> Result<(), Error> {
        pause(1).await;
        if self.connected.get() { Ok(()) } else { Err(Error::NotSent) }
    }

    fn obey(&self, to: &Order) -> Result<Steady, Answer> {
        let clock = Steady(clock::now().as_ms());
        if !self.connected.get() {
            return Err(Answer::Unknown);
        }
        let mut machines = self.world.executors.borrow_mut();
        let Some(machine) = machines.get_mut(&to.executor) else {
            return Err(Answer::NotSent);
        };
        if to.epoch < machine.fence {
            return Err(Answer::Refused(Refusal::Fence, Some(clock)));
        }
        machine.fence = to.epoch;
        Ok(clock)
    }
}

impl Platform for View {
    async fn transact(&self, change: &Transaction, limit: Span) -> Result<Version, Error> {
        self.reach().await?;
        if self.world.refuse.get() > 0 {
            self.world.refuse.set(self.world.refuse.get() - 1);
            return Err(Error::Refused(503));
        }
        let done = self.world.transact(change);
        if self.world.lose_answers.get() > 0 {
            self.world.lose_answers.set(self.world.lose_answers.get() - 1);
            pause(limit.as_ms()).await;
            return Err(Error::Unknown);
        }
        done
    }

    async fn read(&self, table: Table, part: &str, from: &str, most: u32) -> Result<Page, Error> {
        self.reach().await?;
        let rows = self.world.rows.borrow();
        let first = (table, part.to_owned(), from.to_owned());
        let found: Vec<Row> = rows
            .range(first..)
            .take_while(|(place, _)| place.0 == table && place.1 == part)
            .take(most as usize + 1)
            .map(|(place, (value, version))| row(place, Some(value.clone()), *version))
            .collect();
        let more = found.len() > most as usize;
        let rows = found.into_iter().take(most as usize).collect();
        Ok(Page { rows, more, version: Version(self.world.version.get()) })
    }

    async fn follow(&self, table: Table, after: Version, wait: Span) -> Result<Changes, Error> {
        let until = clock::now() + wait;
        if self.world.silent.get() {
            pause(wait.as_ms() + FOLLOW_SLACK_MS).await;
            return Err(Error::Unknown);
        }
        loop {
            self.reach().await?;
            let changed = self.world.changed(table, after);
            if !changed.is_empty() || clock::now() >= until {
                let version = Version(self.world.version.get());
                return Ok(Changes { rows: changed, version });
            }
            pause(2).await;
        }
    }

    async fn start(&self, to: Order, start: Start) -> Answer {
        pause(1).await;
        let clock = match self.obey(&to) {
            Ok(clock) => clock,
            Err(answer) => return answer,
        };
        let mut machines = self.world.executors.borrow_mut();
        let machine = machines.entry(to.executor).or_default();
        if machine.running.contains_key(&start.task) {
            return Answer::Done(clock);
        }
        machine.running.insert(start.task, (start.run, clock.0 + self.world.run_ms.get()));
        self.world.starts.borrow_mut().push((start.task, start.run));
        Answer::Done(clock)
    }

    async fn stop(&self, to: Order, task: TaskId, _run: Run) -> Answer {
        pause(1).await;
        let clock = match self.obey(&to) {
            Ok(clock) => clock,
            Err(answer) => return answer,
        };
        self.world.executors.borrow_mut().entry(to.executor).or_default().running.remove(&task);
        Answer::Done(clock)
    }

    async fn pace(&self, to: Order, _task: TaskId, _run: Run, _percent: u32) -> Answer {
        self.obey(&to).map_or_else(|answer| answer, Answer::Done)
    }

    async fn look(&self, to: Order, look: Look) -> Result<Report, Answer> {
        let until = clock::now() + look.wait;
        loop {
            pause(1).await;
            let clock = self.obey(&to)?;
            self.world.live(&to.executor);
            let mut machines = self.world.executors.borrow_mut();
            let machine = machines.entry(to.executor.clone()).or_default();
            machine.ended.retain(|end| end.number > look.seen);
            if !machine.ended.is_empty() || clock::now() >= until {
                let running = machine.running.iter().map(|(task, (run, _))| Running {
                    task: *task,
                    run: *run,
                    saved: String::new(),
                    percent: 0,
                    load: None,
                });
                let (running, ended) = (running.collect(), machine.ended.clone());
                return Ok(Report { born: Some(Born(1)), clock, running, ended });
            }
        }
    }

    async fn advise(&self, _step: StepId, _executors: &[ExecutorId]) -> Option<Permits> {
        None
    }

    fn executor(&self, row: &Row) -> Option<Listed> {
        row.value.as_ref()?;
        Some(Listed {
            id: ExecutorId::from(row.name.as_str()),
            born: Born(1),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            service: ServiceName::from("s"),
            domain: DomainName::from("d"),
            standing: Standing::Ready,
            cold: Span::ZERO,
            remaining: None,
            capacity: Room { cpu: 8_000, memory: 8_000, accelerators: 0 },
            labels: vec![Label::from("a"), Label::from("r1")],
            clock: Steady(clock::now().as_ms()),
        })
    }

    fn config(&self, row: &Row) -> Result<Option<Config>, String> {
        let Some(value) = row.value.as_ref().filter(|_| row.name == "config") else {
            return Ok(None);
        };
        let version: u64 = String::from_utf8_lossy(value)
            .parse()
            .map_err(|_| format!("`{value:?}` is not a version"))?;
        let queue = Queue {
            name: QueueName::from("q"),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: ServiceName::from("s"),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            objective: Span::from_ms(500),
            advice: None,
        };
        let service = Service { guards: true, standby: false };
        Ok(Some(Config {
            version,
            queues: BTreeMap::from([(queue.name.clone(), queue)]),
            services: BTreeMap::from([(ServiceName::from("s"), service)]),
            limits: Limits::default(),
        }))
    }
}
