//! What the log tells of a run from its placement to its end: one test for each kind of evidence.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use support::executor::ActiveRun;
use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::{EndReason, Incarnation, Outcome, Refusal, Steady};
use sycamorerill_jobs::id::{ExecutorId, Run, StepId, TaskId};
use sycamorerill_jobs::shard::{
    Closing, Decision, Event, FirstReport, Inherited, Knowledge, LeaseBound, Order,
};
use sycamorerill_jobs::spec::Step;

const FIRST: Run = Run(1);

fn task(id: u64, index: u32) -> TaskId {
    StepId { job: job(id), occurrence: 0, step: 0 }.task(index)
}

fn id(name: &str) -> ExecutorId {
    ExecutorId::from(name)
}

/// Returns a simulation of two executors with a long-running task on each.
fn running() -> Simulation {
    let mut sim = Simulation::new(2);
    let lasting = Step { long_running: true, max_per_executor: Some(1), ..step(2) };
    sim.submit(job(1), vec![lasting]);
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.run_count(), 2);
    sim
}

/// Returns the task of job 1 that runs on `x0`.
fn task_at_x0(sim: &Simulation) -> TaskId {
    let is_first = sim.executors_running(&task(1, 0)) == ["x0"];
    let found = task(1, u32::from(!is_first));
    assert_eq!(sim.executors_running(&found), ["x0"]);
    found
}

fn born(sim: &mut Simulation, name: &str) -> Incarnation {
    Incarnation(sim.executor(name).incarnation)
}

/// Returns the evidence on which the only run of `task` on `x0` was closed, and what was known.
fn closed(sim: &Simulation, task: TaskId) -> (Closing, Knowledge) {
    let found: Vec<_> = sim
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Closed { order, by, knowledge }
                if order.task == task && order.run == FIRST && order.executor == id("x0") =>
            {
                Some((*by, *knowledge))
            }
            _ => None,
        })
        .collect();
    assert_eq!(found.len(), 1, "{:#?}", sim.log);
    found[0]
}

/// Returns all decisions that `select` returns something for.
fn decisions<'a, T>(sim: &'a Simulation, select: impl Fn(&'a Decision) -> Option<T>) -> Vec<T> {
    sim.decisions.iter().filter_map(select).collect()
}

fn inherited(sim: &Simulation, name: &str) -> Inherited {
    let found = decisions(sim, |decision| match decision {
        Decision::Inherited(found) if found.executor == id(name) => Some(found.clone()),
        _ => None,
    });
    assert_eq!(found.len(), 1, "{:#?}", sim.log);
    found[0].clone()
}

fn unlist(sim: &mut Simulation, name: &str) {
    sim.executor(name).unlisted = true;
    sim.handle(Event::Unlisted(id(name)));
}

fn restart(sim: &mut Simulation, name: &str) {
    let (now, incarnation) = (sim.now, sim.wall_ms());
    sim.executor(name).restart(now, incarnation);
}

#[test]
fn an_end_tells_where_the_run_was_placed_and_how_fresh_the_report_is() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_secs(3));
    let born = born(&mut sim, "x0");
    let placed = decisions(&sim, |decision| match decision {
        Decision::Placed { order, incarnation, .. } => Some((order.task, *incarnation)),
        _ => None,
    });
    assert_eq!(placed, [(task(1, 0), born)]);
    let knowledge = Knowledge { stage: "running", born, born_now: born, age: Span::ZERO };
    assert_eq!(closed(&sim, task(1, 0)), (Closing::Ended(EndReason::Done), knowledge));
}

#[test]
fn a_refusal_tells_that_the_order_was_out() {
    let mut sim = Simulation::new(1);
    sim.advance(Span::from_secs(2));
    sim.executor("x0").delays_orders = true;
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_ms(50));
    let order = Order { executor: id("x0"), task: task(1, 0), run: FIRST };
    sim.handle(Event::Started(order, Outcome::Refused(Refusal::Room, Some(Steady(0)))));
    sim.advance(Span::from_ms(10));
    let (by, knowledge) = closed(&sim, task(1, 0));
    assert_eq!((by, knowledge.stage), (Closing::Refused(Refusal::Room), "unknown"));
}

