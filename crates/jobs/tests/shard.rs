//! A shard under failures: executors that become unreachable, are replaced or restart, orders
//! that are carried out late, and owners that are superseded.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{ExecutorId, StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::record::RecordId;
use sycamorerill_jobs::spec::{Schedule, Step};

fn task(id: u64, step: u32, index: u32) -> TaskId {
    StepId { job: job(id), occurrence: 0, step }.task(index)
}

fn long_running(count: u32) -> Step {
    Step { long_running: true, ..step(count) }
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn steps_of_a_job_run_in_sequence() {
    let mut sim = Simulation::new(4);
    sim.submit(job(1), vec![step(6), Step { depends_on: vec![0], ..step(3) }]);
    sim.advance(Span::from_ms(500));
    assert_eq!(sim.run_count(), 6);
    sim.advance(Span::from_ms(900));
    assert_eq!(sim.run_count(), 3);
    assert_eq!(sim.states.get(&job(1)), Some(&State::Running));
    sim.advance(Span::from_ms(1_500));
    assert_eq!(sim.states.get(&job(1)), Some(&State::Completed));
    assert_no_violations(&sim);
}

#[test]
fn run_ends_are_acknowledged_within_100_ms() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![step(2)]);
    sim.advance(Span::from_ms(1_200));
    assert!(sim.executor("x0").ended.is_empty());
    assert_eq!(sim.executor("x0").end_count, 2);
}

#[test]
fn a_successor_keeps_running_tasks() {
    let mut sim = Simulation::new(3);
    sim.submit(job(1), vec![long_running(5)]);
    sim.advance(Span::from_ms(3_000));
    // The list in the store may be as old as an outage of the store was long.
    sim.take_over();
    sim.advance(Span::from_ms(2_000));
    for index in 0..5 {
        assert_eq!(sim.executors_running(&task(1, 0, index)).len(), 1);
    }
    assert_eq!(sim.executors.values().map(|executor| executor.end_count).sum::<u64>(), 0);
    assert_no_violations(&sim);
}

#[test]
fn a_successor_with_a_stale_list_does_not_close_runs_with_valid_leases() {
    for latency in 0..6 {
        let mut sim = Simulation::new(2);
        sim.submit(job(1), vec![long_running(4)]);
        sim.advance(Span::from_ms(8_000));
        sim.probe_latency = Span::from_ms(10 * latency);
        sim.take_over_with_stale_list(Span::from_ms(6_000));
        sim.advance(Span::from_ms(1_000));
        assert_eq!(sim.run_count(), 4);
        assert_no_violations(&sim);
    }
}

#[test]
fn tasks_move_when_the_lease_of_an_unreachable_executor_expires() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_ms(500));
    let at = sim.executors_running(&task(1, 0, 0))[0].clone();
    sim.executor(&at).reachable = false;
    sim.advance(Span::from_ms(9_000));
    assert_eq!(sim.executors_running(&task(1, 0, 0)).len(), 1, "{:#?}", sim.log);
    assert_ne!(sim.executors_running(&task(1, 0, 0))[0], at);
    assert_no_violations(&sim);
}

#[test]
fn runs_are_closed_when_another_executor_has_the_address() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_ms(500));
    let at = sim.executors_running(&task(1, 0, 0))[0].clone();
    let now = sim.now;
    sim.executor(&at).restart(now, 0);
    sim.executor(&at).replaced = true;
    sim.handle(sycamorerill_jobs::shard::Event::Unlisted(ExecutorId::from(at.as_str())));
    sim.advance(Span::from_ms(3_000));
    assert_eq!(sim.run_count(), 2);
    assert_no_violations(&sim);
}

#[test]
fn an_order_without_an_answer_does_not_run_a_task_twice() {
    let mut sim = Simulation::new(2);
    sim.executor("x0").delays_orders = true;
    sim.executor("x1").delays_orders = true;
    sim.submit(job(1), vec![step(3)]);
    sim.advance(Span::from_ms(100));
    sim.executor("x0").delays_orders = false;
    sim.executor("x1").delays_orders = false;
    sim.advance(Span::from_ms(600));
    sim.deliver_delayed_orders();
    sim.advance(Span::from_ms(2_500));
    sim.deliver_delayed_orders();
    assert_eq!(sim.states.get(&job(1)), Some(&State::Completed));
    assert_no_violations(&sim);
}

