//! Best-effort tasks next to latency-critical tasks, on an executor whose tail latency responds
//! to the processor use of the best-effort tasks. The reported tails are as imprecise as
//! real ones.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{Image, TaskId};
use sycamorerill_jobs::spec::{Resources, Step};

/// Objective of latency-critical tasks in milliseconds.
const OBJECTIVE_MS: u64 = 50;
/// Longest time for which best-effort tasks may keep a task over its objective.
const MAX_HARM: Span = Span::from_ms(4_000);

fn latency_critical(count: u32, image: &str) -> Step {
    Step {
        long_running: true,
        image: Some(Image::from(image)),
        objective_ms: Some(OBJECTIVE_MS),
        resources: Resources { cpu: 1_000, memory: 1_000, accelerators: 0 },
        ..step(count)
    }
}

fn best_effort(count: u32, image: &str) -> Step {
    Step { best_effort: true, image: Some(Image::from(image)), estimate_ms: 60_000, ..step(count) }
}

/// Returns the tail, in milliseconds, of a latency-critical task, modelled as that of a queue.
/// The utilization is the task's own load plus the interference of best-effort tasks; `noise`
/// is a factor on the result.
fn tail(load: f64, weight: f64, share: f64, noise: f64) -> u64 {
    let utilization = (load + weight * share).min(0.98);
    (10.0 / (1.0 - utilization) * noise) as u64
}

/// Simulates best-effort tasks whose interference has the given weight. Returns the longest
/// time for which a task was over its objective and would not have been without them.
fn longest_harm(weight: f64, load: impl Fn(u64) -> f64, noise: f64) -> Span {
    let mut sim = Simulation::new(1);
    sim.executor("x0").run_time = Span::from_secs(120);
    sim.submit(job(1), vec![latency_critical(4, "s")]);
    sim.advance(Span::from_ms(300));
    sim.submit(job(2), vec![best_effort(6, "f")]);
    let mut since = None;
    let mut longest = Span::ZERO;
    for tick in 0..3_000_u64 {
        let share = sim.best_effort_share("x0");
        let load = load(tick * 10);
        let actual_tail = tail(load, weight, share, 1.0);
        let harmed = actual_tail > OBJECTIVE_MS && tail(load, weight, 0.0, 1.0) <= OBJECTIVE_MS;
        since = if harmed { since.or(Some(sim.now)) } else { None };
        longest = longest.max(since.map_or(Span::ZERO, |at| sim.now.since(at)));
        let noise = if (tick / 60) % 2 == 0 { noise } else { 1.0 / noise };
        sim.executor("x0").tail_ms = tail(load, weight, share, noise);
        sim.advance(Span::from_ms(10));
    }
    longest
}

#[test]
fn strong_interference_is_throttled_in_time() {
    let longest = longest_harm(1.5, |_| 0.5, 1.0);
    assert!(longest < MAX_HARM, "{longest}");
}

#[test]
fn noisy_tails_around_the_objective_do_not_hide_harm() {
    for load in [0.55, 0.62, 0.68, 0.72, 0.76] {
        for weight in [0.1, 0.2, 0.4, 0.8] {
            let longest = longest_harm(weight, move |_| load, 1.12);
            assert!(longest < MAX_HARM, "load {load} weight {weight}: {longest}");
        }
    }
}

#[test]
fn an_oscillating_load_does_not_cause_harm() {
    let load = |ms: u64| 0.45 + 0.22 * (ms as f64 / 14_000.0 * std::f64::consts::TAU).sin();
    for weight in [0.2, 0.5, 1.0, 2.0] {
        let longest = longest_harm(weight, load, 1.08);
        assert!(longest < MAX_HARM, "weight {weight}: {longest}");
    }
}

#[test]
fn best_effort_tasks_without_interference_are_not_throttled() {
    let mut sim = Simulation::new(1);
    sim.executor("x0").tail_ms = 20;
    sim.submit(job(1), vec![latency_critical(4, "s")]);
    sim.advance(Span::from_ms(300));
    sim.submit(job(2), vec![best_effort(4, "f")]);
    sim.advance(Span::from_ms(2_500));
    let task = |index| -> TaskId {
        sycamorerill_jobs::id::StepId { job: job(2), occurrence: 0, step: 0 }.task(index)
    };
    assert!((0..4).all(|index| sim.executors_running(&task(index)).is_empty()));
    assert_eq!(sim.state(2), Some(sycamorerill_jobs::progress::State::Completed));
}

