//! Processor time of a shard per second of simulated work, by number of executors.
//!
//! `cargo bench -p sycamorerill-jobs` prints, for each number of executors, the median
//! milliseconds taken by the shard and the simulation together per simulated second, and the
//! microseconds per placed run; it asserts nothing. Each executor has the same share of the work
//! at every size.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::Image;
use sycamorerill_jobs::spec::{Resources, Step};

/// Numbers of executors: those of three deployments, and of one several times as large.
const EXECUTORS: [u32; 4] = [66, 350, 890, 5_000];
/// Tasks of one latency-critical job.
const LATENCY_CRITICAL_TASKS: u32 = 24;
/// Latency-critical tasks per executor.
const LATENCY_CRITICAL_LOAD: f64 = 4.0;
/// Tasks of one best-effort job.
const BEST_EFFORT_TASKS: u32 = 39;
/// Best-effort tasks per executor and second.
const BEST_EFFORT_LOAD: f64 = 2.5;
/// Tasks of one urgent job.
const URGENT_TASKS: u32 = 9;
/// Urgent tasks per executor and second.
const URGENT_LOAD: f64 = 0.25;
/// Simulated seconds.
const SECONDS: usize = 7;
/// Parts of a second in which jobs arrive.
const ARRIVALS_PER_SECOND: u32 = 10;

fn resources(cores: u64) -> Resources {
    Resources { cpu: cores * 1_000, memory: 13_000, accelerators: 0 }
}

fn latency_critical(number: u64) -> Step {
    Step {
        long_running: true,
        objective_ms: Some(50),
        image: Some(Image::from(format!("serving-{}", number % 5).as_str())),
        resources: resources(13),
        ..step(LATENCY_CRITICAL_TASKS)
    }
}

fn best_effort(number: u64) -> Step {
    Step {
        best_effort: true,
        checkpointing: true,
        image: Some(Image::from(format!("best-effort-{}", number % 30).as_str())),
        resources: resources(7),
        ..step(BEST_EFFORT_TASKS)
    }
}

fn urgent() -> Step {
    Step { resources: resources(8), ..step(URGENT_TASKS) }
}

/// Returns the number of jobs of `tasks` tasks that bring `load` tasks to each executor.
fn jobs(executors: u32, load: f64, tasks: u32) -> f64 {
    f64::from(executors) * load / f64::from(tasks)
}

/// Submits the jobs of one tenth of a second, and returns the number of their tasks.
fn submit(sim: &mut Simulation, executors: u32, due: &mut [f64; 2], next: &mut u64) -> u32 {
    let parts = f64::from(ARRIVALS_PER_SECOND);
    due[0] += jobs(executors, BEST_EFFORT_LOAD, BEST_EFFORT_TASKS) / parts;
    due[1] += jobs(executors, URGENT_LOAD, URGENT_TASKS) / parts;
    let mut tasks = 0;
    while due[0] >= 1.0 {
        due[0] -= 1.0;
        *next += 1;
        sim.submit(job(*next), vec![best_effort(*next)]);
        tasks += BEST_EFFORT_TASKS;
    }
    while due[1] >= 1.0 {
        due[1] -= 1.0;
        *next += 1;
        sim.submit(job(*next), vec![urgent()]);
        tasks += URGENT_TASKS;
    }
    tasks
}

fn measure(executors: u32) {
    let mut sim = Simulation::new(executors);
    sim.checks_all_executors = false;
    for executor in sim.executors.values_mut() {
        executor.tail_ms = 44;
        executor.capacity = Resources { cpu: 64_000, memory: 256_000, accelerators: 0 };
    }
    let ids: Vec<_> = sim.executors.keys().cloned().collect();
    for id in ids {
        sim.list_executor(&id);
    }
    let lasting = jobs(executors, LATENCY_CRITICAL_LOAD, LATENCY_CRITICAL_TASKS) as u64;
    for number in 0..lasting {
        sim.submit(job(number), vec![latency_critical(number)]);
    }
    sim.advance(Span::from_secs(1));
    let mut next = 1_000_000;
    let mut due = [0.0; 2];
    let mut times: Vec<(u128, u32)> = Vec::new();
    for _ in 0..SECONDS {
        let begun = Instant::now();
        let mut tasks = 0;
        for _ in 0..ARRIVALS_PER_SECOND {
            tasks += submit(&mut sim, executors, &mut due, &mut next);
            sim.advance(Span::from_ms(1_000 / u64::from(ARRIVALS_PER_SECOND)));
        }
        times.push((begun.elapsed().as_micros(), tasks));
    }
    times.sort_unstable();
    let (micros, tasks) = times[SECONDS / 2];
    let per_run = micros as f64 / f64::from(tasks.max(1));
    println!("{executors} executors: {} ms a second, {per_run:.0} us a run", micros / 1_000);
}

fn main() {
    for executors in EXECUTORS {
        measure(executors);
    }
}
