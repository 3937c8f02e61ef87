//! Placement of steps of queues whose policy restricts the executors.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::StepId;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Step;

/// Returns a simulation of ten executors of which the policy allows two.
fn restricted_simulation() -> Simulation {
    let mut sim = Simulation::new(10);
    sim.allow_only(&["x3", "x7"]);
    sim
}

fn first_step(id: u64) -> StepId {
    StepId { job: job(id), occurrence: 0, step: 0 }
}

#[test]
fn tasks_run_only_where_the_policy_allows_it() {
    let mut sim = restricted_simulation();
    sim.submit(job(1), vec![step(6)]);
    sim.advance(Span::from_ms(300));
    for index in 0..6 {
        let executors = sim.executors_running(&first_step(1).task(index));
        assert!(executors == ["x3"] || executors == ["x7"], "task {index} runs at {executors:?}");
    }
    assert_eq!(sim.tickets_refused, 0);
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.state(1), Some(State::Completed));
}

#[test]
fn one_query_covers_all_tasks_of_a_step() {
    let mut sim = restricted_simulation();
    sim.submit(job(1), vec![step(16)]);
    sim.advance(Span::from_ms(500));
    assert_eq!((sim.run_count(), sim.queries_answered), (16, 1));
}

#[test]
fn a_refused_query_is_repeated() {
    let mut sim = restricted_simulation();
    sim.queries_to_refuse = 3;
    sim.submit(job(1), vec![step(2)]);
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.state(1), Some(State::Completed));
}

#[test]
fn a_restarted_task_gets_a_new_ticket_after_its_ticket_expired() {
    let mut sim = restricted_simulation();
    sim.submit(job(1), vec![Step { long_running: true, ..step(2) }]);
    sim.advance(Span::from_secs(5));
    let task = first_step(1).task(0);
    let executor = sim.executors_running(&task)[0].clone();
    sim.executor(&executor).end_run(&task, sycamorerill_jobs::executor::EndReason::Failed);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.executors_running(&task).len(), 1);
    assert_eq!(sim.tickets_refused, 0);
}

#[test]
fn a_successor_sends_its_own_queries() {
    let mut sim = restricted_simulation();
    sim.submit(job(1), vec![step(2), Step { depends_on: vec![0], ..step(2) }]);
    sim.advance(Span::from_ms(300));
    sim.take_over();
    sim.advance(Span::from_secs(4));
    assert_eq!(sim.state(1), Some(State::Completed));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// A ticket that was granted to an executor before its restart was used after it, and refused.
#[test]
fn a_ticket_of_a_former_life_of_an_executor_is_not_used() {
    let mut sim = Simulation::new(1);
    sim.allow_only(&["x0"]);
    sim.held_advice = Some(Vec::new());
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_ms(100));
    let (now, born) = (sim.now, sim.wall_ms());
    sim.executor("x0").restart(now, born);
    sim.list_executor(&"x0".into());
    sim.advance(Span::from_ms(100));
    for answer in sim.held_advice.take().unwrap_or_default() {
        sim.handle(answer);
    }
    sim.advance(Span::from_ms(500));
    assert_eq!((sim.run_count(), sim.tickets_refused), (1, 0));
}
