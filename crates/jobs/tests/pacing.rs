//! Tasks that fill beside tasks that serve: an executor whose tails answer to what
//! fills there, with figures as rough as a report's.

mod support;

use support::{World, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{Image, TaskId};
use sycamorerill_jobs::spec::{Room, Step};

/// Objective of serving tasks in milliseconds.
const OBJECTIVE_MS: u64 = 50;
/// Longest time that a task may be held over its objective.
const HARM: Span = Span::from_ms(4_000);

fn serving(count: u32, image: &str) -> Step {
    Step {
        lasting: true,
        image: Some(Image::from(image)),
        objective_ms: Some(OBJECTIVE_MS),
        room: Room { cpu: 1_000, memory: 1_000, accelerators: 0 },
        ..step(count)
    }
}

fn filling(count: u32, image: &str) -> Step {
    Step { filling: true, image: Some(Image::from(image)), estimate_ms: 60_000, ..step(count) }
}

/// Returns the tail of a serving task: a queue whose busy share is its load and what
/// filling tasks press, over which `rough` moves the figure up and down.
fn tail(load: f64, weight: f64, share: f64, rough: f64) -> u64 {
    let busy = (load + weight * share).min(0.98);
    (10.0 / (1.0 - busy) * rough) as u64
}

/// Plays a world in which filling tasks press by `weight`; returns the longest time that
/// a task was over its objective and would not have been without them.
fn longest_harm(weight: f64, load: impl Fn(u64) -> f64, rough: f64) -> Span {
    let mut world = World::new(1);
    world.machine("x0").run_time = Span::from_secs(120);
    world.submit(job(1), vec![serving(4, "s")]);
    world.pass(Span::from_ms(300));
    world.submit(job(2), vec![filling(6, "f")]);
    let mut since = None;
    let mut longest = Span::ZERO;
    for tick in 0..3_000_u64 {
        let share = world.filling_share("x0");
        let load = load(tick * 10);
        let true_tail = tail(load, weight, share, 1.0);
        let harmed = true_tail > OBJECTIVE_MS && tail(load, weight, 0.0, 1.0) <= OBJECTIVE_MS;
        since = if harmed { since.or(Some(world.now)) } else { None };
        longest = longest.max(since.map_or(Span::ZERO, |at| world.now.since(at)));
        let rough = if (tick / 60) % 2 == 0 { rough } else { 1.0 / rough };
        world.machine("x0").tail_ms = tail(load, weight, share, rough);
        world.pass(Span::from_ms(10));
    }
    longest
}

#[test]
fn a_task_that_is_pressed_hard_is_relieved_in_time() {
    let longest = longest_harm(1.5, |_| 0.5, 1.0);
    assert!(longest < HARM, "{longest}");
}

#[test]
fn rough_figures_around_the_objective_do_not_hide_harm() {
    for load in [0.55, 0.62, 0.68, 0.72, 0.76] {
        for weight in [0.1, 0.2, 0.4, 0.8] {
            let longest = longest_harm(weight, move |_| load, 1.12);
            assert!(longest < HARM, "load {load} weight {weight}: {longest}");
        }
    }
}

#[test]
fn a_load_that_swings_does_not_bring_harm() {
    let swing = |ms: u64| 0.45 + 0.22 * (ms as f64 / 14_000.0 * std::f64::consts::TAU).sin();
    for weight in [0.2, 0.5, 1.0, 2.0] {
        let longest = longest_harm(weight, swing, 1.08);
        assert!(longest < HARM, "weight {weight}: {longest}");
    }
}

#[test]
fn harmless_tasks_are_not_held_back() {
    let mut world = World::new(1);
    world.machine("x0").tail_ms = 20;
    world.submit(job(1), vec![serving(4, "s")]);
    world.pass(Span::from_ms(300));
    world.submit(job(2), vec![filling(4, "f")]);
    world.pass(Span::from_ms(2_500));
    let task = |index| -> TaskId {
        sycamorerill_jobs::id::StepId { job: job(2), occurrence: 0, step: 0 }.task(index)
    };
    assert!((0..4).all(|index| world.places(&task(index)).is_empty()));
    assert_eq!(world.state(2), Some(sycamorerill_jobs::progress::State::Completed));
}

#[test]
fn a_successor_starts_from_what_was_learned() {
    let mut world = World::new(1);
    world.machine("x0").run_time = Span::from_secs(60);
    world.submit(job(1), vec![serving(4, "s")]);
    world.pass(Span::from_ms(300));
    world.submit(job(2), vec![filling(2, "f")]);
    for _ in 0..400 {
        let share = world.filling_share("x0");
        world.machine("x0").tail_ms = tail(0.4, 2.0, share, 1.0);
        world.pass(Span::from_ms(10));
    }
    world.submit(job(3), vec![step(1)]);
    world.pass(Span::from_ms(2_500));
    let weight = |world: &World| {
        let lesson = world.learned.clone().expect("what is learned is recorded");
        lesson.serving[&Image::from("s")].weights[&Image::from("f")]
    };
    let before = weight(&world);
    assert!(before > 1.2, "{before}");
    world.take_over();
    world.submit(job(4), vec![step(1)]);
    world.pass(Span::from_ms(2_500));
    assert!((weight(&world) - before).abs() < 0.5, "{} {before}", weight(&world));
}

#[test]
fn late_jobs_do_not_make_others_late() {
    let mut world = World::new(1);
    world.submit(job(1), vec![step(8)]);
    world.pass(Span::from_ms(100));
    world.submit(job(2), vec![step(8)]);
    world.submit(job(3), vec![step(8)]);
    world.submit(job(4), vec![step(8)]);
    world.pass(Span::from_ms(3_000));
    world.submit(job(5), vec![step(8)]);
    world.pass(Span::from_ms(2_200));
    assert!(world.state(5).is_some_and(|state| state.is_terminal()), "{:?}", world.state(5));
}
