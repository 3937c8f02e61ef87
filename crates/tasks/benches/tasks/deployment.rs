//! The two deployments that the benchmark simulates, at their present sizes.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::{Class, Config, Domain, Team, Urgency};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use crate::fake::{Profile, Profiles, Worker};

/// A deployment of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    Ropes,
    Heaters,
}

/// A class of batch work and its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    pub(crate) cores: u64,
    pub(crate) run_s: u64,
    pub(crate) checkpoint: bool,
    pub(crate) noise: f64,
    /// Fraction of the offered batch work.
    pub(crate) part: f64,
}

/// Largest slowdown at which a service answers its calls within the target.
pub(crate) const TARGET_SLOWDOWN: f64 = 1.5;
/// Latency of a call at the 99th percentile without batch work on the worker.
pub(crate) const BASELINE_MS: f64 = 20.0;
/// Size of each worker.
pub(crate) const WORKER: Size = Size::new(Cpu::from_cores(64), Memory::from_gib(250), Accel(0));
/// Deadline of ordinary batch jobs.
const DEADLINE: Span = Span::from_secs(600);

const ROPES: [Workload; 4] = [
    Workload { name: "cut-list", cores: 4, run_s: 40, checkpoint: true, noise: 0.4, part: 0.4 },
    Workload { name: "knot-pattern", cores: 8, run_s: 90, checkpoint: true, noise: 0.3, part: 0.3 },
    Workload {
        name: "packing-slip",
        cores: 2,
        run_s: 15,
        checkpoint: false,
        noise: 0.1,
        part: 0.15,
    },
    Workload { name: "render", cores: 8, run_s: 120, checkpoint: true, noise: 2.5, part: 0.15 },
];

const HEATERS: [Workload; 4] = [
    Workload { name: "reconcile", cores: 8, run_s: 150, checkpoint: true, noise: 0.4, part: 0.45 },
    Workload { name: "route-plan", cores: 4, run_s: 60, checkpoint: true, noise: 0.3, part: 0.3 },
    Workload { name: "invoice", cores: 2, run_s: 20, checkpoint: false, noise: 0.1, part: 0.1 },
    Workload { name: "forecast", cores: 8, run_s: 120, checkpoint: true, noise: 2.5, part: 0.15 },
];

impl Deployment {
    pub(crate) const ALL: [Self; 2] = [Self::Ropes, Self::Heaters];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Ropes => "ropes",
            Self::Heaters => "heaters",
        }
    }

    pub(crate) const fn workers(self) -> u32 {
        match self {
            Self::Ropes => 65,
            Self::Heaters => 50,
        }
    }

    pub(crate) const fn workloads(self) -> [Workload; 4] {
        match self {
            Self::Ropes => ROPES,
            Self::Heaters => HEATERS,
        }
    }

    /// Returns the batch work that slows services most.
    pub(crate) const fn noisy(self) -> Workload {
        self.workloads()[3]
    }

    pub(crate) fn fleet(self) -> Vec<Worker> {
        let name =
            |index| Worker::new(&format!("w{index:03}"), &format!("rack{}", index / 8), WORKER);
        (0..self.workers()).map(name).collect()
    }

    pub(crate) fn config(self) -> Config {
        let mut config = Config::default();
        config.version.0 = 1;
        for workload in self.workloads() {
            let class = workload.class();
            config.classes.insert(class.name.clone(), class);
        }
        let service = service();
        config.classes.insert(service.name.clone(), service);
        let domain = Domain {
            name: "vejle-a".parse().unwrap(),
            workers: self.workers(),
            worker: WORKER,
            rack: 8,
            executors: self.workers(),
        };
        config.domains.insert(domain.name.clone(), domain);
        for (name, part) in [("counter", 0.5), ("crew", 0.35), ("office", 0.15)] {
            let cores = (f64::from(self.workers()) * 64.0 * part) as u64;
            let quota = Size::new(Cpu::from_cores(cores), Memory::from_gib(cores * 4), Accel(1));
            let name: sycamorerill_core::id::TeamName = name.parse().unwrap();
            let team = Team { name: name.clone(), weight: 1, quota, borrow: true };
            config.teams.insert(name, team);
        }
        config
    }

    /// Returns the actual behaviour of the classes, with usage `size` times the declared size.
    pub(crate) fn profiles(self, size: impl Fn(usize) -> f64, noise_period: Span) -> Profiles {
        let mut profiles = Profiles::default();
        for (index, workload) in self.workloads().into_iter().enumerate() {
            let profile = Profile {
                size: size(index),
                run: Some(Span::from_secs(workload.run_s)),
                fails: false,
                crashes_after: None,
                noise: workload.noise,
                noise_period,
            };
            profiles.declared.insert(workload.name.parse().unwrap(), workload.size());
            profiles.classes.insert(workload.name.parse().unwrap(), profile);
        }
        let service = service();
        let profile = Profile { size: 0.5, run: None, ..Profile::default() };
        profiles.declared.insert(service.name.clone(), service.size);
        profiles.classes.insert(service.name, profile);
        profiles
    }
}

impl Workload {
    pub(crate) const fn size(self) -> Size {
        Size::new(Cpu::from_cores(self.cores), Memory::from_gib(self.cores * 2), Accel(0))
    }

    fn class(self) -> Class {
        Class {
            name: self.name.parse().unwrap(),
            size: self.size(),
            run_time: Span::from_secs(self.run_s),
            deadline: DEADLINE,
            urgency: Urgency::Normal,
            checkpoint: self.checkpoint,
            attempts: 5,
            service: false,
        }
    }
}

/// Returns the class of the executors of the service; the declared size covers its peak.
fn service() -> Class {
    Class {
        name: "service".parse().unwrap(),
        size: Size::new(Cpu::from_cores(20), Memory::from_gib(40), Accel(0)),
        run_time: Span::ZERO,
        deadline: Span::ZERO,
        urgency: Urgency::Urgent,
        checkpoint: false,
        attempts: 1_000,
        service: true,
    }
}
