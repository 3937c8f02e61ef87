//! Reported ends of runs that were closed when the leases of their executor had ended.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Step;

const TASK: TaskId = StepId { job: job(1), occurrence: 0, step: 0 }.task(0);

/// Returns a simulation whose executor `x0` was out of reach while the only run of [`TASK`] ended
/// there as done, until the run was closed.
fn with_closed_run(executors: u32, steps: Vec<Step>) -> Simulation {
    let mut sim = Simulation::new(executors);
    sim.executor("x0").run_time = Span::from_secs(3);
    sim.submit(job(1), steps);
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.executors_running(&TASK), ["x0"]);
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(7));
    assert!(sim.log.iter().any(|line| line.contains("Lapsed")), "the run was not closed");
    sim
}

fn starts(sim: &Simulation) -> usize {
    let start = format!(" runs {TASK} ");
    sim.log.iter().filter(|line| line.contains(&start)).count()
}

/// The end was ignored and acknowledged, and the task, which waited, started again.
#[test]
fn a_waiting_task_whose_closed_run_is_reported_as_done_is_done() {
    for has_successor in [false, true] {
        let mut sim = with_closed_run(1, vec![step(1)]);
        if has_successor {
            sim.take_over();
        }
        sim.executor("x0").reachable = true;
        sim.advance(Span::from_secs(3));
        assert_eq!(sim.state(1), Some(State::Completed), "successor: {has_successor}");
        assert_eq!(starts(&sim), 1, "successor: {has_successor}");
    }
}

/// A task that was started again went on, and its job waited for it.
#[test]
fn a_later_run_is_stopped_when_the_closed_one_is_reported_as_done() {
    let mut sim = with_closed_run(1, vec![step(1), Step { depends_on: vec![0], ..step(1) }]);
    sim.add_executor(1);
    sim.executor("x1").run_time = Span::from_secs(60);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.executors_running(&TASK), ["x1"]);
    sim.executor("x0").reachable = true;
    sim.executor("x0").run_time = Span::from_ms(500);
    sim.executor("x1").run_time = Span::from_ms(500);
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.run_count(), 0);
    assert_eq!(sim.state(1), Some(State::Completed));
    assert_eq!(starts(&sim), 2);
}
