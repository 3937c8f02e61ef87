//! Executors that restart under their names, before and after their restart is known.
//!
//! Where `binds_orders` is off, a start reaches whichever incarnation is there, as if the platform's
//! adapter did not bind it to the one that it names: the shard must cope with that by itself.

mod support;

use std::net::SocketAddr;

use support::{Simulation, job, step};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::{Outcome, Refusal};
use sycamorerill_jobs::id::{ExecutorId, Run, StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::{Event, Order};
use sycamorerill_jobs::spec::Step;

fn task(id: u64, index: u32) -> TaskId {
    StepId { job: job(id), occurrence: 0, step: 0 }.task(index)
}

/// Returns a step with one task on each of `count` executors.
fn spread(count: u32) -> Step {
    Step { max_per_executor: Some(1), ..step(count) }
}

/// Restarts an executor under its name; its new entry is not listed yet.
fn restart(sim: &mut Simulation, id: &str) {
    let (now, incarnation) = (sim.now, sim.wall_ms());
    sim.executor(id).restart(now, incarnation);
}

fn list(sim: &mut Simulation, id: &str) {
    sim.list_executor(&ExecutorId::from(id));
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// An executor accepted a start before its restart was known; the run was closed with the former
/// incarnation, and its task was started elsewhere too.
#[test]
fn a_run_that_a_new_incarnation_has_accepted_goes_on() {
    for listed_after_ms in [20, 300, 800] {
        let mut sim = Simulation::new(3);
        sim.binds_orders = false;
        sim.advance(Span::from_secs(2));
        restart(&mut sim, "x1");
        sim.submit(job(1), vec![Step { long_running: true, ..spread(3) }]);
        sim.advance(Span::from_ms(listed_after_ms));
        list(&mut sim, "x1");
        sim.advance(Span::from_secs(3));
        assert_eq!(sim.executors_running(&task(1, 0)).len(), 1);
        assert_eq!(sim.run_count(), 3);
        assert_eq!(sim.executor("x1").end_count, 0);
        assert_no_violations(&sim);
    }
}

/// The same where the run ends before the restart is known. The executor has run tasks before, so
/// that its former ends have higher numbers.
#[test]
fn the_end_of_a_run_that_a_new_incarnation_has_accepted_counts() {
    for listed_after_ms in [20, 300, 800] {
        let mut sim = Simulation::new(3);
        sim.binds_orders = false;
        sim.submit(job(1), vec![step(20)]);
        sim.advance(Span::from_secs(2));
        assert_eq!(sim.state(1), Some(State::Completed));
        for executor in sim.executors.values_mut() {
            executor.run_time = Span::from_ms(50);
        }
        restart(&mut sim, "x1");
        sim.submit(job(2), vec![spread(3)]);
        sim.advance(Span::from_ms(listed_after_ms));
        list(&mut sim, "x1");
        sim.advance(Span::from_secs(3));
        assert_eq!(sim.state(2), Some(State::Completed));
        assert_eq!(sim.executor("x1").end_count, 1);
        assert_no_violations(&sim);
    }
}

/// A run that the former incarnation had confirmed is started again once the new one reports
/// without it.
#[test]
fn runs_of_a_former_incarnation_are_started_again() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![Step { long_running: true, ..step(6) }]);
    sim.advance(Span::from_secs(3));
    restart(&mut sim, "x0");
    list(&mut sim, "x0");
    sim.advance(Span::from_ms(500));
    assert_eq!(sim.run_count(), 6);
    assert_no_violations(&sim);
}

/// The answer of another executor at a former address says nothing of runs at the present one.
#[test]
fn a_late_refusal_from_a_former_address_ends_no_run_at_the_present_one() {
    let mut sim = Simulation::new(1);
    sim.executor("x0").delays_orders = true;
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_ms(100));
    restart(&mut sim, "x0");
    sim.executor("x0").address = SocketAddr::from(([10, 0, 0, 2], 7_000));
    list(&mut sim, "x0");
    // The order to stop the first run stays without an answer too.
    sim.advance(Span::from_ms(150));
    sim.executor("x0").delays_orders = false;
    sim.submit(job(2), vec![Step { long_running: true, ..step(1) }]);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.executors_running(&task(2, 0)), ["x0"]);
    let late = Order { executor: ExecutorId::from("x0"), task: task(1, 0), run: Run(1) };
    sim.handle(Event::Started(late, Outcome::Refused(Refusal::Incarnation, None)));
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.executors_running(&task(2, 0)), ["x0"]);
    assert!(!sim.log.iter().any(|line| line.contains("Closed") && line.contains("JobId(2)")));
    assert_no_violations(&sim);
}

