//! Former owners that go on beside their successors, and evidence of theirs that outlives them.

mod support;

use support::owners::{MAX_UNCONFIRMED, RENEWAL_TIMEOUT};
use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{ExecutorId, StepId, TaskId};
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::Step;

/// Time after which each task must run again whatever was lost.
const RECOVERY: Span = Span::from_secs(40);

/// When a former owner goes on, after its last confirmed write: just before it sends no start any
/// more, and later.
const LATEST_START: Span = Span::from_ms(MAX_UNCONFIRMED.as_ms() - 100);
const TOO_LATE: Span = Span::from_ms(2_900);

fn first_task() -> TaskId {
    StepId { job: job(1), occurrence: 0, step: 0 }.task(0)
}

fn submit_one(sim: &mut Simulation) {
    sim.submit(job(1), vec![Step { long_running: true, ..step(1) }]);
}

/// Returns a simulation with one long-running task, and the name of its executor.
fn running() -> (Simulation, String) {
    let mut sim = Simulation::new(3);
    submit_one(&mut sim);
    sim.advance(Span::from_secs(4));
    let at = sim.executors_running(&first_task())[0].clone();
    (sim, at)
}

/// Lets the next owner not reach an executor.
fn cut_from_successor(sim: &mut Simulation, id: &str) {
    let next = sim.epoch + 1;
    sim.executor(id).unreached_by.insert(next);
}

fn unlist(sim: &mut Simulation, id: &str) {
    sim.executor(id).unlisted = true;
    sim.handle(Event::Unlisted(ExecutorId::from(id)));
}

/// Restarts an executor under its name, with a clock that starts at 0.
fn restart(sim: &mut Simulation, id: &str) {
    let (now, incarnation) = (sim.now, sim.wall_ms());
    sim.executor(id).restart(now, incarnation);
}

fn list(sim: &mut Simulation, id: &str) {
    sim.list_executor(&ExecutorId::from(id));
}

fn assert_runs_once(sim: &mut Simulation) {
    sim.advance(RECOVERY);
    assert!(sim.violations.is_empty(), "{:?}\n{:#?}", sim.violations, sim.log);
    assert_eq!(sim.run_count(), 1, "{:#?}", sim.log);
}

/// Suspends the owner between the record and the order of a task. Returns the name of the executor.
fn suspend_at_record(sim: &mut Simulation) -> String {
    sim.link.suspends_at_record = true;
    submit_one(sim);
    sim.advance(Span::from_ms(10));
    let mut open = sim.progress.values().flat_map(|record| &record.tasks).flat_map(|t| &t.open);
    open.next().map_or_else(String::new, |open| open.executor.to_string())
}

/// An owner is suspended between its record and its order, which it sends when it goes on, unless
/// that is too late. The successor does not reach the executor.
fn resume_after(claimed_after: Span, resumed_after: Span, is_sent: bool) {
    let mut sim = Simulation::new(3);
    sim.advance(Span::from_secs(2));
    let at = suspend_at_record(&mut sim);
    sim.advance(claimed_after);
    cut_from_successor(&mut sim, &at);
    sim.take_over_from_unaware();
    sim.advance(resumed_after.saturating_sub(claimed_after));
    sim.resume_former_owners(Some(Span::from_ms(400)));
    sim.advance(Span::from_ms(10));
    let expected = is_sent.then_some(at);
    assert_eq!(sim.executors_running(&first_task()), Vec::from_iter(expected));
    assert_runs_once(&mut sim);
}

/// The claim does not wait for the owner, which is live but lacks the capacity for the shard.
#[test]
fn a_start_of_a_live_former_owner_is_waited_for() {
    resume_after(Span::ZERO, LATEST_START, true);
}

/// Such a start granted a lease beyond the time that the successor waits.
#[test]
fn a_former_owner_sends_no_start_once_a_successor_may_exist() {
    resume_after(Span::ZERO, TOO_LATE, false);
    resume_after(RENEWAL_TIMEOUT, TOO_LATE, false);
}

/// The executor restarts with a lower clock after the takeover, and would grant its longest lease for
/// the deadline of its former clock. The successor knows of the restart from the list.
#[test]
fn a_start_of_a_former_owner_reaches_no_new_incarnation() {
    let mut sim = Simulation::new(3);
    for executor in sim.executors.values_mut() {
        executor.clock_at_start = 1_000_000;
    }
    sim.restart_shard();
    sim.advance(Span::from_secs(2));
    let at = suspend_at_record(&mut sim);
    sim.advance(RENEWAL_TIMEOUT);
    cut_from_successor(&mut sim, &at);
    sim.take_over_from_unaware();
    sim.advance(Span::from_ms(20));
    restart(&mut sim, &at);
    list(&mut sim, &at);
    sim.resume_former_owners(Some(Span::from_ms(400)));
    sim.advance(Span::from_ms(10));
    assert_eq!(sim.run_count(), 0);
    assert_runs_once(&mut sim);
}

