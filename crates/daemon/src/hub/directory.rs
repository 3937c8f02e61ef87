//! The platform's list of instances, sorted by role.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sycamorerill_calls::router;
use sycamorerill_clients::instances::{Instance, Role, State};
use sycamorerill_clients::{Settings, endpoint, worker};
use sycamorerill_control::membership::ListEntry;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, ExecutorName, InstanceName, WorkerName};
use sycamorerill_tasks::worker::Worker;

/// Maximum number of idle connections to one executor.
const MAX_IDLE_EXECUTOR_CONNECTIONS: usize = 8;
/// Maximum number of idle connections to one worker.
const MAX_IDLE_WORKER_CONNECTIONS: usize = 1;
/// Timeout of an exchange with a worker.
const EXCHANGE_TIMEOUT: Span = Span::from_ms(1_500);

/// The instances of the platform's list, by role.
#[derive(Default)]
pub(crate) struct Directory {
    /// Executors, as input of the router.
    pub(crate) executors: Vec<router::Executor>,
    /// Clients of the executors' endpoints.
    pub(crate) endpoints: BTreeMap<ExecutorName, endpoint::Client>,
    /// Workers, by failure domain.
    pub(crate) workers: BTreeMap<DomainName, Vec<Worker>>,
    /// Clients of the workers, by name.
    pub(crate) clients: BTreeMap<WorkerName, worker::Client>,
    /// Entry instances with their addresses for peers.
    pub(crate) entries: Vec<(ListEntry, SocketAddr)>,
}

impl Directory {
    /// Sorts `list` by role; the clients identify themselves as `own`.
    ///
    /// Instances with malformed names are ignored.
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
                    let entry = ListEntry { instance: name, leaving };
                    self.entries.push((entry, instance.address));
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
                let settings =
                    client_settings(own, MAX_IDLE_EXECUTOR_CONNECTIONS, Span::from_secs(30));
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
        let settings = client_settings(own, MAX_IDLE_WORKER_CONNECTIONS, EXCHANGE_TIMEOUT);
        let client = worker::Client::new(instance.address, &instance.path, settings);
        self.clients.insert(name.clone(), client);
        let worker = Worker { name, rack: instance.rack.clone(), size, leaving };
        self.workers.entry(instance.domain.clone()).or_default().push(worker);
    }
}

/// Returns the settings of a client that identifies itself as `own`.
pub(crate) fn client_settings(own: &InstanceName, max_idle: usize, timeout: Span) -> Settings {
    Settings { client: Some(own.clone()), timeout, max_idle, ..Settings::default() }
}
