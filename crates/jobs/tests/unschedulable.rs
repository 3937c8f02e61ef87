//! Jobs that no executor can ever run, beside jobs that can be run.

mod support;

use std::sync::Arc;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::QueueName;
use sycamorerill_jobs::shard::{Decision, Event};
use sycamorerill_jobs::spec::{Job, Resources, Step};

/// Number of the first job that can be run.
const RUNNABLE: u64 = 1_000_000;

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1_000, memory: 1_000, accelerators: 0 }
}

/// Replaces the queues by some of the given names and priorities with the settings of the first one.
fn set_queues(sim: &mut Simulation, queues: &[(&str, u32)]) {
    let pattern = sim.config.queues[&QueueName::from("q")].clone();
    let queue = |(name, priority): &(&str, u32)| {
        let name = QueueName::from(*name);
        (name.clone(), Queue { name, priority: *priority, ..pattern.clone() })
    };
    let queues = queues.iter().map(queue).collect();
    let version = sim.config.version + 1;
    sim.config = Arc::new(Config { version, queues, ..Config::clone(&sim.config) });
    sim.handle(Event::Configured(Arc::clone(&sim.config)));
}

fn submit_to(sim: &mut Simulation, queue: &str, id: u64, steps: Vec<Step>) {
    let at_ms = sim.wall_ms();
    let text = "text".to_owned();
    sim.submit_to(queue, job(id), Job { text, steps, schedule: None }, at_ms);
}

/// Returns the highest use, in percent of two executors of eight cores, that was held against a queue
/// with one run of eight cores at a time and a gang of `members` that finds only some places.
fn use_held_against_gang(members: u32) -> u64 {
    let mut sim = Simulation::new(2);
    set_queues(&mut sim, &[("gang", 0), ("other", 0)]);
    sim.run_times.insert(job(1), Span::from_secs(60));
    submit_to(&mut sim, "other", 1, vec![step(1)]);
    sim.advance(Span::from_ms(100));
    submit_to(&mut sim, "gang", 2, vec![Step { gang: true, ..step(members) }]);
    for id in 0..12 {
        let queue = if id % 3 == 0 { "gang" } else { "other" };
        submit_to(&mut sim, queue, RUNNABLE + id, vec![Step { resources: cores(8), ..step(1) }]);
        sim.advance(Span::from_ms(500));
    }
    let held_against = |found: &Decision| match found {
        Decision::HeldBack { queue, used_percent, .. } if queue.as_str() == "gang" => *used_percent,
        _ => 0,
    };
    sim.decisions.iter().map(held_against).max().unwrap_or(0)
}

/// Each attempt to place a gang for which there are too few executors counted as use by its queue,
/// whose other jobs then waited behind those of others.
#[test]
fn attempts_to_place_a_gang_are_no_use_of_executors() {
    for members in [16, 17] {
        // One run counts 50 percent while it is open, and 50 for a second as a recent placement.
        let used = use_held_against_gang(members);
        assert!(used <= 100, "a gang of {members}: {used} percent");
    }
}
