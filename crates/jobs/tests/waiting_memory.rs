//! Memory of an owner while large jobs wait.

#![allow(clippy::expect_used, reason = "without these lines the test has no result")]

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::Label;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Step;

/// Memory of the smallest instance, in KiB.
const INSTANCE_KIB: u64 = 160 * 1_024;
const JOBS: u64 = 50;

/// Returns the memory that this process uses, in KiB.
fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("the memory in use");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number")
}

/// Fifty jobs of the largest size that no executor can run took 540 MB of their owner.
#[test]
fn jobs_of_the_largest_size_may_wait_in_numbers() {
    let mut sim = Simulation::new(2);
    let before = memory_kib();
    for id in 0..JOBS {
        let label = Some(Label::from("none"));
        sim.submit(job(id), vec![Step { label, ..step(10_000) }; 10]);
    }
    sim.advance(Span::from_secs(1));
    let used = memory_kib() - before;
    assert!(used < INSTANCE_KIB, "{used} KiB");
    // Their cancellation writes no record of a task that has never been placed.
    for id in 0..JOBS {
        sim.cancel(job(id));
    }
    sim.advance(Span::from_secs(1));
    assert!((0..JOBS).all(|id| sim.state(id) == Some(State::Cancelled)));
    assert_eq!(sim.progress.len(), JOBS as usize);
}
