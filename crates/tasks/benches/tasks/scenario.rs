//! The scenarios: load and faults for each second.

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;
use sycamorerill_tasks::job::{Job, Spread};

use crate::deployment::{Deployment, Workload};
use crate::fake::{Profiles, World};

/// A scenario of the benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    Ordinary,
    NoisyWave,
    ShiftingNoise,
    WrongSizes,
    Flood,
    RackLost,
    BrokenWorker,
    Cancellations,
    StoreDown,
}

/// Seconds at which the fault or overload begins and ends.
pub(crate) const FAULT_WINDOW: (u64, u64) = (240, 540);
/// Actual usage as a multiple of the declared size in [`Scenario::WrongSizes`], by workload.
const SIZE_FACTORS: [f64; 4] = [0.3, 1.6, 5.0, 0.7];

impl Scenario {
    pub(crate) const ALL: [Self; 9] = [
        Self::Ordinary,
        Self::NoisyWave,
        Self::ShiftingNoise,
        Self::WrongSizes,
        Self::Flood,
        Self::RackLost,
        Self::BrokenWorker,
        Self::Cancellations,
        Self::StoreDown,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::NoisyWave => "noisy-wave",
            Self::ShiftingNoise => "shifting-noise",
            Self::WrongSizes => "wrong-sizes",
            Self::Flood => "flood",
            Self::RackLost => "rack-lost",
            Self::BrokenWorker => "broken-worker",
            Self::Cancellations => "cancellations",
            Self::StoreDown => "store-down",
        }
    }

    /// Returns the length of the scenario in seconds.
    pub(crate) const fn seconds(self) -> u64 {
        match self {
            Self::StoreDown => 1_140,
            _ => 780,
        }
    }

    pub(crate) fn profiles(self, deployment: Deployment) -> Profiles {
        let size = |index: usize| match self {
            Self::WrongSizes => SIZE_FACTORS[index],
            _ => 0.8,
        };
        let noise_period = match self {
            Self::ShiftingNoise => Span::from_secs(300),
            _ => Span::ZERO,
        };
        deployment.profiles(size, noise_period)
    }

    /// Applies the load and the faults of one second.
    pub(crate) fn step(self, second: u64, world: &mut World, load: &mut Load) {
        let in_fault_window = (FAULT_WINDOW.0..FAULT_WINDOW.1).contains(&second);
        load.ordinary(second, world, self == Self::NoisyWave && in_fault_window);
        match self {
            Self::Flood => load.flood(second, world),
            Self::RackLost if second == FAULT_WINDOW.0 => kill_rack(world),
            Self::BrokenWorker if second == FAULT_WINDOW.0 => {
                world.workers.values_mut().nth(3).unwrap().broken = true;
            }
            Self::Cancellations if in_fault_window && second.is_multiple_of(20) => {
                load.cancel_half(world)
            }
            Self::StoreDown if second == FAULT_WINDOW.0 => world.set_store(false),
            Self::StoreDown if second == FAULT_WINDOW.0 + 600 => world.set_store(true),
            _ => {}
        }
    }
}

fn kill_rack(world: &mut World) {
    let lost = world.workers.values().filter(|worker| worker.rack == "rack1");
    let lost: Vec<_> = lost.map(|worker| worker.name.clone()).collect();
    for worker in &lost {
        world.kill(worker);
    }
}

/// The generator of submissions.
pub(crate) struct Load {
    workloads: [Workload; 4],
    noisy: Workload,
    workers: u32,
    rng: Rng,
    number: u64,
    submitted: Vec<String>,
}

impl Load {
    pub(crate) fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            workloads: deployment.workloads(),
            noisy: deployment.noisy(),
            workers: deployment.workers(),
            rng: Rng::with_seed(seed),
            number: 0,
            submitted: Vec::new(),
        }
    }

    /// Submits the executors of the service, at most two per worker.
    pub(crate) fn services(&mut self, world: &mut World) {
        let tasks = self.workers;
        self.submit(world, "service", "counter", Urgency::Urgent, tasks, Spread::Worker(2));
    }

    fn submit(
        &mut self,
        world: &mut World,
        class: &str,
        team: &str,
        urgency: Urgency,
        tasks: u32,
        spread: Spread,
    ) {
        self.number += 1;
        let name = format!("{team}-{class}-{}", self.number);
        self.submitted.push(name.clone());
        world.submit(Job {
            name: name.parse().unwrap(),
            class: class.parse().unwrap(),
            team: team.parse().unwrap(),
            urgency,
            tasks,
            size: None,
            run_time_ms: None,
            deadline: (urgency == Urgency::Low).then_some(Time::MAX),
            spread,
            never: Vec::new(),
        });
    }

    /// Submits the batch work of one second: jobs with a deadline for half of the free cores,
    /// work of low urgency for 0.9 of them, which together exceeds the free cores, and an urgent
    /// job every 7 seconds.
    fn ordinary(&mut self, second: u64, world: &mut World, noisy: bool) {
        let free = f64::from(self.workers) * 44.0;
        for workload in self.workloads {
            let work = workload.cores as f64 * workload.run_s as f64;
            let tasks = free * workload.part / work;
            let tasks_of = |rng: &mut Rng, mean: f64| (mean + rng.f64()) as u32;
            let normal = tasks_of(&mut self.rng, tasks * 0.5);
            let low = tasks_of(&mut self.rng, tasks * 0.9);
            if normal > 0 {
                self.submit(world, workload.name, "crew", Urgency::Normal, normal, Spread::None);
            }
            if low > 0 {
                self.submit(world, workload.name, "office", Urgency::Low, low, Spread::None);
            }
        }
        if noisy && second.is_multiple_of(5) {
            let tasks = self.workers / 4;
            let name = self.noisy.name;
            self.submit(world, name, "crew", Urgency::Normal, tasks, Spread::None);
        }
        if second.is_multiple_of(7) {
            let name = self.workloads[2].name;
            self.submit(world, name, "counter", Urgency::Urgent, 2, Spread::None);
        }
    }

    /// Floods the queue with work of low urgency during the first minute of the fault window,
    /// and with urgent work during the minute after it; each flood is 10 jobs of 16 tasks per
    /// worker, at least ten times the capacity.
    fn flood(&mut self, second: u64, world: &mut World) {
        let tasks = self.workers * 16;
        if (FAULT_WINDOW.0..FAULT_WINDOW.0 + 60).contains(&second) && second.is_multiple_of(6) {
            let name = self.workloads[0].name;
            self.submit(world, name, "office", Urgency::Low, tasks, Spread::None);
        }
        if (FAULT_WINDOW.1..FAULT_WINDOW.1 + 60).contains(&second) && second.is_multiple_of(6) {
            let name = self.workloads[0].name;
            self.submit(world, name, "office", Urgency::Urgent, tasks, Spread::None);
        }
    }

    /// Cancels about half of the last 200 jobs.
    fn cancel_half(&mut self, world: &mut World) {
        let latest = self.submitted.len().saturating_sub(200).max(1);
        for at in latest..self.submitted.len() {
            if self.rng.bool() {
                world.cancel(self.submitted[at].parse().unwrap());
            }
        }
    }
}
