//! Which stand-in answers a request.

mod faults;
mod ran;
mod services;
mod worker;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use sycamorerill_clients::instances::{Change, Instance, Role, State};
use sycamorerill_core::clock::{Clock, Span, Time};

use crate::counts::Counts;
use crate::executor::{Pool, Ran};
use crate::fleet::{Fleet, Nature};
use crate::instances::List;
use crate::server::{Connection, Handler, Incoming, Reply};
use crate::settings::Settings;
use crate::store::{Gate, Meter, Objects, Pace, Table};

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
        let pace = Arc::new(Pace::new(settings.store_reads, settings.store_writes));
        let gate = |latency, stream: u64| {
            Gate::new(latency, settings.seed.wrapping_add(stream), Arc::clone(&pace))
        };
        let clock = Clock::start();
        let router = Self {
            clock,
            table: Mutex::default(),
            table_gate: gate(settings.store_latency, 0),
            table_meter: Meter::default(),
            objects: Arc::clone(&objects),
            objects_gate: gate(settings.store_latency, 1),
            objects_meter: Meter::default(),
            list: Mutex::new(List::new(settings.list_lag, instances.clone())),
            list_gate: Gate::new(Span::ZERO, settings.seed.wrapping_add(2), Arc::default()),
            fleet: Mutex::new(Fleet::new(Nature::new(settings, clock.now()), objects)),
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
        let now = self.clock.now();
        match &change {
            Change::Add(instance) => {
                self.build(instance);
                let leaving = instance.state == State::Leaving;
                self.set_leaving(&instance.name, leaving.then_some(now));
            }
            Change::Leave(name) => self.set_leaving(name, Some(now)),
            Change::Remove(_) => {}
        }
        lock(&self.list).change(now, change);
    }

    fn set_leaving(&self, name: &str, since: Option<Time>) {
        self.pool.set_leaving(name, since);
        lock(&self.fleet).set_leaving(name, since);
    }

    fn build(&self, instance: &Instance) {
        match &instance.role {
            Role::Worker { size } => lock(&self.fleet).add(&instance.name, *size),
            Role::Executor { .. } => self.pool.add(instance),
            Role::Entry => {}
        }
    }
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
                self.pool.call(self.clock.now(), name, &request).await
            }
            ("faults", &Method::POST) => parsed(&request, |fault| {
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
