//! Processor time of one instance that owns a shard of the larger grown deployment.
//!
//! `cargo bench -p sycamorerill-node` prints what a second of 1,000 starts takes, the
//! platform in memory included, without calls over a network; nothing is asserted.

#[path = "../tests/support/mod.rs"]
mod support;

use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use support::MemoryPlatform;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::spec::{Job, Room, Step};
use sycamorerill_node::frontend::{Action, Request};
use sycamorerill_node::{Instance, Spawner};

/// Executors of the deployment.
const EXECUTORS: u32 = 490;
/// Time that a task runs, in milliseconds.
const RUN_MS: u64 = 1_700;
/// Jobs a second, of 40 tasks in two steps each.
const JOBS: u64 = 25;
/// Seconds of load.
const SECONDS: u64 = 8;

fn job() -> Job {
    let room = Room { cpu: 500, memory: 100, accelerators: 0 };
    let step = Step { count: 20, room, estimate_ms: RUN_MS, ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    Job { text: "x".repeat(1_000), steps: vec![step, second], schedule: None }
}

fn submit(spawner: &Spawner, instance: &Instance, number: u64) {
    let instance = instance.clone();
    spawner.spawn(async move {
        let request = Request {
            host: "h".to_owned(),
            path: format!("/q/{number:016x}"),
            action: Action::Submit(Ok(job())),
            timeout: Some(Span::from_secs(3)),
        };
        instance.handle(request).await;
    });
}

/// Returns the processor time of the process so far, in milliseconds.
fn processor_ms() -> u64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0) / 1_000_000
}

fn main() {
    let spawner = Spawner::default();
    let platform: Rc<MemoryPlatform> = MemoryPlatform::new(EXECUTORS);
    platform.run_ms.set(RUN_MS);
    block_on(spawner.clone().run(async move {
        let (instance, _) = platform.start_instance(&spawner, "one");
        while !instance.is_ready() {
            Timer::after(Duration::from_millis(50)).await;
        }
        let mut number = 0x5c0e_7a21_0000_0000_u64;
        for second in 0..SECONDS {
            let (begun, started) = (processor_ms(), platform.starts.borrow().len());
            for _ in 0..JOBS {
                number += 1;
                submit(&spawner, &instance, number);
                Timer::after(Duration::from_millis(1_000 / JOBS)).await;
            }
            let starts = platform.starts.borrow().len() - started;
            println!("second {second}: {} ms, {starts} starts", processor_ms() - begun);
        }
    }));
}