#[test]
fn a_start_that_was_not_sent_tells_since_when_the_executor_is_silent() {
    let mut sim = Simulation::new(1);
    sim.submit(job(2), vec![step(1)]);
    sim.advance(Span::from_secs(3));
    sim.executor("x0").address = SocketAddr::from(([10, 0, 0, 2], 7_000));
    sim.advance(Span::from_ms(400));
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_ms(50));
    let (by, knowledge) = closed(&sim, task(1, 0));
    assert_eq!((by, knowledge.stage), (Closing::NotSent, "sent"));
    assert!(knowledge.age >= Span::from_ms(400), "{knowledge:?}");
}

#[test]
fn a_run_without_room_or_record_tells_that_no_order_was_sent() {
    let mut sim = Simulation::new(1);
    sim.advance(Span::from_secs(2));
    sim.store_available = false;
    sim.submit(job(1), vec![step(2)]);
    sim.submit(job(2), vec![step(1)]);
    sim.advance(Span::from_ms(50));
    sim.cancel(job(2));
    sim.executor("x0").capacity.cpu = 1_000;
    sim.list_executor(&id("x0"));
    sim.store_available = true;
    sim.advance(Span::from_ms(50));
    let (by, knowledge) = closed(&sim, task(2, 0));
    assert_eq!((by, knowledge.stage), (Closing::NotRecorded, "recording"));
    let (by, knowledge) = closed(&sim, task(1, 0));
    assert_eq!((by, knowledge.stage), (Closing::NoCapacity, "recording"));
}

/// A predecessor's order was not carried out, and the first report shows it.
#[test]
fn the_first_report_under_an_epoch_is_logged_with_the_runs_that_it_lacks() {
    let mut sim = Simulation::new(1);
    sim.advance(Span::from_secs(2));
    sim.submit(job(2), vec![Step { long_running: true, ..step(2) }]);
    sim.advance(Span::from_secs(1));
    sim.executor("x0").delays_orders = true;
    sim.submit(job(1), vec![step(1)]);
    sim.advance(Span::from_ms(50));
    sim.executor("x0").delays_orders = false;
    sim.take_over();
    sim.advance(Span::from_ms(10));
    let (now, born) = (sim.now, born(&mut sim, "x0"));
    let found = inherited(&sim, "x0");
    assert_eq!((found.runs, found.bound), (3, LeaseBound::Longest));
    assert_eq!((found.born_first, found.born_last, found.born_listed), (born, born, Some(born)));
    assert!(found.wait > Span::from_ms(6_500) && found.wait < Span::from_ms(7_000));
    sim.advance(Span::from_ms(10));
    let clock = sim.executor("x0").clock(now + Span::from_ms(10));
    let first = FirstReport { executor: id("x0"), incarnation: born, clock, listed: 2, missing: 1 };
    let fenced = decisions(&sim, |decision| match decision {
        Decision::Fenced(first) => Some(first.clone()),
        _ => None,
    });
    assert_eq!(fenced, [first], "{:#?}", sim.log);
    let knowledge = Knowledge { stage: "inherited", born, born_now: born, age: Span::ZERO };
    assert_eq!(closed(&sim, task(1, 0)), (Closing::NotListed, knowledge));
    sim.advance(Span::from_secs(3));
    assert_eq!(decisions(&sim, |d| matches!(d, Decision::Fenced(_)).then_some(())).len(), 1);
}

#[test]
fn the_end_of_own_leases_tells_the_clock_and_the_deadline() {
    let mut sim = running();
    let task = task_at_x0(&sim);
    sim.executor("x0").reachable = false;
    let born = born(&mut sim, "x0");
    sim.advance(Span::from_secs(9));
    let (by, knowledge) = closed(&sim, task);
    let Closing::Lapsed { clock, deadline } = by else {
        panic!("{by:?}");
    };
    let actual = sim.executor("x0").deadline;
    assert!(clock > deadline && deadline.0 >= actual, "{clock:?} {deadline:?} {actual}");
    assert_eq!((knowledge.stage, knowledge.born, knowledge.born_now), ("running", born, born));
    assert!(knowledge.age >= Span::from_ms(2_500) && knowledge.age <= Span::from_secs(9));
}

#[test]
fn the_end_of_inherited_leases_tells_how_long_it_was_waited_for() {
    let mut sim = running();
    let task = task_at_x0(&sim);
    unlist(&mut sim, "x0");
    sim.take_over();
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(8));
    let found = inherited(&sim, "x0");
    assert_eq!((found.born_listed, found.bound), (None, LeaseBound::Longest));
    let (by, knowledge) = closed(&sim, task);
    let Closing::LapsedInherited { waited, bound: LeaseBound::Longest } = by else {
        panic!("{by:?}");
    };
    assert!(waited >= found.wait && waited <= found.wait + Span::from_ms(100), "{waited:?}");
    assert_eq!((knowledge.stage, knowledge.age), ("inherited", waited));
}

