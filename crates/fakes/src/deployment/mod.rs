//! Workers, executors and failure domains of a deployment.

use std::net::SocketAddr;

use sycamorerill_clients::instances::{Instance, Role, State};
use sycamorerill_core::id::{self, DomainName, RackName, RegionName, ServiceName};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

/// Default number of workers, and of executors, in a rack.
const WORKERS_PER_RACK: u32 = 8;
/// Default slots of an executor.
const SLOTS_PER_EXECUTOR: u32 = 8;
/// Default connection limit of an executor.
const CONNECTIONS_PER_EXECUTOR: u32 = 60;
/// Default cores of a worker.
const CORES_PER_WORKER: u64 = 64;
/// Default memory of a worker, in GiB.
const MEMORY_GIB_PER_WORKER: u64 = 250;

/// Failure domain with the numbers of its workers and executors.
#[derive(Clone, Debug, PartialEq)]
pub struct Domain {
    /// Name, unique in the deployment; names of workers and executors contain it.
    pub name: String,
    /// Number of workers in the failure domain.
    pub workers: u32,
    /// Number of executors in the failure domain.
    pub executors: u32,
}

/// Workers and executors of a platform, with their failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Region that holds the failure domains.
    pub region: String,
    /// Service that all executors run.
    pub service: String,
    /// Failure domains of the region.
    pub domains: Vec<Domain>,
    /// Size of each worker.
    pub worker_size: Size,
    /// Number of workers, and of executors, that share a rack.
    pub workers_per_rack: u32,
    /// Number of calls that each executor can run at once.
    pub slots_per_executor: u32,
    /// Connection limit of each executor.
    pub connections_per_executor: u32,
}

impl Default for Deployment {
    fn default() -> Self {
        Self::ropes()
    }
}

impl Deployment {
    /// Returns the deployment `ropes` for rope kits: 4 failure domains, 65 workers and 65
    /// executors.
    pub fn ropes() -> Self {
        let domains = ["vejle-a", "vejle-b", "horsens", "fredericia"];
        Self::new("jylland", "orders", &domains).scaled(65, 65)
    }

    /// Returns the deployment `heaters` for outdoor heaters: 3 failure domains, 50 workers
    /// and 50 executors.
    pub fn heaters() -> Self {
        let domains = ["tshwane", "johannesburg", "ekurhuleni"];
        Self::new("gauteng", "booking", &domains).scaled(50, 50)
    }

    /// Replaces the numbers of workers and executors, spread evenly over the failure domains.
    #[must_use]
    pub fn scaled(mut self, workers: u32, executors: u32) -> Self {
        let count = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        for (index, domain) in (0..count).zip(&mut self.domains) {
            domain.workers = even_share(workers, index, count);
            domain.executors = even_share(executors, index, count);
        }
        self
    }

    fn new(region: &str, service: &str, domains: &[&str]) -> Self {
        let domain = |name: &&str| Domain { name: (*name).to_owned(), workers: 0, executors: 0 };
        let cores = Cpu::from_cores(CORES_PER_WORKER);
        Self {
            region: region.to_owned(),
            service: service.to_owned(),
            domains: domains.iter().map(domain).collect(),
            worker_size: Size::new(cores, Memory::from_gib(MEMORY_GIB_PER_WORKER), Accel(0)),
            workers_per_rack: WORKERS_PER_RACK,
            slots_per_executor: SLOTS_PER_EXECUTOR,
            connections_per_executor: CONNECTIONS_PER_EXECUTOR,
        }
    }

    /// Returns all workers and executors, which are served at `address`.
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
                    role: Role::Worker { size: self.worker_size },
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
                        slots: self.slots_per_executor,
                        connections: self.connections_per_executor,
                    },
                });
            }
        }
        Ok(all)
    }

    fn rack_name(&self, domain: &DomainName, index: u32) -> Result<RackName, id::Error> {
        format!("{domain}/r{}", index / self.workers_per_rack.max(1) + 1).parse()
    }
}

/// Returns the share with the given `index` when `total` is divided evenly into `count` shares.
fn even_share(total: u32, index: u32, count: u32) -> u32 {
    total / count + u32::from(index < total % count)
}