/// A restart whose entry comes to a successor first, or that only a report shows.
#[test]
fn a_successor_goes_on_with_a_run_that_a_new_incarnation_has_accepted() {
    for is_listed in [false, true] {
        let mut sim = Simulation::new(3);
        sim.binds_orders = false;
        sim.advance(Span::from_secs(2));
        let before = sim.registration_of("x1");
        restart(&mut sim, "x1");
        sim.submit(job(1), vec![Step { long_running: true, ..spread(3) }]);
        sim.advance(Span::from_ms(50));
        assert_eq!(sim.run_count(), 3);
        if !is_listed {
            sim.stale_entries.insert(before.id.clone(), before);
        }
        sim.take_over();
        sim.advance(Span::from_secs(3));
        assert_eq!(sim.run_count(), 3);
        assert_eq!(sim.executor("x1").end_count, 0);
        assert_no_violations(&sim);
    }
}

/// An executor restarts during a takeover, with a run or without.
#[test]
fn restarts_around_a_takeover_run_no_task_twice() {
    for (before, listed) in [(true, false), (true, true), (false, false), (false, true)] {
        let mut sim = Simulation::new(3);
        sim.submit(job(1), vec![Step { long_running: true, ..step(6) }]);
        sim.advance(Span::from_secs(2));
        if before {
            restart(&mut sim, "x0");
        }
        sim.take_over();
        if !before {
            restart(&mut sim, "x0");
        }
        sim.advance(Span::from_ms(30));
        if listed {
            list(&mut sim, "x0");
        }
        sim.advance(Span::from_secs(3));
        assert_eq!(sim.run_count(), 6);
        assert_no_violations(&sim);
    }
}

/// After a restart with an unanswered order, the end of the leases stayed on the clock of the former
/// incarnation, so tasks of an executor that was lost later waited for as long as that had been up.
#[test]
fn tasks_move_when_an_executor_is_lost_after_a_restart_with_an_unanswered_order() {
    let mut sim = Simulation::new(2);
    for executor in sim.executors.values_mut() {
        executor.started = Time::ZERO;
    }
    list(&mut sim, "x0");
    list(&mut sim, "x1");
    sim.executor("x0").delays_orders = true;
    sim.submit(job(1), vec![spread(2)]);
    sim.advance(Span::from_ms(50));
    sim.executor("x0").delays_orders = false;
    restart(&mut sim, "x0");
    list(&mut sim, "x0");
    sim.advance(Span::from_secs(5));
    assert_eq!(sim.state(1), Some(State::Completed));
    sim.submit(job(2), vec![Step { long_running: true, ..step(12) }]);
    sim.advance(Span::from_secs(10));
    assert_eq!(sim.run_count(), 12);
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(12));
    assert_eq!(sim.executor("x1").running.len(), 8);
    assert_no_violations(&sim);
}

/// An executor that accepted a start before its restart was known is out of reach from then on. It
/// grants its longest lease, since the deadline was one of its former clock.
#[test]
fn the_longest_lease_is_waited_for_if_only_an_answer_shows_a_restart() {
    let mut sim = Simulation::new(3);
    sim.binds_orders = false;
    sim.advance(Span::from_secs(30));
    restart(&mut sim, "x0");
    sim.submit(job(1), vec![Step { long_running: true, ..spread(2) }]);
    sim.advance(Span::from_ms(20));
    assert_eq!(sim.executor("x0").running.len(), 1);
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(40));
    assert_eq!(sim.executor("x2").running.len(), 1);
    assert_no_violations(&sim);
}

/// An order of the former incarnation's time is carried out late by the new one, which then grants
/// its longest lease to all that runs there.
#[test]
fn late_orders_to_a_new_incarnation_extend_its_leases() {
    let mut sim = Simulation::new(2);
    sim.binds_orders = false;
    sim.advance(Span::from_secs(30));
    sim.executor("x0").delays_orders = true;
    sim.submit(job(1), vec![spread(2)]);
    sim.advance(Span::from_ms(20));
    sim.executor("x0").delays_orders = false;
    restart(&mut sim, "x0");
    list(&mut sim, "x0");
    sim.advance(Span::from_secs(4));
    set_cores(&mut sim, "x1", 0);
    sim.submit(job(2), vec![Step { long_running: true, ..step(2) }]);
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.executor("x0").running.len(), 2);
    set_cores(&mut sim, "x1", 8);
    sim.deliver_delayed_orders();
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(30));
    assert_eq!(sim.executor("x1").running.len(), 2);
    assert_no_violations(&sim);
}

fn set_cores(sim: &mut Simulation, id: &str, cores: u64) {
    sim.executor(id).capacity.cpu = cores * 1_000;
    list(sim, id);
}
