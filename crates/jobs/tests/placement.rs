//! Placement under load: bursts of steps with many tasks, a backlog that waits for resources,
//! and random mixes in which no executor may get more than it has.

#![allow(clippy::unwrap_used, reason = "a case that can't be generated ends the test")]

mod support;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use support::{FakeExecutor, Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{Image, Label, StepId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::{Resources, Step};

/// Number of random cases in a run with fixed seeds.
const CASES: u64 = 48;
/// Number of random bytes from which a case is generated.
const CASE_BYTES: u64 = 512;
/// Longest time for which a released resource may stay unused while a task waits for it.
const MAX_IDLE: Span = Span::from_ms(40);

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1_000, memory: 1_000, accelerators: 0 }
}

#[test]
fn a_burst_of_wide_steps_is_placed_in_one_second() {
    const EXECUTORS: u32 = 100;
    const JOBS: u64 = 20;
    let mut sim = Simulation::new(EXECUTORS);
    for id in 0..JOBS {
        sim.submit(job(id), vec![step(39)]);
    }
    sim.advance(Span::from_ms(900));
    // Each executor has eight cores, and each task needs one.
    assert_eq!(sim.run_count(), 780);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn tasks_of_a_step_fill_gaps_that_fit_before_larger_ones() {
    let mut sim = Simulation::new(4);
    for (executor, capacity) in [("x0", 8), ("x1", 4), ("x2", 2), ("x3", 8)] {
        sim.executor(executor).capacity = Resources { memory: 32_000, ..cores(capacity) };
    }
    let ids: Vec<_> = sim.executors.keys().cloned().collect();
    for id in ids {
        sim.list_executor(&id);
    }
    sim.submit(job(1), vec![Step { resources: cores(2), ..step(3) }]);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.executor("x2").running.len(), 1);
    assert_eq!(sim.executor("x1").running.len(), 2);
    // The executors of eight cores are left to tasks that need most of one.
    sim.submit(job(2), vec![Step { resources: cores(8), ..step(2) }]);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.run_count(), 5);
}

/// More steps than a pass tries, which no executor can ever run, kept all that had to wait once from
/// ever starting, whether their requirements were the same or not.
#[test]
fn steps_that_no_executor_can_run_hold_up_no_others() {
    const HOPELESS_JOBS: u64 = 4;
    for same_label in [true, false] {
        let mut sim = Simulation::new(1);
        for id in 0..HOPELESS_JOBS {
            let label = |number: u64| Label::from(format!("l{number}").as_str());
            let numbers = (0..210).map(|number| if same_label { 0 } else { id * 1_000 + number });
            let hopeless =
                numbers.map(|n| Step { label: Some(label(n)), estimate_ms: 10_000, ..step(1) });
            sim.submit(job(id), hopeless.collect());
        }
        sim.advance(Span::from_ms(300));
        sim.submit(job(10), vec![step(8)]);
        sim.advance(Span::from_ms(100));
        assert_eq!(sim.run_count(), 8);
        // They are due after the others.
        for id in 11..19 {
            sim.submit(job(id), vec![Step { estimate_ms: 100_000, ..step(1) }]);
        }
        sim.advance(Span::from_secs(3));
        let done = (11..19).filter(|id| sim.state(*id) == Some(State::Completed)).count();
        assert_eq!(done, 8, "same label: {same_label}");
    }
}

/// The same for steps that an executor could run, but for a task there that goes on for ever.
#[test]
fn steps_that_find_no_room_for_long_hold_up_no_others() {
    for is_each_tried in [false, true] {
        let mut sim = Simulation::new(1);
        sim.submit(job(1), vec![Step { long_running: true, ..step(1) }]);
        sim.advance(Span::from_ms(300));
        let max_per_executor = is_each_tried.then_some(1);
        let wide = Step { resources: cores(8), max_per_executor, estimate_ms: 10_000, ..step(1) };
        for id in 2..6 {
            sim.submit(job(id), vec![wide.clone(); 210]);
        }
        sim.advance(Span::from_ms(300));
        sim.submit(job(10), vec![step(7)]);
        sim.advance(Span::from_ms(100));
        assert_eq!(sim.run_count(), 8);
        // They are due after the others.
        for id in 11..18 {
            sim.submit(job(id), vec![Step { estimate_ms: 100_000, ..step(1) }]);
        }
        sim.advance(Span::from_secs(3));
        let done = (11..18).filter(|id| sim.state(*id) == Some(State::Completed)).count();
        assert_eq!(done, 7, "each tried: {is_each_tried}");
    }
}

