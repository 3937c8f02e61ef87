//! Jobs that no executor can ever run, beside jobs that can be run.

mod support;

use std::sync::Arc;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::{Label, QueueName};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::{Decision, Event, Obstacle, WaitState};
use sycamorerill_jobs::spec::{Job, MAX_STEPS, Resources, Step};

/// Number of the first job that can be run.
const RUNNABLE: u64 = 1_000_000;

fn label(name: &str) -> Option<Label> {
    Some(Label::from(name))
}

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1_000, memory: 1_000, accelerators: 0 }
}

/// Returns steps of which each asks for a label of its own that no executor has.
fn steps_with_own_labels(job: u64) -> Vec<Step> {
    let own = |number| label(&format!("job-{job}-step-{number}"));
    let steps = 0..MAX_STEPS;
    steps.map(|n| Step { label: own(n), estimate_ms: 60_000, ..step(1) }).collect()
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

fn completed(sim: &Simulation, ids: std::ops::Range<u64>) -> usize {
    ids.filter(|id| sim.state(*id) == Some(State::Completed)).count()
}

/// Callers of a lower priority were refused because of a backlog that nothing will ever run.
#[test]
fn a_backlog_that_no_executor_can_run_refuses_nothing() {
    let mut sim = Simulation::new(2);
    set_queues(&mut sim, &[("q", 0), ("low", 1)]);
    let asks_too_much =
        Step { resources: Resources { cpu: 9_000, ..step(1).resources }, ..step(1) };
    let no_label = Step { label: label("none"), ..step(1) };
    for (id, unschedulable) in [(1, asks_too_much), (2, no_label)] {
        submit_to(
            &mut sim,
            "q",
            id,
            vec![Step { count: 10_000, estimate_ms: 60_000, ..unschedulable }],
        );
    }
    for second in 0..15 {
        submit_to(&mut sim, "low", RUNNABLE + second, vec![step(20)]);
        sim.advance(Span::from_secs(1));
        let outlook = sim.outlook.as_ref().map(|outlook| &outlook.wait_ms);
        assert!(outlook.is_none_or(|waits| waits.is_empty()), "{outlook:?}");
    }
}

/// A queue lost its turn to others since a third one, whose only job can't be run, used less.
#[test]
fn a_queue_whose_jobs_no_executor_can_run_holds_back_no_other() {
    let mut sim = Simulation::new(2);
    set_queues(&mut sim, &[("none", 0), ("busy", 0)]);
    submit_to(&mut sim, "none", 1, vec![Step { label: label("none"), ..step(4) }]);
    for id in 0..20 {
        submit_to(&mut sim, "busy", RUNNABLE + id, vec![step(8)]);
        sim.advance(Span::from_ms(200));
    }
    let held_back = |found: &&Decision| matches!(found, Decision::HeldBack { .. });
    assert_eq!(sim.decisions.iter().find(held_back), None);
}

/// Thousands of steps with requirements of their own took the turns of steps that waited for room.
#[test]
fn steps_with_thousands_of_labels_that_no_executor_has_delay_no_others() {
    let mut sim = Simulation::new(1);
    for id in 0..40 {
        sim.submit(job(id), steps_with_own_labels(id));
    }
    sim.submit(job(RUNNABLE), vec![step(8)]);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.run_count(), 8);
    // They are due after the others.
    for id in 1..=8 {
        sim.submit(job(RUNNABLE + id), vec![Step { estimate_ms: 600_000, ..step(1) }]);
    }
    // The first ones end after a second, the others after another one.
    sim.advance(Span::from_ms(2_200));
    assert_eq!(completed(&sim, RUNNABLE..RUNNABLE + 9), 9);
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

/// Long-running tasks that have lost the only executors with their label used up the searches for
/// executors to reserve, so that one that had to wait for room got none.
#[test]
fn restarts_that_no_executor_can_run_take_no_reservation_from_others() {
    const LOST: u64 = 40;
    let mut sim = Simulation::new(3);
    let lasting = Step { long_running: true, ..step(1) };
    sim.executor("x2").rack = Label::from("lost");
    sim.list_executor(&"x2".into());
    for id in 1..=LOST {
        let resources = Resources { cpu: 100, memory: 100, accelerators: 0 };
        sim.submit(job(id), vec![Step { label: label("lost"), resources, ..lasting.clone() }]);
    }
    sim.advance(Span::from_ms(300));
    sim.submit(job(100), vec![Step { resources: cores(4), label: label("r1"), ..lasting }]);
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), LOST as usize + 1);
    // Small tasks fill all executors and go on to arrive.
    for id in 0..600 {
        submit_to(&mut sim, "q", RUNNABLE + id, vec![step(2)]);
        if id % 4 == 0 {
            sim.advance(Span::from_ms(100));
        }
        if id == 40 {
            let task =
                |id| sycamorerill_jobs::id::StepId { job: job(id), occurrence: 0, step: 0 }.task(0);
            let home = sim.executors_running(&task(100)).remove(0);
            for lost in ["x2", home.as_str()] {
                sim.executor(lost).reachable = false;
                sim.executor(lost).unlisted = true;
                sim.handle(Event::Unlisted(lost.into()));
            }
        }
    }
    let reserved = sim
        .decisions
        .iter()
        .find(|found| matches!(found, Decision::Reserved { step, .. } if step.job == job(100)));
    assert!(reserved.is_some());
}