/// The successor reaches the executor, which does not list the run, and starts the task elsewhere. The
/// executor then restarts and forgets the successor's epoch.
#[test]
fn a_start_of_a_former_owner_after_a_restart_does_not_run_a_task_twice() {
    let mut sim = Simulation::new(3);
    sim.advance(Span::from_secs(2));
    let at = suspend_at_record(&mut sim);
    sim.advance(RENEWAL_TIMEOUT);
    // Only the successor is told that there is no room for the task.
    sim.executor(&at).capacity.cpu = 0;
    sim.take_over_from_unaware();
    sim.advance(Span::from_ms(500));
    assert_eq!(sim.run_count(), 1);
    restart(&mut sim, &at);
    sim.resume_former_owners(Some(Span::from_ms(400)));
    sim.advance(Span::from_ms(10));
    assert_ne!(sim.executors_running(&first_task()), [at]);
    assert_runs_once(&mut sim);
}

/// A former owner that does not reach the store renews the leases of the only executor that it has
/// runs on, and that its successor does not reach: no other executor refuses it.
#[test]
fn leases_that_a_former_owner_renews_without_the_store_end() {
    let (mut sim, at) = running();
    sim.cut_owner_from_store();
    sim.advance(RENEWAL_TIMEOUT);
    cut_from_successor(&mut sim, &at);
    sim.take_over_from_unaware();
    assert_runs_once(&mut sim);
}

/// The same, with an executor that both reach, which refuses the former owner.
#[test]
fn a_former_owner_that_an_executor_refuses_renews_no_leases() {
    let mut sim = Simulation::new(3);
    let spread = Step { long_running: true, max_per_executor: Some(1), ..step(2) };
    sim.submit(job(1), vec![spread]);
    sim.advance(Span::from_secs(4));
    let at = sim.executors_running(&first_task())[0].clone();
    sim.cut_owner_from_store();
    sim.advance(RENEWAL_TIMEOUT);
    cut_from_successor(&mut sim, &at);
    sim.take_over_from_unaware();
    sim.advance(RECOVERY);
    assert!(sim.violations.is_empty(), "{:?}\n{:#?}", sim.violations, sim.log);
    assert_eq!(sim.run_count(), 2, "{:#?}", sim.log);
}

/// The outage of the store was only the successor's own, so an executor that does not reach the
/// store is not gone.
#[test]
fn an_unlisted_executor_is_not_gone_after_an_outage_that_was_only_the_successors() {
    let (mut sim, at) = running();
    unlist(&mut sim, &at);
    // The lease was granted one second before the takeover.
    for _ in 0..1_000 {
        let (now, executor) = (sim.now, sim.executor(&at));
        if executor.deadline.saturating_sub(executor.clock(now).0) == 4_000 {
            break;
        }
        sim.advance(Span::from_ms(10));
    }
    sim.executor(&at).reachable = false;
    sim.take_over();
    assert_runs_once(&mut sim);
}

/// Returns a simulation in which the order to start a task is delayed, and the name of the executor,
/// which has no room for the task any more.
fn delayed_order() -> (Simulation, String) {
    let mut sim = Simulation::new(3);
    for executor in sim.executors.values_mut() {
        executor.clock_at_start = 1_000_000;
    }
    sim.restart_shard();
    sim.advance(Span::from_secs(2));
    for executor in sim.executors.values_mut() {
        executor.delays_orders = true;
    }
    submit_one(&mut sim);
    sim.advance(Span::from_ms(20));
    let executor = sim.delayed_orders.iter().find_map(|(_, command)| match command {
        sycamorerill_jobs::shard::Command::Start { order, .. } => Some(order.executor.to_string()),
        _ => None,
    });
    let at = executor.unwrap_or_default();
    for executor in sim.executors.values_mut() {
        executor.delays_orders = false;
    }
    sim.executor(&at).capacity.cpu = 0;
    (sim, at)
}

/// Restarts the executor once the task runs elsewhere, or just before the longest delay of orders is
/// over, and delivers the order then.
fn deliver_after_restart(mut sim: Simulation, at: &str) {
    let latest = sim.now + sim.settings.max_order_delay.saturating_sub(Span::from_ms(100));
    while sim.run_count() == 0 && sim.now < latest {
        sim.advance(Span::from_ms(10));
    }
    restart(&mut sim, at);
    sim.deliver_delayed_orders();
    assert!(!sim.executors_running(&first_task()).iter().any(|found| found == at));
    assert_runs_once(&mut sim);
}

/// An order of a predecessor is delayed, and the run is closed under the successor's epoch. The
/// executor restarts, forgets that epoch and carries the order out.
#[test]
fn a_predecessors_order_that_outlives_a_restart_does_not_run_a_task_twice() {
    let (mut sim, at) = delayed_order();
    list(&mut sim, &at);
    sim.take_over();
    deliver_after_restart(sim, &at);
}

/// The successor knows of the restart, but a second one follows within the delay of the order.
#[test]
fn a_predecessors_order_that_outlives_a_restart_after_the_takeover_does_not_run_a_task_twice() {
    let (mut sim, at) = delayed_order();
    sim.take_over();
    restart(&mut sim, &at);
    list(&mut sim, &at);
    deliver_after_restart(sim, &at);
}

/// An order without an answer outlives the restart for which its run is stopped, and another one.
#[test]
fn an_order_that_outlives_two_restarts_does_not_run_a_task_twice() {
    let (mut sim, at) = delayed_order();
    restart(&mut sim, &at);
    list(&mut sim, &at);
    deliver_after_restart(sim, &at);
}
