//! Processor time of a shard per second of simulated work, at the size of a large deployment.
//!
//! `cargo bench -p sycamorerill-jobs` prints, for each simulated second, the milliseconds taken
//! by the shard and the simulation together; it asserts nothing.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::Image;
use sycamorerill_jobs::spec::{Resources, Step};

/// Number of executors in the larger of the first deployments.
const EXECUTORS: u32 = 350;
/// Number of latency-critical jobs, of 14 tasks each.
const LATENCY_CRITICAL: u64 = 100;
/// Best-effort jobs per second, of 40 tasks each.
const BEST_EFFORT: u64 = 60;
/// Urgent jobs per second, of 16 tasks each.
const URGENT: u64 = 11;
/// Simulated seconds.
const SECONDS: u64 = 8;

fn resources(cores: u64) -> Resources {
    Resources { cpu: cores * 1_000, memory: 13_000, accelerators: 0 }
}

fn latency_critical(number: u64) -> Step {
    Step {
        long_running: true,
        objective_ms: Some(50),
        image: Some(Image::from(format!("serving-{}", number % 5).as_str())),
        resources: resources(13),
        ..step(14)
    }
}

fn best_effort(number: u64) -> Step {
    Step {
        best_effort: true,
        checkpointing: true,
        image: Some(Image::from(format!("best-effort-{}", number % 9).as_str())),
        resources: resources(7),
        ..step(40)
    }
}

fn main() {
    let mut sim = Simulation::new(EXECUTORS);
    for executor in sim.executors.values_mut() {
        executor.tail_ms = 44;
        executor.capacity = Resources { cpu: 64_000, memory: 256_000, accelerators: 0 };
    }
    let ids: Vec<_> = sim.executors.keys().cloned().collect();
    for id in ids {
        sim.list_executor(&id);
    }
    for number in 0..LATENCY_CRITICAL {
        sim.submit(job(number), vec![latency_critical(number)]);
    }
    sim.advance(Span::from_secs(1));
    let mut next = 1_000;
    for second in 0..SECONDS {
        let begun = Instant::now();
        for _ in 0..10 {
            for number in 0..BEST_EFFORT.div_ceil(10) {
                next += 1;
                sim.submit(job(next), vec![best_effort(next + number)]);
            }
            next += 1;
            sim.submit(
                job(next),
                vec![Step { resources: resources(8), ..step(URGENT as u32 * 16 / 10) }],
            );
            sim.advance(Span::from_ms(100));
        }
        println!("second {second}: {} ms, {} runs", begun.elapsed().as_millis(), sim.run_count());
    }
}