/// A rack that does not exist, or one without an executor that may run the step, must not be waited
/// for: the tasks run elsewhere at once.
#[test]
fn nothing_waits_for_a_rack_that_no_executor_of_the_step_is_in() {
    let mut sim = Simulation::new(3);
    sim.executor("x1").rack = Label::from("r2");
    sim.list_executor(&"x1".into());
    let near = |rack: &str| Step { data_rack: label(rack), ..step(1) };
    sim.submit(job(1), vec![near("none")]);
    sim.submit(job(2), vec![Step { label: label("r1"), ..near("r2") }]);
    sim.submit(job(3), vec![Step { same_rack: true, count: 2, ..near("none") }]);
    sim.submit(job(4), vec![Step { gang: true, count: 2, ..near("none") }]);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.run_count(), 6);
}

fn obstacle(decision: &Decision) -> Option<Obstacle> {
    match decision {
        Decision::Unschedulable { obstacle, .. } => Some(*obstacle),
        _ => None,
    }
}

/// Work that was set aside must start as soon as an executor can run it.
#[test]
fn steps_start_once_an_executor_that_can_run_them_is_listed() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![Step { label: label("r2"), ..step(1) }]);
    sim.submit(job(2), vec![Step { resources: cores(16), ..step(1) }]);
    sim.submit(job(3), vec![Step { gang: true, ..step(9) }]);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.run_count(), 0);
    let obstacles: Vec<Obstacle> = sim.decisions.iter().filter_map(obstacle).collect();
    assert_eq!(obstacles, [Obstacle::Label, Obstacle::Capacity, Obstacle::Gang]);
    sim.executor("x0").rack = Label::from("r2");
    sim.list_executor(&"x0".into());
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.run_count(), 1);
    sim.executor("x0").capacity = Resources { cpu: 25_000, memory: 32_000, accelerators: 0 };
    sim.list_executor(&"x0".into());
    sim.advance(Span::from_ms(1_500));
    sim.advance(Span::from_ms(1_500));
    assert_eq!(completed(&sim, 1..4), 3, "{:?}", sim.log);
}

/// An executor that becomes too small, drains or leaves may come back.
#[test]
fn steps_go_on_after_their_only_executors_were_away() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![step(8), Step { depends_on: vec![0], resources: cores(8), ..step(1) }]);
    sim.advance(Span::from_ms(100));
    sim.executor("x0").capacity.cpu = 4_000;
    sim.list_executor(&"x0".into());
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.run_count(), 0);
    sim.take_over();
    sim.advance(Span::from_secs(1));
    sim.executor("x0").capacity.cpu = 8_000;
    sim.list_executor(&"x0".into());
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.state(1), Some(State::Completed));
}

/// A policy that allows no listed executor is another reason, and a later executor may be allowed.
#[test]
fn steps_whose_policy_allows_no_executor_start_once_one_is_allowed() {
    let mut sim = Simulation::new(1);
    sim.allow_only(&["x1"]);
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_secs(1));
    let obstacles: Vec<Obstacle> = sim.decisions.iter().filter_map(obstacle).collect();
    assert_eq!(obstacles, [Obstacle::Policy]);
    sim.add_executor(1);
    sim.advance(Span::from_ms(200));
    assert_eq!(sim.run_count(), 1);
}

/// A step that waits for a rack loses all executors that could run it: its wait must end, or later
/// steps would wait for places behind it.
#[test]
fn a_wait_for_a_rack_ends_with_the_last_executor_of_the_step() {
    let mut sim = Simulation::new(2);
    sim.executor("x1").rack = Label::from("r2");
    sim.list_executor(&"x1".into());
    sim.submit(job(1), vec![Step { label: label("r2"), ..step(8) }]);
    sim.advance(Span::from_ms(900));
    sim.submit(job(2), vec![Step { data_rack: label("r2"), ..step(1) }]);
    sim.advance(Span::from_ms(20));
    for id in ["x0", "x1"] {
        sim.executor(id).unlisted = true;
        sim.handle(Event::Unlisted(id.into()));
    }
    sim.advance(Span::from_ms(200));
    let states: Vec<WaitState> = sim.decisions.iter().filter_map(wait_state).collect();
    assert_eq!(states, [WaitState::Begun, WaitState::RackLost]);
}

fn wait_state(decision: &Decision) -> Option<WaitState> {
    match decision {
        Decision::Locality(wait) => Some(wait.state),
        _ => None,
    }
}
