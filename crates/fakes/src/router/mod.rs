//! Routes requests to the stand-ins.

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
use crate::executor::{ExecutorPool, RunKey};
use crate::instances::InstanceList;
use crate::server::{Connection, Handler, Incoming, Reply};
use crate::settings::Settings;
use crate::store::{FaultInjector, Meter, Objects, RateLimiter, Table};
use crate::workers::{TaskModel, WorkerPool};

/// State of all stand-ins, to which requests are dispatched by path.
#[derive(Debug)]
pub(crate) struct Router {
    clock: Clock,
    table: Mutex<Table>,
    table_injector: FaultInjector,
    table_meter: Meter,
    objects: Arc<Mutex<Objects>>,
    objects_injector: FaultInjector,
    objects_meter: Meter,
    list: Mutex<InstanceList>,
    list_injector: FaultInjector,
    workers: Mutex<WorkerPool>,
    executors: ExecutorPool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Router {
    pub(crate) fn new(settings: &Settings, instances: Vec<Instance>) -> Self {
        let objects = Arc::new(Mutex::new(Objects::default()));
        let rate_limiter = Arc::new(RateLimiter::new(settings.store_reads, settings.store_writes));
        let injector = |latency, stream: u64| {
            FaultInjector::new(
                latency,
                settings.seed.wrapping_add(stream),
                Arc::clone(&rate_limiter),
            )
        };
        let clock = Clock::start();
        let router = Self {
            clock,
            table: Mutex::default(),
            table_injector: injector(settings.store_latency, 0),
            table_meter: Meter::default(),
            objects: Arc::clone(&objects),
            objects_injector: injector(settings.store_latency, 1),
            objects_meter: Meter::default(),
            list: Mutex::new(InstanceList::new(settings.list_lag, instances.clone())),
            list_injector: FaultInjector::new(
                Span::ZERO,
                settings.seed.wrapping_add(2),
                Arc::default(),
            ),
            workers: Mutex::new(WorkerPool::new(TaskModel::new(settings, clock.now()), objects)),
            executors: ExecutorPool::new(settings),
        };
        for instance in &instances {
            router.add_instance(instance);
        }
        router
    }

    /// Returns the counters of all stand-ins.
    pub(crate) fn counts(&self) -> Counts {
        Counts {
            table: self.table_meter.counts(),
            objects: self.objects_meter.counts(),
            workers: lock(&self.workers).counts(self.clock.now()),
            executors: self.executors.counts(),
        }
    }

    /// Returns how often a request ran on any executor.
    pub(crate) fn run_count(&self, key: &RunKey) -> u32 {
        self.executors.run_count(key)
    }

    /// Applies a change of an instance to the list and to the stand-in of the instance.
    pub(crate) fn change_instance(&self, change: Change) {
        let now = self.clock.now();
        match &change {
            Change::Add(instance) => {
                self.add_instance(instance);
                let leaving = instance.state == State::Leaving;
                self.set_leaving(&instance.name, leaving.then_some(now));
            }
            Change::Leave(name) => self.set_leaving(name, Some(now)),
            Change::Remove(_) => {}
        }
        lock(&self.list).change(now, change);
    }

    fn set_leaving(&self, name: &str, since: Option<Time>) {
        self.executors.set_leaving(name, since);
        lock(&self.workers).set_leaving(name, since);
    }

    /// Adds the stand-in of an instance; entry instances have none.
    fn add_instance(&self, instance: &Instance) {
        match &instance.role {
            Role::Worker { size } => lock(&self.workers).add(&instance.name, *size),
            Role::Executor { .. } => self.executors.add(instance),
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
                self.executors.call(self.clock.now(), name, &request).await
            }
            ("faults", &Method::POST) => with_body(&request, |fault| {
                self.set_fault(fault);
                Reply::status(StatusCode::NO_CONTENT)
            }),
            ("faults", _) => Reply::json(StatusCode::OK, &self.faults()),
            ("counts", _) => Reply::json(StatusCode::OK, &self.counts()),
            ("ran", &Method::GET) => self.run_count_reply(&request),
            ("ran", _) => with_body(&request, |key: RunKey| {
                Reply::json(StatusCode::OK, &self.run_count(&key))
            }),
            _ => not_found(),
        }
    }

    fn connection_closed(&self, connection: &Connection) {
        self.executors.connection_closed(connection);
    }
}

fn not_found() -> Reply {
    Reply::error(StatusCode::NOT_FOUND, "nothing is served at this path")
}

fn parse_body<T: DeserializeOwned>(request: &Incoming) -> Result<T, Reply> {
    let parsed = serde_json::from_slice(&request.body);
    parsed.map_err(|error| Reply::error(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Answers a request from its JSON body, or with 400 if the body cannot be parsed.
fn with_body<T: DeserializeOwned>(request: &Incoming, answer: impl FnOnce(T) -> Reply) -> Reply {
    match parse_body(request) {
        Ok(body) => answer(body),
        Err(reply) => reply,
    }
}
