//! Takeovers of a shard while some executors do not reach the store or the successor.

mod support;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{ExecutorId, Image, StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::{Resources, Step};

fn task(index: u32) -> TaskId {
    StepId { job: job(1), occurrence: 0, step: 0 }.task(index)
}

/// Returns a simulation in which long-running tasks run on all executors.
fn running(executors: u32, tasks: u32) -> Simulation {
    let mut sim = Simulation::new(executors);
    let spread = Some(tasks.div_ceil(executors));
    let step = Step { long_running: true, max_per_executor: spread, ..step(tasks) };
    sim.submit(job(1), vec![step]);
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.run_count(), tasks as usize);
    sim
}

/// Removes the entry of an executor, as the store does if the executor does not reach it.
fn unlist(sim: &mut Simulation, id: &str) {
    sim.executor(id).unlisted = true;
    sim.handle(sycamorerill_jobs::shard::Event::Unlisted(ExecutorId::from(id)));
}

/// Returns the number of runs that have ended on all executors.
fn ended(sim: &Simulation) -> u64 {
    sim.executors.values().map(|executor| executor.end_count).sum()
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// A successor took executors that could not reach the store for gone, and started the tasks that
/// ran there a second time.
#[test]
fn runs_go_on_at_executors_that_are_unlisted_at_a_takeover() {
    let mut sim = running(4, 6);
    let before = sim.executors_running(&task(0));
    unlist(&mut sim, &before[0]);
    sim.take_over();
    sim.advance(Span::from_secs(20));
    assert_eq!(sim.executors_running(&task(0)), before);
    assert_eq!(ended(&sim), 0);
    assert_eq!(sim.run_count(), 6);
    assert_no_violations(&sim);
}

/// An executor that neither the store nor the successor reaches runs its tasks until the leases
/// that the predecessor granted have ended.
#[test]
fn tasks_of_executors_out_of_reach_at_a_takeover_wait_for_the_end_of_their_leases() {
    let mut sim = running(4, 6);
    let at = sim.executors_running(&task(0))[0].clone();
    unlist(&mut sim, &at);
    sim.take_over();
    sim.executor(&at).reachable = false;
    sim.advance(Span::from_secs(8));
    assert_ne!(sim.executors_running(&task(0)), [at]);
    assert_eq!(sim.run_count(), 6);
    assert_no_violations(&sim);
}

/// Two takeovers within one lease; the second successor must not forget the first owner's leases.
#[test]
fn leases_of_the_first_of_three_owners_are_waited_for() {
    let mut sim = running(4, 6);
    let at = sim.executors_running(&task(0))[0].clone();
    unlist(&mut sim, &at);
    sim.executor(&at).reachable = false;
    sim.take_over();
    sim.advance(Span::from_secs(1));
    sim.take_over();
    sim.advance(Span::from_secs(8));
    assert_eq!(sim.run_count(), 6);
    assert_no_violations(&sim);
}

/// An owner that has lost its claim and does not know it yet renews leases of an executor that the
/// successor does not reach.
#[test]
fn leases_that_an_unaware_predecessor_renews_are_waited_for() {
    let mut sim = running(4, 6);
    let at = sim.executors_running(&task(0))[0].clone();
    unlist(&mut sim, &at);
    sim.take_over();
    sim.executor(&at).reachable = false;
    for _ in 0..14 {
        let now = sim.now;
        let deadline = sim.executor(&at).clock(now).0 + 5_000;
        sim.executor(&at).extend_lease(now, deadline);
        sim.advance(Span::from_ms(100));
    }
    sim.advance(Span::from_secs(8));
    assert_eq!(sim.run_count(), 6);
    assert_no_violations(&sim);
}

/// The successor of an owner that has waited for a silent executor waits no longer than that owner
/// would have.
#[test]
fn a_successor_waits_only_for_the_recorded_end_of_leases() {
    let mut sim = running(4, 6);
    let at = sim.executors_running(&task(0))[0].clone();
    sim.executor(&at).reachable = false;
    sim.advance(Span::from_secs(4));
    sim.take_over();
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.run_count(), 6, "{:#?}", sim.log);
    assert_no_violations(&sim);
}

