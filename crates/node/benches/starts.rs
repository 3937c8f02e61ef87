//! Measures the processor time of an instance that owns a shard with 490 executors.
//!
//! `cargo bench -p sycamorerill-node` prints the processor time for each second of 1,000
//! starts. The time includes the platform in memory, but no calls over a network. The
//! benchmark asserts nothing. The shard is as large as one of the larger of the deployments
//! that have grown.

#[path = "../tests/support/mod.rs"]
mod support;

use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use support::MemoryPlatform;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::spec::{Job, Resources, Step};
use sycamorerill_node::frontend::{Action, Request};
use sycamorerill_node::{Instance, Spawner};

/// Number of executors of the shard.
const EXECUTORS: u32 = 490;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 1_700;
/// Jobs submitted per second, each with 40 tasks in two steps.
const JOBS_PER_SECOND: u64 = 25;
/// Duration of the load in seconds.
const SECONDS: u64 = 8;

fn job() -> Job {
    let resources = Resources { cpu: 500, memory: 100, accelerators: 0 };
    let step = Step { count: 20, resources, estimate_ms: RUN_MS, ..Step::default() };
    let second = Step { depends_on: vec![0], ..step.clone() };
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

/// Returns the processor time used by the main thread so far, in milliseconds.
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
            let (time_before, starts_before) = (processor_ms(), platform.starts.borrow().len());
            for _ in 0..JOBS_PER_SECOND {
                number += 1;
                submit(&spawner, &instance, number);
                Timer::after(Duration::from_millis(1_000 / JOBS_PER_SECOND)).await;
            }
            let starts = platform.starts.borrow().len() - starts_before;
            println!("second {second}: {} ms, {starts} starts", processor_ms() - time_before);
        }
    }));
}