#[test]
fn an_order_of_a_superseded_owner_is_not_carried_out() {
    let mut sim = Simulation::new(2);
    sim.executor("x0").delays_orders = true;
    sim.executor("x1").delays_orders = true;
    sim.submit(job(1), vec![step(3)]);
    sim.advance(Span::from_ms(50));
    sim.executor("x0").delays_orders = false;
    sim.executor("x1").delays_orders = false;
    sim.take_over();
    sim.advance(Span::from_ms(500));
    sim.deliver_delayed_orders();
    sim.advance(Span::from_ms(2_000));
    assert_eq!(sim.states.get(&job(1)), Some(&State::Completed));
    assert_no_violations(&sim);
}

#[test]
fn a_restarted_executor_gets_its_long_running_tasks_again() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_ms(500));
    let (now, incarnation) = (sim.now, sim.executor("x0").incarnation + 5_000);
    sim.executor("x0").restart(now, incarnation);
    sim.list_executor(&ExecutorId::from("x0"));
    sim.advance(Span::from_ms(1_500));
    assert_eq!(sim.run_count(), 2);
    assert_no_violations(&sim);
}

#[test]
fn a_delayed_order_to_a_restarted_executor_does_not_run_a_task_twice() {
    let mut sim = Simulation::new(2);
    sim.executor("x0").delays_orders = true;
    sim.executor("x1").delays_orders = true;
    sim.submit(job(1), vec![long_running(1)]);
    sim.advance(Span::from_ms(100));
    let (now, incarnation) = (sim.now, sim.executor("x0").incarnation + 5_000);
    for id in ["x0", "x1"] {
        sim.executor(id).restart(now, incarnation);
        sim.executor(id).delays_orders = false;
        sim.list_executor(&ExecutorId::from(id));
    }
    sim.advance(Span::from_ms(1_000));
    sim.deliver_delayed_orders();
    sim.advance(Span::from_ms(1_000));
    assert_eq!(sim.executors_running(&task(1, 0, 0)).len(), 1, "{:#?}", sim.log);
    assert_no_violations(&sim);
}

#[test]
fn no_run_starts_until_the_store_is_available() {
    let mut sim = Simulation::new(2);
    sim.store_available = false;
    sim.submit(job(1), vec![step(2)]);
    sim.advance(Span::from_ms(1_000));
    assert_eq!(sim.run_count(), 0);
    sim.store_available = true;
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), 2);
}

#[test]
fn a_cancelled_job_stops_and_stays_stopped_after_a_takeover() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![long_running(4)]);
    sim.advance(Span::from_ms(500));
    sim.cancel(job(1));
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), 0);
    assert_eq!(sim.states.get(&job(1)), Some(&State::Cancelled));
    sim.take_over();
    sim.advance(Span::from_ms(1_000));
    assert_eq!(sim.run_count(), 0);
    assert_no_violations(&sim);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![step(2)]);
    for _ in 0..2 {
        sim.advance(Span::from_ms(300));
        let at = sim.executors_running(&task(1, 0, 0));
        let Some(at) = at.first() else { continue };
        let at = at.clone();
        sim.executor(&at).end_run(&task(1, 0, 0), sycamorerill_jobs::executor::EndReason::Failed);
    }
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.states.get(&job(1)), Some(&State::Failed));
    assert_eq!(sim.run_count(), 0);
}

#[test]
fn a_step_that_ends_after_the_cancellation_starts_no_dependent_step() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![step(2), Step { depends_on: vec![0], ..step(2) }]);
    sim.advance(Span::from_ms(500));
    sim.executor("x0").delays_orders = true;
    sim.executor("x1").delays_orders = true;
    sim.cancel(job(1));
    sim.advance(Span::from_ms(700));
    sim.executor("x0").delays_orders = false;
    sim.executor("x1").delays_orders = false;
    sim.advance(Span::from_ms(1_500));
    assert_eq!(sim.run_count(), 0);
    assert_eq!(sim.states.get(&job(1)), Some(&State::Cancelled));
    assert_no_violations(&sim);
}

#[test]
fn a_superseded_owner_issues_no_commands() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![long_running(1)]);
    sim.advance(Span::from_ms(500));
    sim.executor("x0").fence = 9;
    sim.advance(Span::from_ms(3_000));
    assert!(sim.shard.is_superseded());
    sim.submit(job(2), vec![step(1)]);
    sim.advance(Span::from_ms(500));
    assert!(!sim.progress.contains_key(&RecordId::first(job(2))));
}

#[test]
fn short_tasks_are_placed_before_long_running_ones() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![step(8)]);
    sim.advance(Span::from_ms(200));
    sim.submit(job(2), vec![long_running(8)]);
    sim.submit(job(3), vec![step(8)]);
    sim.advance(Span::from_ms(1_200));
    assert_eq!(sim.executors_running(&task(3, 0, 0)).len(), 1);
    sim.advance(Span::from_ms(2_000));
    assert_eq!(sim.executors_running(&task(2, 0, 0)).len(), 1);
}