/// Leases that are renewed again after their end was recorded would outlast the record.
#[test]
fn leases_are_not_renewed_while_an_earlier_end_is_recorded() {
    let mut sim = running(4, 6);
    let at = sim.executors_running(&task(0))[0].clone();
    sim.executor(&at).reachable = false;
    sim.advance(Span::from_secs(2));
    sim.store_available = false;
    sim.executor(&at).reachable = true;
    sim.advance(Span::from_secs(2));
    sim.take_over();
    sim.executor(&at).reachable = false;
    sim.store_available = true;
    sim.advance(Span::from_secs(8));
    assert_eq!(sim.run_count(), 6);
    assert_no_violations(&sim);
}

/// A silent executor that answers again keeps its runs once its lease end is no longer recorded.
#[test]
fn runs_go_on_at_an_executor_that_was_silent_for_less_than_a_lease() {
    let mut sim = running(4, 6);
    let before = sim.executors_running(&task(0));
    sim.executor(&before[0]).reachable = false;
    sim.advance(Span::from_secs(2));
    sim.executor(&before[0]).reachable = true;
    sim.advance(Span::from_secs(20));
    assert_eq!(sim.executors_running(&task(0)), before);
    assert_eq!(ended(&sim), 0);
    assert_no_violations(&sim);
}

/// An entry that is back after a takeover finds its executor asked all along, so that its leases
/// did not end.
#[test]
fn runs_go_on_at_an_executor_that_is_listed_again_after_a_takeover() {
    let mut sim = running(4, 6);
    let before = sim.executors_running(&task(0));
    unlist(&mut sim, &before[0]);
    sim.take_over();
    sim.advance(Span::from_secs(1));
    sim.executor(&before[0]).unlisted = false;
    sim.list_executor(&ExecutorId::from(before[0].as_str()));
    sim.advance(Span::from_secs(20));
    assert_eq!(sim.executors_running(&task(0)), before);
    assert_eq!(ended(&sim), 0);
    assert_no_violations(&sim);
}

/// The capacity of an executor that is not listed is not known, so its reports would seem to be of
/// many times the processors that there are.
#[test]
fn reports_of_unlisted_executors_teach_the_model_nothing() {
    let mut sim = Simulation::new(1);
    let image = |name: &str| Some(Image::from(name));
    let serving = Step { long_running: true, image: image("s"), objective_ms: Some(50), ..step(2) };
    sim.submit(job(1), vec![serving]);
    sim.submit(job(2), vec![Step { best_effort: true, image: image("f"), ..step(2) }]);
    sim.executor("x0").run_time = Span::from_secs(60);
    sim.advance(Span::from_secs(5));
    // The model is recorded together with a change of a job.
    sim.cancel(job(3));
    sim.submit(job(3), vec![step(1)]);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.run_count(), 4);
    let before = sim.model.clone();
    assert!(before.as_ref().is_some_and(|model| !model.serving.is_empty()));
    unlist(&mut sim, "x0");
    sim.take_over();
    sim.executor("x0").tail_ms = 45;
    sim.advance(Span::from_secs(10));
    sim.cancel(job(4));
    sim.submit(job(4), vec![step(1)]);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.run_count(), 4);
    assert_eq!(sim.model, before);
}

/// A recorded lease end may be past at the takeover although a former owner has renewed the leases since.
/// The successor closed the runs while its first probe was under way.
#[test]
fn the_first_answer_after_a_takeover_is_awaited_whatever_the_recorded_lease_end() {
    let mut sim = running(4, 4);
    let before = sim.executors_running(&task(0));
    sim.lease_ends.insert(ExecutorId::from(before[0].as_str()), sim.now);
    sim.probe_latency = Span::from_ms(400);
    sim.take_over();
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.executors_running(&task(0)), before);
    assert_eq!(ended(&sim), 0);
    assert_no_violations(&sim);
}

/// The first report under an epoch with the most run ends it can hold closes no run that it leaves
/// out, and later ones closed no run of a predecessor either.
#[test]
fn an_inherited_run_that_a_first_report_of_500_ends_leaves_out_is_closed_later() {
    let mut sim = Simulation::new(1);
    let small = Resources { cpu: 10, memory: 10, accelerators: 0 };
    sim.submit(job(1), vec![Step { resources: small, ..step(600) }]);
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), 600);
    // The owner ends between the record of a run and its order.
    sim.link.suspends_at_record = true;
    sim.submit(job(2), vec![step(1)]);
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.executor("x0").ended.len(), 600);
    sim.take_over();
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.state(2), Some(State::Completed));
    assert_no_violations(&sim);
}
