//! Completion times of jobs near their data, replayed with the wait decided, with near places only
//! preferred, and with tasks that run at near places only.

#![allow(clippy::print_stdout, reason = "the test reports what it compares")]
#![allow(clippy::expect_used, reason = "the simulation has a queue")]

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::Label;
use sycamorerill_jobs::shard::{Decision, Settings};
use sycamorerill_jobs::spec::Step;

const RACKS: u64 = 6;
const PER_RACK: u64 = 3;
/// Cores of all executors; each task takes one.
const CORES: u64 = RACKS * PER_RACK * 8;
const TASKS_PER_JOB: u32 = 4;
const JOBS: u64 = 900;
/// Run time that tasks take on average, without the tail.
const MEAN_RUN: Span = Span::from_ms(600);
/// Runs that take longer than others, in percent, and how many times as long.
const TAIL: (u64, f64) = (3, 7.0);
/// Delay of the mean that is a tenth of the shortest allowance of a deployment, 300 ms.
const MEAN_MARGIN_MS: f64 = 30.0;
/// Delay of the slowest twentieth that the objective of the replayed queue allows beyond the
/// stretched critical path.
const P95_MARGIN_MS: f64 = 500.0;
/// Part of the jobs in time by which a deployment may get worse.
const IN_TIME_MARGIN: f64 = 0.03;
/// Replays of each load.
const SEEDS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Decided,
    Preferred,
    Always,
}

/// Demand on the racks.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    /// Used part of all cores, in percent.
    used: u64,
    /// Jobs that name a rack, in percent.
    local: u64,
    /// Those of them that name rack 0, in percent.
    hot: u64,
    penalty: f64,
}

/// Generator of the replay; the low bits of its state are of low quality and not used.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn within(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.below(1_000) as f64 / 1_000.0
    }
}

fn rack(number: u64) -> Label {
    Label::from(format!("rack-{number}").as_str())
}

/// What callers see of a replay, or the mean of some.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Mean completion time of local jobs, in milliseconds.
    mean: f64,
    /// 95th percentile of the same.
    p95: f64,
    /// Part of the local jobs that complete within their objective.
    in_time: f64,
    /// Mean completion time of the other jobs, in milliseconds.
    others: f64,
}

/// Returns the mean over all seeds of what callers see.
fn replays(way: Way, load: Load) -> Seen {
    let mut sum = Seen::default();
    for seed in 1..=SEEDS {
        let seen = replay(way, load, seed);
        sum.mean += seen.mean / SEEDS as f64;
        sum.p95 += seen.p95 / SEEDS as f64;
        sum.in_time += seen.in_time / SEEDS as f64;
        sum.others += seen.others / SEEDS as f64;
    }
    sum
}

fn replay(way: Way, load: Load, seed: u64) -> Seen {
    let mut sim = Simulation::new((RACKS * PER_RACK) as u32);
    for (number, executor) in (0..).zip(sim.executors.values_mut()) {
        executor.rack = rack(number % RACKS);
    }
    sim.checks_all_executors = false;
    sim.settings = Settings {
        decides_locality: way == Way::Decided,
        remote_penalty: load.penalty,
        ..Settings::default()
    };
    sim.restart_shard();
    sim.advance(Span::from_ms(50));
    let mut random = Random(seed);
    let tail = TAIL.0 as f64 / 100.0;
    let work = MEAN_RUN.as_ms_f64() * f64::from(TASKS_PER_JOB) * (1.0 + tail * (TAIL.1 - 1.0));
    let between = work / (CORES * load.used) as f64 * 100.0;
    let mut local = Vec::new();
    let mut due = 0.0;
    for id in 0..JOBS {
        due += random.within(0.0, 2.0 * between);
        while due >= 10.0 {
            sim.advance(Span::from_ms(10));
            due -= 10.0;
        }
        let run = MEAN_RUN.scale(random.within(0.5, 1.5));
        let run = if random.below(100) < TAIL.0 { run.scale(TAIL.1) } else { run };
        sim.run_times.insert(job(id), run);
        // Estimates are off by up to a half, also those of the tail by chance.
        let estimate_ms = run.scale(random.within(0.5, 1.5)).as_ms();
        let data_rack = (random.below(100) < load.local)
            .then(|| rack(if random.below(100) < load.hot { 0 } else { random.below(RACKS) }));
        if data_rack.is_some() {
            local.push(job(id));
        }
        let label = data_rack.clone().filter(|_| way == Way::Always);
        sim.submit(job(id), vec![Step { estimate_ms, data_rack, label, ..step(TASKS_PER_JOB) }]);
    }
    sim.advance(Span::from_secs(60));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    let (mut near, mut others) = (Vec::new(), Vec::new());
    let mut in_time = 0.0;
    let queue = &sim.config.queues.values().next().expect("a queue");
    for decision in &sim.decisions {
        if let Decision::Finished { job, took, .. } = decision {
            let times = if local.contains(job) { &mut near } else { &mut others };
            times.push(took.as_ms_f64());
            let path = sim.accepted[job].job.critical_path();
            if local.contains(job) && *took <= path.scale(queue.stretch) + queue.objective {
                in_time += 1.0;
            }
        }
    }
    assert_eq!(near.len() + others.len(), JOBS as usize);
    near.sort_by(f64::total_cmp);
    let mean = |times: &[f64]| times.iter().sum::<f64>() / times.len() as f64;
    Seen {
        mean: mean(&near),
        p95: near[near.len() * 95 / 100],
        in_time: in_time / near.len() as f64,
        others: mean(&others),
    }
}

/// Guards against a decision that is worse for callers than one of the simpler ways.
#[test]
fn the_decision_is_no_worse_than_preferring_or_always_waiting() {
    let loads = [
        Load { name: "even", used: 60, local: 50, hot: 0, penalty: 1.5 },
        Load { name: "full", used: 85, local: 50, hot: 0, penalty: 2.0 },
        Load { name: "hot", used: 60, local: 40, hot: 50, penalty: 1.5 },
        Load { name: "hot, dear", used: 60, local: 30, hot: 50, penalty: 3.0 },
        Load { name: "very hot", used: 50, local: 60, hot: 90, penalty: 2.0 },
    ];
    let mut worse = Vec::new();
    for load in loads {
        let ways = [Way::Decided, Way::Preferred, Way::Always].map(|way| {
            let seen = replays(way, load);
            println!("{}, {way:?}: {seen:.3?}", load.name);
            seen
        });
        let [decided, preferred, always] = ways;
        for (what, is_worse) in [
            ("mean", decided.mean > preferred.mean.min(always.mean) + MEAN_MARGIN_MS),
            ("p95", decided.p95 > preferred.p95.min(always.p95) + P95_MARGIN_MS),
            ("in time", decided.in_time < preferred.in_time.max(always.in_time) - IN_TIME_MARGIN),
            ("others", decided.others > preferred.others + MEAN_MARGIN_MS),
        ] {
            if is_worse {
                worse.push((load.name, what));
            }
        }
    }
    assert!(worse.is_empty(), "worse than a simpler way: {worse:?}");
}