#[test]
fn a_job_cancelled_before_its_acceptance_never_starts() {
    let mut sim = Simulation::new(1);
    sim.cancel(job(1));
    sim.submit(job(1), vec![step(2)]);
    sim.advance(Span::from_ms(500));
    assert_eq!(sim.run_count(), 0);
    assert_eq!(sim.states.get(&job(1)), Some(&State::Cancelled));
    sim.cancel(job(2));
    sim.take_over();
    sim.submit(job(2), vec![step(2)]);
    sim.advance(Span::from_ms(500));
    assert_eq!(sim.run_count(), 0);
    assert_no_violations(&sim);
}

/// A missing entry ends no lease, also after an outage of the store: that may be the successor's own,
/// and an executor that does not reach the store runs on.
#[test]
fn an_unlisted_executor_is_gone_when_its_leases_have_ended_and_not_before() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_ms(500));
    let at = sim.executors_running(&task(1, 0, 0))[0].clone();
    let now = sim.now;
    sim.executor(&at).restart(now, 0);
    sim.executor(&at).reachable = false;
    sim.executor(&at).unlisted = true;
    sim.take_over();
    sim.advance(Span::from_ms(6_600));
    assert_eq!(sim.run_count(), 0);
    sim.advance(Span::from_ms(400));
    assert_eq!(sim.run_count(), 2);
    assert_no_violations(&sim);
}

#[test]
fn a_run_end_is_recorded_while_more_jobs_change_than_batches_hold() {
    let mut sim = Simulation::new(1);
    sim.slow_store = true;
    sim.submit(job(u64::MAX), vec![step(1)]);
    sim.advance(Span::from_ms(900));
    // From shortly before the run ends, jobs are submitted and cancelled faster than they can
    // be recorded, which is 45 in 10 ms.
    let mut ended = None;
    let mut acknowledged = None;
    for turn in 0..150 {
        for number in 0..60 {
            let id = job(1 + turn * 60 + number);
            sim.submit(id, vec![step(9)]);
            sim.cancel(id);
        }
        sim.advance(Span::from_ms(10));
        let executor = sim.executor("x0");
        let (end_count, retained) = (executor.end_count, executor.ended.len());
        if end_count > 0 {
            ended.get_or_insert(sim.now);
        }
        if end_count > 0 && retained == 0 {
            acknowledged.get_or_insert(sim.now);
        }
    }
    let took = acknowledged.expect("acknowledged").since(ended.expect("ended"));
    assert!(took < Span::from_ms(400), "the end was not acknowledged for {took}");
}

#[test]
fn an_executor_is_used_again_after_its_leases_expired_while_unreachable() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.run_count(), 2);
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(12));
    assert_eq!(sim.run_count(), 0);
    sim.executor("x0").reachable = true;
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.run_count(), 2);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn leases_are_renewed_while_run_ends_wait_to_be_recorded() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![long_running(1)]);
    sim.submit(job(2), vec![step(1)]);
    sim.advance(Span::from_ms(500));
    sim.store_available = false;
    // The short run ends within a second, and its end can't be recorded.
    sim.advance(Span::from_secs(20));
    assert_eq!(sim.executors_running(&task(1, 0, 0)), ["x0"]);
    sim.store_available = true;
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.states.get(&job(2)), Some(&State::Completed));
    assert!(sim.executor("x0").ended.is_empty(), "the end is acknowledged");
    assert_eq!(sim.executor("x0").end_count, 1, "no lease has expired");
    assert_no_violations(&sim);
}

#[test]
fn a_successor_goes_on_with_the_occurrences_in_progress() {
    let mut sim = Simulation::new(2);
    let steps = vec![step(2), Step { depends_on: vec![0], ..step(2) }];
    let schedule = Schedule { start_ms: sim.wall_ms(), period_ms: 600, times: 3 };
    sim.submit_scheduled(job(1), steps, Some(schedule));
    sim.advance(Span::from_ms(800));
    // The runs end while no owner is there, so that the successor has to start the tasks anew.
    for name in ["x0", "x1"] {
        sim.executor(name).running.clear();
    }
    sim.take_over();
    sim.advance(Span::from_secs(6));
    assert_eq!(sim.states.get(&job(1)), Some(&State::Completed));
    assert_no_violations(&sim);
}