#[test]
fn the_recorded_end_of_inherited_leases_is_told_apart() {
    let mut sim = running();
    let task = task_at_x0(&sim);
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(4));
    sim.take_over();
    sim.advance(Span::from_secs(3));
    assert_eq!(inherited(&sim, "x0").bound, LeaseBound::Recorded);
    let (by, knowledge) = closed(&sim, task);
    let is_recorded = matches!(by, Closing::LapsedInherited { bound: LeaseBound::Recorded, .. });
    assert!(is_recorded, "{by:?}");
    assert_eq!(knowledge.stage, "inherited");
}

#[test]
fn leases_of_a_new_incarnation_at_a_takeover_are_told_apart() {
    let mut sim = running();
    let task = task_at_x0(&sim);
    let before = born(&mut sim, "x0");
    restart(&mut sim, "x0");
    let after = born(&mut sim, "x0");
    sim.take_over();
    sim.executor("x0").reachable = false;
    sim.advance(Span::from_secs(30));
    let found = inherited(&sim, "x0");
    assert_eq!((found.born_last, found.born_listed), (before, Some(after)));
    let (by, knowledge) = closed(&sim, task);
    let is_restarted = matches!(by, Closing::LapsedInherited { bound: LeaseBound::Restarted, .. });
    assert!(is_restarted, "{by:?}");
    assert_eq!((knowledge.born, knowledge.born_now), (before, after));
}

#[test]
fn a_run_that_a_later_incarnation_lacks_tells_both_incarnations() {
    let mut sim = running();
    let task = task_at_x0(&sim);
    let before = born(&mut sim, "x0");
    restart(&mut sim, "x0");
    let after = born(&mut sim, "x0");
    sim.list_executor(&id("x0"));
    sim.advance(Span::from_ms(500));
    let (by, knowledge) = closed(&sim, task);
    assert_eq!((by, knowledge.stage), (Closing::Gone, "running"));
    assert_eq!((knowledge.born, knowledge.born_now), (before, after));
}

#[test]
fn another_executor_at_the_address_is_told_apart_from_a_later_incarnation() {
    let mut sim = running();
    let task = task_at_x0(&sim);
    let now = sim.now;
    sim.executor("x0").restart(now, 0);
    sim.executor("x0").replaced = true;
    sim.handle(Event::Unlisted(id("x0")));
    sim.advance(Span::from_secs(3));
    let (by, knowledge) = closed(&sim, task);
    assert_eq!((by, knowledge.stage), (Closing::Replaced, "running"));
    assert!(knowledge.age > Span::ZERO);
}

#[test]
fn members_of_a_gang_are_closed_with_the_end_of_another() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![Step { gang: true, ..step(3) }]);
    sim.advance(Span::from_secs(4));
    let evidence: BTreeSet<String> =
        (0..3).map(|index| format!("{:?}", closed(&sim, task(1, index)).0)).collect();
    assert_eq!(evidence, BTreeSet::from(["Ended(Done)".to_owned(), "GangDone".to_owned()]));
}

/// A run that comes after its task was given up, as by a late order, must be seen.
#[test]
fn a_run_that_no_record_has_is_logged() {
    let mut sim = running();
    let born = born(&mut sim, "x0");
    let late = ActiveRun {
        run: Run(7),
        ends_at: None,
        limit_percent: 100,
        best_effort_cpu: None,
        is_latency_critical: false,
    };
    sim.executor("x0").running.insert(task(9, 0), late);
    sim.advance(Span::from_secs(5));
    let unknown = decisions(&sim, |decision| match decision {
        Decision::Unknown { order, incarnation } => Some((order.clone(), *incarnation)),
        _ => None,
    });
    let order = Order { executor: id("x0"), task: task(9, 0), run: Run(7) };
    assert_eq!(unknown, [(order, born)]);
    assert!(sim.executors_running(&task(9, 0)).is_empty());
}

#[test]
fn a_superseded_owner_tells_which_executor_has_refused() {
    let mut sim = running();
    assert_eq!(sim.shard.superseded_by(), None);
    sim.executor("x1").fence = 2;
    sim.advance(Span::from_secs(5));
    assert_eq!(sim.shard.superseded_by(), Some(&id("x1")));
}
