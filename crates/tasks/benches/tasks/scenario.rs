//! The scenarios: what is offered and what goes wrong, second by second.

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;
use sycamorerill_tasks::job::{Job, Spread};

use crate::deployment::{Deployment, Kind};
use crate::fake::{Truths, World};

/// A scenario.
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

/// Second at which what goes wrong begins, and at which it ends.
pub(crate) const TROUBLE: (u64, u64) = (240, 540);
/// Factors by which real sizes differ from declared ones where they are wrong.
const WRONG: [f64; 4] = [0.3, 1.6, 5.0, 0.7];

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

    pub(crate) fn truths(self, deployment: Deployment) -> Truths {
        let size = |index: usize| match self {
            Self::WrongSizes => WRONG[index],
            _ => 0.8,
        };
        let swing = match self {
            Self::ShiftingNoise => Span::from_secs(300),
            _ => Span::ZERO,
        };
        deployment.truths(size, swing)
    }

    /// Lets one second begin.
    pub(crate) fn step(self, second: u64, world: &mut World, load: &mut Load) {
        let trouble = (TROUBLE.0..TROUBLE.1).contains(&second);
        load.ordinary(second, world, self == Self::NoisyWave && trouble);
        match self {
            Self::Flood => load.flood(second, world),
            Self::RackLost if second == TROUBLE.0 => lose_rack(world),
            Self::BrokenWorker if second == TROUBLE.0 => {
                world.workers.values_mut().nth(3).unwrap().broken = true;
            }
            Self::Cancellations if trouble && second.is_multiple_of(20) => load.cancel_half(world),
            Self::StoreDown if second == TROUBLE.0 => world.set_store(false),
            Self::StoreDown if second == TROUBLE.0 + 600 => world.set_store(true),
            _ => {}
        }
    }
}

fn lose_rack(world: &mut World) {
    let lost = world.workers.values().filter(|worker| worker.rack == "rack1");
    let lost: Vec<_> = lost.map(|worker| worker.name.clone()).collect();
    for worker in &lost {
        world.kill(worker);
    }
}

/// What callers submit.
pub(crate) struct Load {
    kinds: [Kind; 4],
    noisy: Kind,
    workers: u32,
    rng: Rng,
    number: u64,
    waiting: Vec<String>,
}

impl Load {
    pub(crate) fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            kinds: deployment.kinds(),
            noisy: deployment.noisy(),
            workers: deployment.workers(),
            rng: Rng::with_seed(seed),
            number: 0,
            waiting: Vec::new(),
        }
    }

    /// Submits the executors of the service, at most two on a worker.
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
        self.waiting.push(name.clone());
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

    /// Submits the batch work of one second: jobs with a deadline for half of the
    /// free cores, low work for more than all of them, and an urgent job at times.
    fn ordinary(&mut self, second: u64, world: &mut World, noisy: bool) {
        let free = f64::from(self.workers) * 44.0;
        for kind in self.kinds {
            let work = kind.cores as f64 * kind.run_s as f64;
            let tasks = free * kind.part / work;
            let tasks_of = |rng: &mut Rng, mean: f64| (mean + rng.f64()) as u32;
            let normal = tasks_of(&mut self.rng, tasks * 0.5);
            let low = tasks_of(&mut self.rng, tasks * 0.9);
            if normal > 0 {
                self.submit(world, kind.name, "crew", Urgency::Normal, normal, Spread::None);
            }
            if low > 0 {
                self.submit(world, kind.name, "office", Urgency::Low, low, Spread::None);
            }
        }
        if noisy && second.is_multiple_of(5) {
            let tasks = self.workers / 4;
            let name = self.noisy.name;
            self.submit(world, name, "crew", Urgency::Normal, tasks, Spread::None);
        }
        if second.is_multiple_of(7) {
            let name = self.kinds[2].name;
            self.submit(world, name, "counter", Urgency::Urgent, 2, Spread::None);
        }
    }

    /// Ten times the fleet of least urgent work at once, later most urgent work.
    fn flood(&mut self, second: u64, world: &mut World) {
        let tasks = self.workers * 16;
        if (TROUBLE.0..TROUBLE.0 + 60).contains(&second) && second.is_multiple_of(6) {
            let name = self.kinds[0].name;
            self.submit(world, name, "office", Urgency::Low, tasks, Spread::None);
        }
        if (TROUBLE.1..TROUBLE.1 + 60).contains(&second) && second.is_multiple_of(6) {
            let name = self.kinds[0].name;
            self.submit(world, name, "office", Urgency::Urgent, tasks, Spread::None);
        }
    }

    /// Cancels half of the latest jobs.
    fn cancel_half(&mut self, world: &mut World) {
        let latest = self.waiting.len().saturating_sub(200).max(1);
        for at in latest..self.waiting.len() {
            if self.rng.bool() {
                world.cancel(self.waiting[at].parse().unwrap());
            }
        }
    }
}