#[test]
fn a_backlog_takes_resources_as_they_are_released() {
    const WAITING_JOBS: u64 = 400;
    let mut sim = Simulation::new(4);
    for executor in sim.executors.values_mut() {
        // Not a multiple of any interval of the shard, so that runs end at any time in it.
        executor.run_time = Span::from_ms(1_030);
    }
    sim.submit(job(1), vec![step(32)]);
    sim.advance(Span::from_ms(200));
    for id in 2..2 + WAITING_JOBS {
        sim.submit(job(id), vec![step(2)]);
    }
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), 32);
    let mut idle = Span::ZERO;
    for _ in 0..1_200 {
        sim.advance(Span::from_ms(10));
        idle = if sim.run_count() < 32 { idle + Span::from_ms(10) } else { Span::ZERO };
        assert!(idle <= MAX_IDLE, "{} of 32 tasks run for {idle}", sim.run_count());
    }
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn a_large_task_that_finds_no_executor_does_not_block_small_ones() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![Step { resources: cores(4), ..step(3) }]);
    sim.advance(Span::from_ms(100));
    sim.submit(job(2), vec![Step { resources: cores(8), ..step(1) }]);
    sim.submit(job(3), vec![Step { resources: cores(4), ..step(1) }]);
    sim.advance(Span::from_ms(100));
    assert!(
        !sim.executors_running(&StepId { job: job(3), occurrence: 0, step: 0 }.task(0)).is_empty()
    );
}

/// Best-effort jobs that come together must not slow each other down until all of them are late.
#[test]
fn best_effort_jobs_of_a_burst_are_not_all_late() {
    const EXECUTORS: u32 = 10;
    const JOBS: u64 = 40;
    let mut sim = Simulation::new(EXECUTORS);
    sim.shares_processors = true;
    for id in 0..JOBS {
        sim.submit(job(id), vec![Step { best_effort: true, ..step(8) }]);
    }
    // The objective of a task of one second, with the queue's stretch of 2.
    sim.advance(Span::from_ms(2_500));
    let timely = (0..JOBS).filter(|id| sim.state(*id) == Some(State::Completed)).count();
    // Ten jobs at a time have an executor for each of their tasks, and twenty can be in time.
    assert!(timely >= 10, "{timely} of {JOBS} jobs are in time");
}

fn arbitrary_step(u: &mut Unstructured<'_>) -> Result<Step> {
    let kind = u.int_in_range(0..=3)?;
    let plain = Step {
        resources: Resources {
            cpu: u.int_in_range(1..=8)? * 500,
            memory: u.int_in_range(1..=16)? * 500,
            accelerators: 0,
        },
        max_per_executor: if u.ratio(1, 4)? { Some(u.int_in_range(1..=3)?) } else { None },
        ..step(u.int_in_range(1..=12)?)
    };
    let image = Some(Image::from(*u.choose(&["a", "b", "c"])?));
    Ok(match kind {
        0 => plain,
        1 => Step { gang: true, ..plain },
        2 => Step { best_effort: true, image, ..plain },
        _ => Step { long_running: true, objective_ms: Some(50), image, ..plain },
    })
}

/// Panics if an executor runs more than it has, or more tasks of a step than it may.
fn check_executor(sim: &Simulation, executor: &FakeExecutor) {
    let mut used = Resources::default();
    let mut of_step: BTreeMap<StepId, u32> = BTreeMap::new();
    for task in executor.running.keys() {
        let step = &sim.accepted[&task.step.job].job.steps[task.step.step as usize];
        used = used.plus(&step.reserved());
        let count = of_step.entry(task.step).or_default();
        *count += 1;
        let most = step.max_per_executor.unwrap_or(u32::MAX);
        assert!(*count <= most, "{} runs {count} tasks of {}", executor.id, task.step);
    }
    assert!(executor.capacity.covers(&used), "{} has {used:?} in use", executor.id);
}

fn check_mix(u: &mut Unstructured<'_>) -> Result<()> {
    let mut sim = Simulation::new(u.int_in_range(1..=12)?);
    for id in 0..u.int_in_range(5..=25)? {
        let step = arbitrary_step(u)?;
        sim.submit(job(id), vec![step]);
        if u.ratio(1, 5)? {
            sim.cancel(job(u.int_in_range(0..=id)?));
        }
        if u.ratio(1, 12)? {
            sim.take_over();
        }
        sim.advance(Span::from_ms(u.int_in_range(0..=40)? * 10));
        for executor in sim.executors.values() {
            check_executor(&sim, executor);
        }
    }
    sim.advance(Span::from_secs(3));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    Ok(())
}

#[test]
fn no_executor_gets_more_than_it_has() {
    for case in 0_u64..CASES {
        let seed = (case.wrapping_mul(0x9e37_79b9) & 0xffff_ffff) << 32 | CASE_BYTES;
        drop(arbtest(check_mix).seed(seed));
    }
}
