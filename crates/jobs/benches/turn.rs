//! Time that a shard takes for a second of work, at the size of one grown deployment.
//!
//! `cargo bench -p sycamorerill-jobs` prints milliseconds of our own code, the world's
//! included, for each second of the world; nothing is asserted.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::{World, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::Image;
use sycamorerill_jobs::spec::{Room, Step};

/// Executors of the larger of the first deployments.
const EXECUTORS: u32 = 350;
/// Serving jobs, of 14 tasks each.
const SERVING: u64 = 100;
/// Filling jobs a second, of 40 tasks each.
const FILLING: u64 = 60;
/// Urgent jobs a second, of 16 tasks each.
const URGENT: u64 = 11;
/// Seconds of the world.
const SECONDS: u64 = 8;

fn room(cores: u64) -> Room {
    Room { cpu: cores * 1_000, memory: 13_000, accelerators: 0 }
}

fn serving(number: u64) -> Step {
    Step {
        lasting: true,
        objective_ms: Some(50),
        image: Some(Image::from(format!("serving-{}", number % 5).as_str())),
        room: room(13),
        ..step(14)
    }
}

fn filling(number: u64) -> Step {
    Step {
        filling: true,
        saves: true,
        image: Some(Image::from(format!("filling-{}", number % 9).as_str())),
        room: room(7),
        ..step(40)
    }
}

fn main() {
    let mut world = World::new(EXECUTORS);
    for machine in world.machines.values_mut() {
        machine.tail_ms = 44;
        machine.room = Room { cpu: 64_000, memory: 256_000, accelerators: 0 };
    }
    let ids: Vec<_> = world.machines.keys().cloned().collect();
    for id in ids {
        world.list(&id);
    }
    for number in 0..SERVING {
        world.submit(job(number), vec![serving(number)]);
    }
    world.pass(Span::from_secs(1));
    let mut next = 1_000;
    for second in 0..SECONDS {
        let begun = Instant::now();
        for _ in 0..10 {
            for number in 0..FILLING.div_ceil(10) {
                next += 1;
                world.submit(job(next), vec![filling(next + number)]);
            }
            next += 1;
            world.submit(job(next), vec![Step { room: room(8), ..step(URGENT as u32 * 16 / 10) }]);
            world.pass(Span::from_ms(100));
        }
        println!("second {second}: {} ms, {} runs", begun.elapsed().as_millis(), world.running());
    }
}
