//! Sizes of a deployment.

use std::net::SocketAddr;

use sycamorerill_clients::instances::{Instance, Role, State};
use sycamorerill_core::id::{self, DomainName, RackName, RegionName, ServiceName};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

/// Workers in a rack.
const RACK_WORKERS: u32 = 8;
/// Slots of an executor.
const EXECUTOR_SLOTS: u32 = 8;
/// Connections of an executor.
const EXECUTOR_CONNECTIONS: u32 = 60;
/// Cores of a worker.
const WORKER_CORES: u64 = 64;
/// Memory of a worker in GiB.
const WORKER_GIB: u64 = 250;

/// One failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: String,
    /// Number of workers.
    pub workers: u32,
    /// Number of executors.
    pub executors: u32,
}

/// Workers, executors and their failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Region that holds the failure domains.
    pub region: String,
    /// Service that the executors answer for.
    pub service: String,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Size of each worker.
    pub worker: Size,
    /// Number of workers in a rack.
    pub rack: u32,
    /// Slots of each executor.
    pub slots: u32,
    /// Connections of each executor.
    pub connections: u32,
}

impl Default for Deployment {
    fn default() -> Self {
        Self::ropes()
    }
}

impl Deployment {
    /// Returns the deployment of the rope kits: 4 failure domains, 65 workers and 65 executors.
    pub fn ropes() -> Self {
        let domains = ["vejle-a", "vejle-b", "horsens", "fredericia"];
        Self::new("jylland", "orders", &domains).scaled(65, 65)
    }

    /// Returns the deployment of the heaters: 3 failure domains, 50 workers and 50 executors.
    pub fn heaters() -> Self {
        let domains = ["tshwane", "johannesburg", "ekurhuleni"];
        Self::new("gauteng", "booking", &domains).scaled(50, 50)
    }

    /// Returns the deployment with other numbers of workers and executors, spread evenly.
    #[must_use]
    pub fn scaled(mut self, workers: u32, executors: u32) -> Self {
        let count = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        for (index, domain) in (0..count).zip(&mut self.domains) {
            domain.workers = part(workers, index, count);
            domain.executors = part(executors, index, count);
        }
        self
    }

    fn new(region: &str, service: &str, domains: &[&str]) -> Self {
        let empty = |name: &&str| Domain { name: (*name).to_owned(), workers: 0, executors: 0 };
        let cores = Cpu::from_cores(WORKER_CORES);
        Self {
            region: region.to_owned(),
            service: service.to_owned(),
            domains: domains.iter().map(empty).collect(),
            worker: Size::new(cores, Memory::from_gib(WORKER_GIB), Accel(0)),
            rack: RACK_WORKERS,
            slots: EXECUTOR_SLOTS,
            connections: EXECUTOR_CONNECTIONS,
        }
    }

    /// Returns the workers and executors, served at `address`.
    pub(crate) fn instances(&self, address: SocketAddr) -> Result<Vec<Instance>, id::Error> {
        let region: RegionName = self.region.parse()?;
        let service: ServiceName = self.service.parse()?;
        let mut all = Vec::new();
        for domain in &self.domains {
            let name: DomainName = domain.name.parse()?;
            for index in 0..domain.workers {
                all.push(Instance {
                    name: format!("w-{name}-{:02}", index + 1),
                    address,
                    path: format!("/workers/w-{name}-{:02}", index + 1),
                    domain: name.clone(),
                    region: region.clone(),
                    rack: self.rack_name(&name, index)?,
                    state: State::Live,
                    role: Role::Worker { size: self.worker },
                });
            }
            for index in 0..domain.executors {
                all.push(Instance {
                    name: format!("x-{name}-{:02}", index + 1),
                    address,
                    path: format!("/executors/x-{name}-{:02}", index + 1),
                    domain: name.clone(),
                    region: region.clone(),
                    rack: self.rack_name(&name, index)?,
                    state: State::Live,
                    role: Role::Executor {
                        service: service.clone(),
                        slots: self.slots,
                        connections: self.connections,
                    },
                });
            }
        }
        Ok(all)
    }

    fn rack_name(&self, domain: &DomainName, index: u32) -> Result<RackName, id::Error> {
        format!("{domain}/r{}", index / self.rack.max(1) + 1).parse()
    }
}

/// Returns the part of `total` that the share `index` of `count` gets.
fn part(total: u32, index: u32, count: u32) -> u32 {
    total / count + u32::from(index < total % count)
}
