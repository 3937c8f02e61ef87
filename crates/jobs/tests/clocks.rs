//! Leases of executors whose clocks start anew, or run slowly.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::ExecutorId;
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::Step;

/// Reading of the clocks at the start, far above that of an executor that has just restarted.
const HIGH_CLOCK: u64 = 1_000_000;
/// Time after which each task must run again whatever was lost.
const RECOVERY: Span = Span::from_secs(40);

/// Returns a simulation of idle executors with high clocks that have answered the owner.
fn idle(executors: u32) -> Simulation {
    let mut sim = Simulation::new(executors);
    for executor in sim.executors.values_mut() {
        executor.clock_at_start = HIGH_CLOCK;
    }
    sim.restart_shard();
    sim.advance(Span::from_secs(2));
    sim
}

/// Restarts an executor under its name with a clock that starts at 0; its entry is not listed yet.
fn restart(sim: &mut Simulation, id: &str) {
    let (now, incarnation) = (sim.now, sim.wall_ms());
    sim.executor(id).restart(now, incarnation);
}

/// Submits a long-running task for each of two executors.
fn submit_spread(sim: &mut Simulation) {
    let spread = Step { long_running: true, max_per_executor: Some(1), ..step(2) };
    sim.submit(job(1), vec![spread]);
}

fn assert_all_run_once(sim: &mut Simulation) {
    sim.advance(RECOVERY);
    assert!(sim.violations.is_empty(), "{:?}\n{:#?}", sim.violations, sim.log);
    assert_eq!(sim.run_count(), 2, "{:#?}", sim.log);
}

/// An executor that restarted unnoticed with a lower clock would grant its longest lease for a
/// deadline of its former clock, so no order with such a deadline may reach it.
#[test]
fn no_start_reaches_an_executor_that_restarted_unnoticed() {
    let mut sim = idle(3);
    restart(&mut sim, "x0");
    sim.executor("x0").loses_answers = true;
    submit_spread(&mut sim);
    sim.advance(Span::from_ms(20));
    assert_eq!(sim.executor("x0").running.len(), 0);
    sim.executor("x0").reachable = false;
    assert_all_run_once(&mut sim);
}

/// The same, but a successor that does not reach the executor takes over.
fn restart_before_takeover(loses_answers: bool, is_listed: bool) {
    let mut sim = idle(3);
    let before = sim.registration_of("x0");
    restart(&mut sim, "x0");
    sim.executor("x0").loses_answers = loses_answers;
    submit_spread(&mut sim);
    sim.advance(Span::from_ms(20));
    assert_eq!(sim.executor("x0").running.len(), 0);
    if is_listed {
        sim.stale_entries.insert(before.id.clone(), before);
    } else {
        sim.executor("x0").unlisted = true;
        sim.handle(Event::Unlisted(ExecutorId::from("x0")));
    }
    sim.executor("x0").reachable = false;
    sim.take_over();
    assert_all_run_once(&mut sim);
}

#[test]
fn no_start_reaches_an_unlisted_executor_that_restarted_before_a_takeover() {
    restart_before_takeover(true, false);
}

#[test]
fn no_start_reaches_a_listed_executor_that_restarted_before_a_takeover() {
    restart_before_takeover(true, true);
}

#[test]
fn no_start_reaches_a_restarted_executor_that_can_answer() {
    restart_before_takeover(false, false);
}

/// Leases on a clock that is 2% slow end later than on the owner's.
#[test]
fn leases_on_slow_clocks_are_waited_for() {
    for takes_over in [false, true] {
        let mut sim = Simulation::new(3);
        for executor in sim.executors.values_mut() {
            executor.clock_percent = 98;
        }
        submit_spread(&mut sim);
        sim.advance(Span::from_secs(3));
        let at = sim.executors.values().find(|found| !found.running.is_empty());
        let at = at.map_or_else(String::new, |found| found.id.to_string());
        sim.executor(&at).reachable = false;
        if takes_over {
            sim.take_over();
        }
        assert_all_run_once(&mut sim);
    }
}
