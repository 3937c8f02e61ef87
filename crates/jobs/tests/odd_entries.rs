//! Entries of executors and records that other writers left.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::{Incarnation, Registration, Steady};
use sycamorerill_jobs::id::{ExecutorId, StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::record::RecordId;
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::{Resources, Schedule, Step};

fn task(id: u64, index: u32) -> TaskId {
    StepId { job: job(id), occurrence: 0, step: 0 }.task(index)
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// An entry of an executor that nobody can reach drew all waiting tasks to it, as the one with the
/// most room.
#[test]
fn an_entry_draws_no_work_before_its_executor_answers() {
    let mut sim = Simulation::new(2);
    sim.executor("x1").reachable = false;
    sim.executor("x1").capacity = Resources { cpu: u64::MAX, memory: u64::MAX, accelerators: 9 };
    sim.list_executor(&ExecutorId::from("x1"));
    // Half of them fit elsewhere.
    sim.submit(job(1), vec![step(16)]);
    sim.advance(Span::from_ms(2_400));
    assert_eq!(sim.state(1), Some(State::Completed));
    assert!(!sim.log.iter().any(|line| line.contains("Placed") && line.contains("x1")));
}

/// An entry with a later start or another clock must not end what the executor runs, nor make its
/// leases seem to have ended.
#[test]
fn an_odd_entry_of_a_sound_executor_ends_no_run() {
    for (incarnation, clock) in [(0, 1 << 49), (1 << 49, 0), (1 << 49, 1 << 49), (7, 7)] {
        let mut sim = Simulation::new(2);
        sim.submit(job(1), vec![Step { long_running: true, ..step(4) }]);
        sim.advance(Span::from_secs(3));
        let at = sim.executors_running(&task(1, 0))[0].clone();
        let before = sim.registration_of(&at);
        let incarnation = if incarnation == 0 { before.incarnation.0 } else { incarnation };
        let odd = Registration {
            incarnation: Incarnation(incarnation),
            clock: Steady(clock),
            ..before.clone()
        };
        sim.handle(Event::Listed(Box::new(odd)));
        sim.advance(Span::from_secs(1));
        sim.list_executor(&before.id);
        sim.advance(Span::from_secs(9));
        assert_eq!(sim.run_count(), 4);
        assert_eq!(sim.executors_running(&task(1, 0)), [at.as_str()], "{incarnation} {clock}");
        assert_eq!(sim.executor(&at).end_count, 0, "{incarnation} {clock}");
        // The executor is used again.
        sim.submit(job(2), vec![step(12)]);
        sim.advance(Span::from_ms(1_500));
        assert_eq!(sim.state(2), Some(State::Completed), "{incarnation} {clock}");
        // The leases end by the executor's own clock.
        sim.executor(&at).reachable = false;
        sim.advance(Span::from_secs(30));
        assert_eq!(sim.run_count(), 4);
        assert_no_violations(&sim);
    }
}

/// The same where the executor is out of reach right after the odd entry.
#[test]
fn an_odd_clock_does_not_end_leases_early() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![Step { long_running: true, ..step(4) }]);
    sim.advance(Span::from_secs(3));
    let at = sim.executors_running(&task(1, 0))[0].clone();
    sim.executor(&at).reachable = false;
    let odd = Registration { clock: Steady(1 << 49), ..sim.registration_of(&at) };
    sim.handle(Event::Listed(Box::new(odd)));
    sim.advance(Span::from_secs(30));
    assert_eq!(sim.run_count(), 4);
    assert_no_violations(&sim);
}

/// An end of a run that is no task's is acknowledged, or the executor would report it at once again
/// and again.
#[test]
fn ends_of_unknown_runs_are_acknowledged() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![Step { long_running: true, ..step(1) }]);
    sim.advance(Span::from_ms(500));
    sim.executor("x0").foreign_end = 1;
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.executor("x0").foreign_end, 0);
}

/// A record that cannot be read hides runs that may be active, so the job does not go on.
#[test]
fn tasks_of_an_unreadable_record_are_not_started_again() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![Step { long_running: true, ..step(4) }]);
    sim.submit(job(2), vec![Step { long_running: true, ..step(4) }]);
    sim.advance(Span::from_secs(1));
    sim.progress.remove(&RecordId::first(job(1)));
    sim.unreadable.push(RecordId::first(job(1)));
    let at = sim.executors_running(&task(1, 0))[0].clone();
    sim.executor(&at).reachable = false;
    sim.take_over();
    sim.advance(Span::from_secs(3));
    sim.executor(&at).reachable = true;
    sim.advance(Span::from_secs(8));
    assert_eq!(sim.executors_running(&task(2, 0)).len(), 1);
    assert_no_violations(&sim);
}

/// Accepted jobs beyond all bounds, as a row of another writer may hold them.
#[test]
fn jobs_beyond_all_bounds_leave_a_shard_at_work() {
    let mut sim = Simulation::new(1);
    let huge = Step { count: u32::MAX, ..step(1) };
    let most = Resources { cpu: u64::MAX, memory: u64::MAX, accelerators: u64::MAX };
    let endless = Schedule { start_ms: 0, period_ms: 0, times: u32::MAX };
    let late = Schedule { start_ms: u64::MAX, period_ms: u64::MAX, times: u32::MAX };
    sim.submit(job(1), vec![huge]);
    sim.submit(job(2), vec![Step { depends_on: vec![7], ..step(1) }]);
    sim.submit(job(3), vec![Step { resources: most, estimate_ms: u64::MAX, ..step(2) }]);
    sim.submit(job(4), vec![Step { estimate_ms: u64::MAX, ..step(1) }; 2]);
    sim.submit_scheduled(job(5), vec![step(1)], Some(late));
    sim.submit_scheduled(job(6), vec![step(1)], Some(endless));
    sim.submit(job(7), vec![step(1)]);
    sim.advance(Span::from_secs(12));
    assert_eq!(sim.state(7), Some(State::Completed));
    sim.take_over();
    sim.submit(job(8), vec![step(1)]);
    sim.advance(Span::from_secs(12));
    assert_eq!(sim.state(8), Some(State::Completed));
    assert_no_violations(&sim);
}
