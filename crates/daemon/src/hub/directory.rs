//! Reads the platform's list of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sycamorerill_calls::router;
use sycamorerill_clients::instances::{Instance, Role, State};
use sycamorerill_clients::{Settings, endpoint, worker};
use sycamorerill_control::membership::Listing;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, ExecutorName, InstanceName, WorkerName};
use sycamorerill_tasks::worker::Worker;

/// Idle connections kept to one executor.
const EXECUTOR_IDLE: usize = 8;
/// Idle connections kept to one worker.
const WORKER_IDLE: usize = 1;
/// Longest wait for the answer to an exchange with a worker.
const EXCHANGE_TIME: Span = Span::from_ms(1_500);

/// The list, sorted by who reads it.
#[derive(Default)]
pub(crate) struct Directory {
    /// Executors as the router knows them.
    pub(crate) executors: Vec<router::Executor>,
    /// Clients of the executors.
    pub(crate) endpoints: BTreeMap<ExecutorName, endpoint::Client>,
    /// Workers by failure domain.
    pub(crate) workers: BTreeMap<DomainName, Vec<Worker>>,
    /// Clients of the workers.
    pub(crate) clients: BTreeMap<WorkerName, worker::Client>,
    /// Entry instances with the addresses at which they listen for peers.
    pub(crate) entries: Vec<(Listing, SocketAddr)>,
}

impl Directory {
    /// Sorts a list that was read for the entry instance `own`.
    ///
    /// Instances whose names cannot be read are left out.
    pub(crate) fn new(list: Vec<Instance>, own: &InstanceName) -> Self {
        let mut directory = Self::default();
        for instance in list {
            directory.add(instance, own);
        }
        directory
    }

    fn add(&mut self, instance: Instance, own: &InstanceName) {
        let leaving = instance.state == State::Leaving;
        match &instance.role {
            Role::Entry => {
                if let Ok(name) = instance.name.parse::<InstanceName>() {
                    let listing = Listing { instance: name, leaving };
                    self.entries.push((listing, instance.address));
                }
            }
            Role::Worker { size } => {
                let size = *size;
                self.add_worker(&instance, size, leaving, own);
            }
            Role::Executor { service, slots, .. } => {
                let Ok(name) = instance.name.parse::<ExecutorName>() else {
                    return;
                };
                let settings = settings(own, EXECUTOR_IDLE, Span::from_secs(30));
                let client = endpoint::Client::new(instance.address, &instance.path, settings);
                self.endpoints.insert(name.clone(), client);
                self.executors.push(router::Executor {
                    name,
                    service: service.clone(),
                    domain: instance.domain.clone(),
                    slots: *slots,
                    leaving,
                });
            }
        }
    }

    fn add_worker(
        &mut self,
        instance: &Instance,
        size: sycamorerill_core::size::Size,
        leaving: bool,
        own: &InstanceName,
    ) {
        let Ok(name) = instance.name.parse::<WorkerName>() else {
            return;
        };
        let settings = settings(own, WORKER_IDLE, EXCHANGE_TIME);
        let client = worker::Client::new(instance.address, &instance.path, settings);
        self.clients.insert(name.clone(), client);
        let worker = Worker { name, rack: instance.rack.clone(), size, leaving };
        self.workers.entry(instance.domain.clone()).or_default().push(worker);
    }
}

/// Returns how a client talks to a server on behalf of `own`.
pub(crate) fn settings(own: &InstanceName, max_idle: usize, timeout: Span) -> Settings {
    Settings { client: Some(own.clone()), timeout, max_idle, ..Settings::default() }
}
