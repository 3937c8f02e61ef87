//! Which stand-in answers a request.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use sycamorerill_core::clock::{Clock, Span, Time};
use sycamorerill_platform::instances::{Change, Instance, Role};
use sycamorerill_platform::table::{RowRequest, ScanRequest, Transaction};
use sycamorerill_platform::worker::Exchange;

use crate::counts::Counts;
use crate::executor::{Pool, Ran};
use crate::faults::{Fault, Faults};
use crate::fleet::{Fleet, Nature};
use crate::instances::List;
use crate::server::{Connection, Handler, Incoming, Reply};
use crate::settings::Settings;
use crate::store::{Gate, Meter, Objects, Table};

/// How often a request that hangs looks whether the fault has ended.
const HANG_POLL: Span = Span::from_ms(20);

/// Everything that the stand-ins hold.
#[derive(Debug)]
pub(crate) struct Router {
    clock: Clock,
    table: Mutex<Table>,
    table_gate: Gate,
    table_meter: Meter,
    objects: Arc<Mutex<Objects>>,
    objects_gate: Gate,
    objects_meter: Meter,
    list: Mutex<List>,
    list_gate: Gate,
    fleet: Mutex<Fleet>,
    pool: Pool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Router {
    pub(crate) fn new(settings: &Settings, instances: Vec<Instance>) -> Self {
        let objects = Arc::new(Mutex::new(Objects::default()));
        let router = Self {
            clock: Clock::start(),
            table: Mutex::default(),
            table_gate: Gate::new(settings.store_latency, settings.seed),
            table_meter: Meter::default(),
            objects: Arc::clone(&objects),
            objects_gate: Gate::new(settings.store_latency, settings.seed.wrapping_add(1)),
            objects_meter: Meter::default(),
            list: Mutex::new(List::new(settings.list_lag, instances.clone())),
            list_gate: Gate::new(Span::ZERO, settings.seed.wrapping_add(2)),
            fleet: Mutex::new(Fleet::new(Nature::new(settings), objects)),
            pool: Pool::new(settings),
        };
        for instance in &instances {
            router.build(instance);
        }
        router
    }

    /// Returns what was counted.
    pub(crate) fn counts(&self) -> Counts {
        Counts {
            table: self.table_meter.counts(),
            objects: self.objects_meter.counts(),
            workers: lock(&self.fleet).counts(self.clock.now()),
            executors: self.pool.counts(),
        }
    }

    /// Returns how often a request ran.
    pub(crate) fn runs(&self, ran: &Ran) -> u32 {
        self.pool.runs(ran)
    }

    /// Changes the instance list.
    pub(crate) fn change(&self, change: Change) {
        if let Change::Add(instance) = &change {
            self.build(instance);
        }
        lock(&self.list).change(self.clock.now(), change);
    }

    /// Switches faults.
    pub(crate) fn switch(&self, fault: Fault) {
        let now = self.clock.now();
        match fault {
            Fault::Table(faults) => self.table_gate.set(faults),
            Fault::Objects(faults) => {
                lock(&self.fleet).set_objects_up(!faults.down && !faults.hang);
                self.objects_gate.set(faults);
            }
            Fault::Instances(faults) => self.list_gate.set(faults),
            Fault::Workers { select, faults } => {
                let names = self.names(|instance| select.selects(instance));
                let mut fleet = lock(&self.fleet);
                names.iter().for_each(|name| fleet.set(now, name, faults.clone()));
            }
            Fault::Executors { select, faults } => {
                let names = self.names(|instance| select.selects(instance));
                names.iter().for_each(|name| self.pool.set(name, faults.clone()));
            }
            Fault::Job { name, fails } => lock(&self.fleet).set_job(name, fails),
            Fault::None => self.heal(now),
        }
    }

    /// Returns the faults that are switched on.
    pub(crate) fn faults(&self) -> Faults {
        let names = self.names(|_| true);
        let fleet = lock(&self.fleet);
        let workers = names.iter().filter_map(|name| Some((name, fleet.faults(name)?.clone())));
        let executors = names.iter().filter_map(|name| Some((name, self.pool.faults(name)?)));
        Faults {
            table: self.table_gate.faults(),
            objects: self.objects_gate.faults(),
            instances: self.list_gate.faults(),
            workers: workers
                .filter(|(_, faults)| *faults != Default::default())
                .map(|(name, faults)| (name.clone(), faults))
                .collect(),
            executors: executors
                .filter(|(_, faults)| *faults != Default::default())
                .map(|(name, faults)| (name.clone(), faults))
                .collect(),
            jobs: fleet.failing_jobs().clone(),
        }
    }

    fn heal(&self, now: Time) {
        let faults = self.faults();
        self.table_gate.set(Default::default());
        self.objects_gate.set(Default::default());
        self.list_gate.set(Default::default());
        let mut fleet = lock(&self.fleet);
        fleet.set_objects_up(true);
        for name in faults.workers.keys() {
            fleet.set(now, name, Default::default());
        }
        for job in faults.jobs {
            fleet.set_job(job, false);
        }
        for name in faults.executors.keys() {
            self.pool.set(name, Default::default());
        }
    }

    fn names(&self, selects: impl Fn(&Instance) -> bool) -> Vec<String> {
        let list = lock(&self.list);
        let selected = list.present().filter(|instance| selects(instance));
        selected.map(|instance| instance.name.clone()).collect()
    }

    fn build(&self, instance: &Instance) {
        match &instance.role {
            Role::Worker { size } => lock(&self.fleet).add(&instance.name, *size),
            Role::Executor { .. } => self.pool.add(instance),
            Role::Entry => {}
        }
    }

    fn ran(&self, request: &Incoming) -> Reply {
        let identity = request.query("identity").map(|text| Ran::Identity(text.to_owned()));
        let key = request.query("key").map(|text| Ran::Key(text.to_owned()));
        match identity.or(key) {
            Some(ran) => Reply::json(StatusCode::OK, &self.runs(&ran)),
            None => Reply::refused(StatusCode::BAD_REQUEST, "expected identity=... or key=..."),
        }
    }

    async fn table(&self, path: &str, request: &Incoming) -> Reply {
        let writes = path == "transact";
        let now = self.clock.now();
        let passed = match self.table_gate.enter(request).await {
            Ok(passed) => passed,
            Err(reply) => return self.table_meter.failed(reply),
        };
        self.table_meter.note(now, writes);
        let reply = match path {
            "transact" => parsed(request, |transaction: Transaction| {
                match lock(&self.table).transact(transaction) {
                    Ok(committed) => Reply::json(StatusCode::OK, &committed),
                    Err(conflict) => Reply::json(StatusCode::CONFLICT, &conflict),
                }
            }),
            "row" => parsed(request, |row: RowRequest| {
                Reply::json(StatusCode::OK, &lock(&self.table).row(&row.key))
            }),
            "scan" => parsed(request, |scan: ScanRequest| {
                Reply::json(StatusCode::OK, &lock(&self.table).scan(&scan))
            }),
            _ => not_found(),
        };
        self.table_gate.leave(passed, reply)
    }

    async fn objects(&self, key: &str, request: &Incoming) -> Reply {
        let writes = request.method != Method::GET;
        let now = self.clock.now();
        let passed = match self.objects_gate.enter(request).await {
            Ok(passed) => passed,
            Err(reply) => return self.objects_meter.failed(reply),
        };
        self.objects_meter.note(now, writes);
        let mut objects = lock(&self.objects);
        let reply = match (&request.method, key) {
            (&Method::GET, "") => {
                let prefix = request.query("prefix").unwrap_or_default();
                Reply::json(StatusCode::OK, &objects.list(prefix))
            }
            (&Method::GET, key) => {
                objects.get(key).map_or_else(not_found, |body| Reply::raw(StatusCode::OK, body))
            }
            (&Method::PUT, key) if !key.is_empty() => {
                let if_absent = request.header("if-none-match") == Some("*");
                if objects.put(key, request.body.clone(), if_absent) {
                    Reply::status(StatusCode::NO_CONTENT)
                } else {
                    Reply::refused(StatusCode::PRECONDITION_FAILED, "the object exists")
                }
            }
            (&Method::DELETE, key) => {
                objects.delete(key);
                Reply::status(StatusCode::NO_CONTENT)
            }
            _ => Reply::refused(StatusCode::METHOD_NOT_ALLOWED, "expected GET, PUT or DELETE"),
        };
        drop(objects);
        self.objects_gate.leave(passed, reply)
    }

    async fn instances(&self, request: &Incoming) -> Reply {
        if request.method == Method::POST {
            return parsed(request, |change: Change| {
                self.change(change);
                Reply::status(StatusCode::NO_CONTENT)
            });
        }
        let passed = match self.list_gate.enter(request).await {
            Ok(passed) => passed,
            Err(reply) => return reply,
        };
        let shown = lock(&self.list).shown(self.clock.now());
        self.list_gate.leave(passed, Reply::json(StatusCode::OK, &shown))
    }

    async fn worker(&self, name: &str, request: &Incoming) -> Reply {
        let exchange: Exchange = match read(request) {
            Ok(exchange) => exchange,
            Err(reply) => return reply,
        };
        while let Some(wait) = self.worker_wait(name, request) {
            match wait {
                Wait::Gone => return Reply::Close,
                Wait::Unreachable => Timer::after(HANG_POLL.into()).await,
                Wait::Paused(left) => Timer::after(left.into()).await,
            };
            if matches!(wait, Wait::Unreachable) && self.worker_wait(name, request).is_none() {
                return Reply::Close;
            }
        }
        let mut fleet = lock(&self.fleet);
        let Some(answer) = fleet.exchange(self.clock.now(), name, &exchange) else {
            return not_found();
        };
        if fleet.loses_answer(name) {
            return Reply::Close;
        }
        drop(fleet);
        Reply::json(StatusCode::OK, &answer)
    }

    fn worker_wait(&self, name: &str, request: &Incoming) -> Option<Wait> {
        let fleet = lock(&self.fleet);
        let faults = fleet.faults(name)?;
        if faults.gone {
            return Some(Wait::Gone);
        }
        if faults.unreachable || request.is_from(&faults.cut_off) {
            return Some(Wait::Unreachable);
        }
        let left = fleet.pause_left(self.clock.now(), name);
        (left > Span::ZERO).then_some(Wait::Paused(left))
    }
}

/// Why a worker does not answer just now.
#[derive(Clone, Copy, Debug)]
enum Wait {
    Gone,
    Unreachable,
    Paused(Span),
}

impl Handler for Router {
    async fn handle(&self, request: Incoming) -> Reply {
        let path = request.uri.path().trim_start_matches('/').to_owned();
        let (first, rest) = path.split_once('/').unwrap_or((path.as_str(), ""));
        match (first, &request.method) {
            ("table", _) => self.table(rest, &request).await,
            ("objects", _) => self.objects(rest, &request).await,
            ("instances", _) => self.instances(&request).await,
            ("workers", _) => match rest.strip_suffix("/exchange") {
                Some(name) => self.worker(name, &request).await,
                None => not_found(),
            },
            ("executors", _) => {
                let name = rest.split_once('/').map_or(rest, |(name, _)| name);
                self.pool.call(name, &request).await
            }
            ("faults", &Method::POST) => parsed(&request, |fault: Fault| {
                self.switch(fault);
                Reply::status(StatusCode::NO_CONTENT)
            }),
            ("faults", _) => Reply::json(StatusCode::OK, &self.faults()),
            ("counts", _) => Reply::json(StatusCode::OK, &self.counts()),
            ("ran", &Method::GET) => self.ran(&request),
            ("ran", _) => {
                parsed(&request, |ran: Ran| Reply::json(StatusCode::OK, &self.runs(&ran)))
            }
            _ => not_found(),
        }
    }

    fn closed(&self, connection: &Connection) {
        self.pool.closed(connection);
    }
}

fn not_found() -> Reply {
    Reply::refused(StatusCode::NOT_FOUND, "nothing is served at this path")
}

fn read<T: DeserializeOwned>(request: &Incoming) -> Result<T, Reply> {
    let read = serde_json::from_slice(&request.body);
    read.map_err(|error| Reply::refused(StatusCode::BAD_REQUEST, &error.to_string()))
}

fn parsed<T: DeserializeOwned>(request: &Incoming, answer: impl FnOnce(T) -> Reply) -> Reply {
    match read(request) {
        Ok(body) => answer(body),
        Err(reply) => reply,
    }
}