#[test]
fn a_successor_starts_from_the_recorded_model() {
    let mut sim = Simulation::new(1);
    sim.executor("x0").run_time = Span::from_secs(60);
    sim.submit(job(1), vec![latency_critical(4, "s")]);
    sim.advance(Span::from_ms(300));
    sim.submit(job(2), vec![best_effort(2, "f")]);
    for _ in 0..400 {
        let share = sim.best_effort_share("x0");
        sim.executor("x0").tail_ms = tail(0.4, 2.0, share, 1.0);
        sim.advance(Span::from_ms(10));
    }
    sim.submit(job(3), vec![step(1)]);
    sim.advance(Span::from_ms(2_500));
    let weight = |sim: &Simulation| {
        let model = sim.model.clone().expect("the model is recorded");
        model.serving[&Image::from("s")].weights[&Image::from("f")]
    };
    let before = weight(&sim);
    assert!(before > 1.2, "{before}");
    sim.take_over();
    sim.submit(job(4), vec![step(1)]);
    sim.advance(Span::from_ms(2_500));
    assert!((weight(&sim) - before).abs() < 0.5, "{} {before}", weight(&sim));
}

#[test]
fn late_jobs_do_not_make_others_late() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![step(8)]);
    sim.advance(Span::from_ms(100));
    sim.submit(job(2), vec![step(8)]);
    sim.submit(job(3), vec![step(8)]);
    sim.submit(job(4), vec![step(8)]);
    sim.advance(Span::from_ms(3_000));
    sim.submit(job(5), vec![step(8)]);
    sim.advance(Span::from_ms(2_200));
    assert!(sim.state(5).is_some_and(|state| state.is_terminal()), "{:?}", sim.state(5));
}

/// Returns the weight of best-effort image number `image` in a test with many images.
fn weight_of(image: u64) -> f64 {
    if image.is_multiple_of(2) { 0.1 } else { 1.4 }
}

/// Sets the tail of each executor from the best-effort tasks that run there; the image of a job
/// is the remainder of its identifier by `images`.
fn set_tails(sim: &mut Simulation, images: u64) {
    for executor in sim.executors.values_mut() {
        let capacity = executor.capacity.cpu as f64;
        let added = |(task, active): (&TaskId, &support::executor::ActiveRun)| {
            let share = active.best_effort_cpu? as f64 / capacity;
            let limit = f64::from(active.limit_percent) / 100.0;
            Some(share * limit * weight_of(task.step.job.0 % images))
        };
        let interference = executor.running.iter().filter_map(added).sum::<f64>();
        executor.tail_ms = tail(0.3, 1.0, interference, 1.0);
    }
}

#[test]
fn each_of_many_images_has_its_own_weight() {
    const IMAGES: u64 = 40;
    let mut sim = Simulation::new(IMAGES as u32);
    let serving = Step { max_per_executor: Some(1), ..latency_critical(IMAGES as u32, "s") };
    sim.submit(job(0), vec![serving]);
    sim.advance(Span::from_ms(300));
    for round in 1..=25 {
        for number in 0..IMAGES {
            // Another order in each round, so that images meet others.
            let image = (number * 7 + round * 3) % IMAGES;
            let step = best_effort(3, &format!("f{image}"));
            sim.submit(job(round * IMAGES + image), vec![step]);
        }
        for _ in 0..100 {
            set_tails(&mut sim, IMAGES);
            sim.advance(Span::from_ms(10));
        }
    }
    let model = sim.model.expect("the model is recorded");
    let weights = &model.serving[&Image::from("s")].weights;
    for image in 0..IMAGES {
        let learned = weights[&Image::from(format!("f{image}").as_str())];
        let is_heavy = weight_of(image) > 0.5;
        assert_eq!(learned > 0.5, is_heavy, "image {image} has the weight {learned}");
    }
}