#[test]
fn tasks_move_when_an_executor_refuses_probes_until_its_lease_expires() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![long_running(1)]);
    sim.advance(Span::from_ms(500));
    assert_eq!(sim.executors_running(&task(1, 0, 0)), ["x0"]);
    sim.executor("x0").refuses_probes = true;
    sim.advance(Span::from_secs(9));
    assert_eq!(sim.executors_running(&task(1, 0, 0)), ["x1"]);
    assert_no_violations(&sim);
}

/// Sets the number of cores of the first executor and reports its new list entry.
fn resize(sim: &mut Simulation, cores: u64) {
    sim.executor("x0").capacity.cpu = cores * 1_000;
    let id = sim.executor("x0").id.clone();
    sim.list_executor(&id);
}

/// The executor's capacity shrinks between the placement of runs and their record.
#[test]
fn placed_runs_are_not_started_beyond_a_capacity_that_has_shrunk() {
    let mut sim = Simulation::new(1);
    sim.store_available = false;
    sim.submit(job(1), vec![step(6)]);
    sim.advance(Span::from_ms(100));
    resize(&mut sim, 4);
    sim.store_available = true;
    let mut most = 0;
    for _ in 0..100 {
        sim.advance(Span::from_ms(50));
        most = most.max(sim.run_count());
    }
    assert_eq!(most, 4);
    assert_eq!(sim.state(1), Some(State::Completed));
}

/// Orders without an answer are not repeated beyond a capacity that has shrunk: the first ones may
/// still be carried out, and the repeated ones would be.
#[test]
fn unanswered_orders_are_not_repeated_beyond_a_capacity_that_has_shrunk() {
    let mut sim = Simulation::new(1);
    sim.executor("x0").delays_orders = true;
    sim.submit(job(1), vec![step(6)]);
    sim.advance(Span::from_ms(100));
    resize(&mut sim, 4);
    sim.executor("x0").delays_orders = false;
    let mut most = 0;
    for _ in 0..200 {
        sim.advance(Span::from_ms(50));
        most = most.max(sim.run_count());
    }
    assert_eq!(most, 4);
    assert_eq!(sim.state(1), Some(State::Completed));
}

#[test]
fn a_capacity_that_has_grown_is_used() {
    let mut sim = Simulation::new(1);
    resize(&mut sim, 2);
    sim.submit(job(1), vec![step(6)]);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.run_count(), 2);
    resize(&mut sim, 6);
    sim.advance(Span::from_ms(100));
    assert_eq!(sim.run_count(), 6);
}

/// The members of a gang end `done` together, so one reported end closes the runs of all.
#[test]
fn one_end_of_a_gang_closes_the_runs_of_all_members() {
    let mut sim = Simulation::new(3);
    let spread = Some(1);
    sim.submit(job(1), vec![Step { gang: true, max_per_executor: spread, ..step(3) }]);
    sim.advance(Span::from_ms(900));
    assert_eq!(sim.run_count(), 3);
    // Only one executor is reached when the members end.
    sim.executor("x1").reachable = false;
    sim.executor("x2").reachable = false;
    sim.advance(Span::from_ms(400));
    assert_eq!(sim.state(1), Some(State::Completed));
    sim.executor("x1").reachable = true;
    sim.executor("x2").reachable = true;
    sim.advance(Span::from_secs(8));
    assert_eq!(sim.executors.values().map(|executor| executor.end_count).sum::<u64>(), 3);
    assert_no_violations(&sim);
}

/// An idle executor that is not listed is forgotten; listed again, it is asked before it gets work.
#[test]
fn a_forgotten_executor_is_asked_before_it_gets_work() {
    let mut sim = Simulation::new(1);
    sim.advance(Span::from_secs(1));
    let id = ExecutorId::from("x0");
    sim.handle(sycamorerill_jobs::shard::Event::Unlisted(id.clone()));
    sim.executor("x0").reachable = false;
    sim.list_executor(&id);
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_secs(2));
    assert!(!sim.log.iter().any(|line| line.contains("Placed")));
    sim.executor("x0").reachable = true;
    sim.advance(Span::from_secs(6));
    assert_eq!(sim.state(1), Some(State::Completed));
}

/// A gang that finds no executor for one of its members was recorded as running, and so not counted
/// among the jobs that wait.
#[test]
fn a_gang_that_waits_for_room_is_not_shown_as_running() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![Step { gang: true, max_per_executor: Some(1), ..step(3) }]);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.state(1), None);
    sim.take_over();
    sim.advance(Span::from_secs(1));
    assert_eq!((sim.state(1), sim.run_count()), (None, 0));
    sim.submit(job(2), vec![Step { gang: true, ..step(2) }]);
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.state(2), Some(State::Completed));
    assert_no_violations(&sim);
}
