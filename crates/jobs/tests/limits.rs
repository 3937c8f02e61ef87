//! Limits of best-effort runs beside orders that are carried out late, and takeovers.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{Image, StepId, TaskId};
use sycamorerill_jobs::spec::Step;

/// Objective of the latency-critical task in milliseconds.
const OBJECTIVE_MS: u64 = 50;
/// Reported tail at which best-effort runs are suspended.
const LONG_TAIL_MS: u64 = 400;
/// Reported tail at which they get all of their processor time.
const SHORT_TAIL_MS: u64 = 11;
/// Longest time after which an order without an answer may be carried out.
const LONGEST_DELAY: Span = Span::from_secs(12);
/// Time in which limits follow the reported tails.
const REACTION: Span = Span::from_secs(6);

/// Longest time for which best-effort tasks may keep a task over its objective.
const MAX_HARM: Span = Span::from_ms(4_000);

fn best_effort_task() -> TaskId {
    StepId { job: job(2), occurrence: 0, step: 0 }.task(0)
}

fn limit(sim: &mut Simulation) -> u32 {
    sim.executor("x0").running[&best_effort_task()].limit_percent
}

/// Returns a simulation in which a best-effort run is suspended, as the tail of the latency-critical
/// task next to it is far over its objective.
fn with_suspended_run() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.executor("x0").run_time = Span::from_secs(600);
    let image = |name: &str| Some(Image::from(name));
    let critical = Step { long_running: true, objective_ms: Some(OBJECTIVE_MS), ..step(1) };
    sim.submit(job(1), vec![Step { image: image("s"), ..critical }]);
    sim.advance(Span::from_ms(300));
    let best_effort = Step { best_effort: true, estimate_ms: 600_000, ..step(1) };
    sim.submit(job(2), vec![Step { image: image("f"), ..best_effort }]);
    sim.advance(Span::from_ms(500));
    sim.executor("x0").tail_ms = LONG_TAIL_MS;
    sim.advance(REACTION);
    assert_eq!(limit(&mut sim), 0);
    sim
}

/// A limit that the executor applied seconds after newer ones held a task for good.
#[test]
fn a_limit_that_is_carried_out_late_is_corrected() {
    let mut sim = with_suspended_run();
    sim.executor("x0").tail_ms = SHORT_TAIL_MS;
    sim.advance(REACTION);
    assert_eq!(limit(&mut sim), 100);
    sim.executor("x0").delays_orders = true;
    sim.executor("x0").tail_ms = LONG_TAIL_MS;
    sim.advance(REACTION);
    assert!(!sim.delayed_orders.is_empty());
    sim.executor("x0").delays_orders = false;
    sim.executor("x0").tail_ms = SHORT_TAIL_MS;
    sim.advance(LONGEST_DELAY.saturating_sub(REACTION + Span::from_secs(1)));
    assert_eq!(limit(&mut sim), 100);
    sim.deliver_delayed_orders();
    assert_eq!(limit(&mut sim), 0);
    sim.advance(REACTION);
    assert_eq!(limit(&mut sim), 100);
}

/// The same for an order that lifts a limit: a task may be over its objective for a few seconds only.
#[test]
fn a_limit_that_is_lifted_late_is_ordered_again() {
    let mut sim = with_suspended_run();
    sim.executor("x0").delays_orders = true;
    sim.executor("x0").tail_ms = SHORT_TAIL_MS;
    sim.advance(Span::from_secs(2));
    sim.executor("x0").delays_orders = false;
    sim.executor("x0").tail_ms = LONG_TAIL_MS;
    sim.advance(REACTION);
    assert_eq!(limit(&mut sim), 0);
    sim.deliver_delayed_orders();
    assert!(limit(&mut sim) > 0);
    sim.advance(MAX_HARM);
    assert_eq!(limit(&mut sim), 0);
}

/// A successor took the runs that its predecessor had suspended for unlimited ones, so they stayed
/// suspended.
#[test]
fn a_successor_lifts_the_limits_of_its_predecessor() {
    let mut sim = with_suspended_run();
    sim.take_over();
    sim.executor("x0").tail_ms = SHORT_TAIL_MS;
    sim.advance(REACTION);
    assert_eq!(limit(&mut sim), 100);
}

/// No number that an executor may report ends the owner.
#[test]
fn absurd_reports_of_processor_time_do_no_harm() {
    let mut sim = with_suspended_run();
    sim.take_over();
    sim.executor("x0").running.values_mut().for_each(|active| {
        active.best_effort_cpu = active.best_effort_cpu.map(|_| u64::MAX / 100);
    });
    sim.executor("x0").tail_ms = u64::MAX;
    sim.advance(REACTION);
    assert_eq!(sim.run_count(), 2);
}

/// Runs without a limit get no order from a successor.
#[test]
fn a_successor_orders_no_limits_where_there_are_none() {
    let mut sim = with_suspended_run();
    sim.executor("x0").tail_ms = SHORT_TAIL_MS;
    sim.advance(REACTION);
    assert_eq!(limit(&mut sim), 100);
    sim.take_over();
    let before = sim.log.len();
    sim.advance(REACTION);
    assert!(!sim.log[before..].iter().any(|line| line.contains("Throttled")));
}
