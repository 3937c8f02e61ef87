//! Evacuation of failure domains. The simulation notes each start that is ordered in an evacuated
//! domain as a violation.

#![allow(clippy::unwrap_used, reason = "a case that can't be generated ends the test")]

mod support;

use std::collections::BTreeSet;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::evacuation::{Change, Evacuations, Update};
use sycamorerill_jobs::executor::EndReason;
use sycamorerill_jobs::id::{DomainName, ExecutorId, StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::{Closing, Decision, Evacuated};
use sycamorerill_jobs::spec::{Resources, Step};

/// Number of random cases in a run with fixed seeds.
const CASES: u64 = 48;
/// Number of random bytes from which a case is generated.
const CASE_BYTES: u64 = 1_024;

/// Returns a simulation whose executors are in these domains in turn.
fn site(executors: u32, domains: &[&'static str]) -> Simulation {
    let mut sim = Simulation::new(executors);
    let ids: Vec<ExecutorId> = sim.executors.keys().cloned().collect();
    for (number, id) in ids.iter().enumerate() {
        sim.executor(id.as_str()).domain = domains[number % domains.len()];
        sim.list_executor(id);
    }
    sim.advance(Span::from_ms(200));
    sim
}

fn task(id: u64, index: u32) -> TaskId {
    StepId { job: job(id), occurrence: 0, step: 0 }.task(index)
}

fn long_running(count: u32) -> Step {
    Step { long_running: true, max_per_executor: Some(1), ..step(count) }
}

/// Returns the number of runs in a domain.
fn runs_in(sim: &Simulation, domain: &str) -> usize {
    let inside = sim.executors.values().filter(|executor| executor.domain == domain);
    inside.map(|executor| executor.running.len()).sum()
}

fn closed_as_evacuated(sim: &Simulation) -> usize {
    let is_evacuated =
        |found: &&Decision| matches!(found, Decision::Closed { by: Closing::Evacuated, .. });
    sim.decisions.iter().filter(is_evacuated).count()
}

fn logged(sim: &Simulation) -> Vec<&Evacuated> {
    let lines = sim.decisions.iter().filter_map(|decision| match decision {
        Decision::Evacuated(evacuated) => Some(evacuated),
        _ => None,
    });
    lines.collect()
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:#?}\n{:#?}", sim.violations, sim.log);
}

/// Stopping what runs would cost callers their long-running tasks; without renewed leases it would
/// end as well.
#[test]
fn runs_in_an_evacuated_domain_go_on_and_nothing_follows_them() {
    let mut sim = site(4, &["north", "south"]);
    sim.submit(job(1), vec![long_running(4)]);
    sim.advance(Span::from_secs(1));
    sim.evacuate(&["north"]);
    for id in 2..42 {
        sim.submit(job(id), vec![step(4)]);
        sim.advance(Span::from_ms(500));
    }
    sim.advance(Span::from_secs(20));
    assert_eq!((runs_in(&sim, "north"), runs_in(&sim, "south")), (2, 2));
    assert!((2..42).all(|id| sim.state(id) == Some(State::Completed)));
    assert!(
        sim.executors
            .values()
            .all(|executor| { executor.ended.iter().all(|end| end.reason == EndReason::Done) })
    );
    assert_no_violations(&sim);
}

/// A run that waits for its record, or for an owner that is busy, would start after the evacuation.
#[test]
fn recorded_runs_without_an_order_go_elsewhere() {
    let mut sim = site(4, &["north", "south"]);
    sim.store_available = false;
    sim.submit(job(1), vec![long_running(4)]);
    sim.submit(job(2), vec![step(8)]);
    sim.advance(Span::from_ms(500));
    sim.evacuate(&["north"]);
    sim.store_available = true;
    sim.advance(Span::from_secs(6));
    assert!(closed_as_evacuated(&sim) > 0);
    assert_eq!((runs_in(&sim, "north"), runs_in(&sim, "south")), (0, 2));
    assert_eq!(sim.state(2), Some(State::Completed));
    assert_no_violations(&sim);
}

/// A repeated order would start a task in the domain, and so would the first one where it is carried
/// out late.
#[test]
fn an_order_without_an_answer_is_not_repeated() {
    let mut sim = site(4, &["north", "south"]);
    sim.evacuate(&["south"]);
    for id in ["x0", "x2"] {
        sim.executor(id).delays_orders = true;
    }
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_ms(100));
    sim.evacuate(&["north"]);
    sim.advance(Span::from_ms(600));
    for id in ["x0", "x2"] {
        sim.executor(id).delays_orders = false;
    }
    sim.advance(Span::from_secs(3));
    assert_eq!(runs_in(&sim, "south"), 2, "{:#?}", sim.log);
    sim.deliver_delayed_orders();
    sim.advance(Span::from_secs(1));
    assert_eq!((runs_in(&sim, "north"), runs_in(&sim, "south")), (0, 2));
    assert_no_violations(&sim);
}

/// Tasks of an executor that restarts would start there again.
#[test]
fn tasks_of_executors_that_restart_or_fail_start_elsewhere() {
    let mut sim = site(6, &["north", "south", "south"]);
    sim.submit(job(1), vec![long_running(3)]);
    sim.advance(Span::from_secs(1));
    sim.evacuate(&["north"]);
    let (now, incarnation) = (sim.now, sim.wall_ms());
    let north: Vec<String> = ["x0", "x3"].map(str::to_owned).to_vec();
    let tasks = runs_in(&sim, "north");
    sim.executor(&north[0]).restart(now, incarnation);
    sim.list_executor(&ExecutorId::from(north[0].as_str()));
    let others: Vec<TaskId> = sim.executor(&north[1]).running.keys().copied().collect();
    for task in others {
        sim.executor(&north[1]).end_run(&task, EndReason::Failed);
    }
    sim.advance(Span::from_secs(4));
    assert_eq!((runs_in(&sim, "north"), sim.run_count()), (0, 3), "{tasks} ran there");
    assert_no_violations(&sim);
}

/// Members of a gang elsewhere would wait for one that does not start until they give up, after 3 s.
#[test]
fn a_gang_is_placed_again_as_a_whole() {
    let mut sim = site(6, &["north", "south", "south"]);
    sim.store_available = false;
    let spread = Step { gang: true, max_per_executor: Some(1), ..step(6) };
    sim.submit(job(1), vec![Step { gang: true, ..spread }]);
    sim.submit(job(2), vec![Step { gang: true, max_per_executor: Some(2), ..step(6) }]);
    sim.advance(Span::from_ms(200));
    sim.evacuate(&["north"]);
    sim.store_available = true;
    sim.advance(Span::from_ms(700));
    let of = |sim: &Simulation, id| {
        (0..6).filter(|index| !sim.executors_running(&task(id, *index)).is_empty()).count()
    };
    // The first one needs six executors, and four are left.
    assert_eq!((of(&sim, 1), of(&sim, 2)), (0, 6), "{:#?}", sim.log);
    sim.evacuate(&[]);
    sim.advance(Span::from_secs(4));
    assert_eq!([1, 2].map(|id| sim.state(id)), [Some(State::Completed); 2]);
    assert_no_violations(&sim);
}

/// With all domains evacuated tasks must wait, also those of a successor, and start at once when
/// one is taken back.
#[test]
fn tasks_wait_while_no_domain_is_left() {
    let mut sim = site(4, &["north", "south"]);
    sim.evacuate(&["south"]);
    sim.evacuate(&["south", "north"]);
    sim.submit(job(1), vec![long_running(2)]);
    sim.advance(Span::from_secs(2));
    sim.take_over();
    sim.submit(job(2), vec![step(2)]);
    sim.advance(Span::from_secs(2));
    assert_eq!(sim.run_count(), 0);
    let lines = logged(&sim);
    assert!(lines.last().is_some_and(|line| line.is_everywhere && line.executors == 4));
    sim.evacuate(&["south"]);
    sim.advance(Span::from_ms(20));
    assert_eq!((runs_in(&sim, "north"), sim.run_count()), (4, 4));
    // At any time between two passes that try all executors.
    for id in 10..20 {
        sim.evacuate(&["south", "north"]);
        sim.submit(job(id), vec![step(1)]);
        sim.advance(Span::from_ms(10 * id));
        sim.evacuate(&["south"]);
        sim.advance(Span::from_ms(20));
        assert_eq!(sim.executors_running(&task(id, 0)).len(), 1, "job {id}");
    }
    assert_no_violations(&sim);
}

/// The line must tell a name that no executor has, and again when the first executor appears.
#[test]
fn a_change_of_the_set_is_logged_once_with_unknown_names() {
    let mut sim = site(4, &["north", "south"]);
    sim.submit(job(1), vec![long_running(4)]);
    sim.advance(Span::from_secs(1));
    sim.evacuate(&["north", "nord"]);
    sim.advance(Span::from_secs(2));
    let lines = logged(&sim);
    assert_eq!(lines.len(), 1);
    let line = lines[0];
    assert_eq!((line.executors, line.runs, line.is_everywhere), (2, 2, false));
    assert_eq!(line.unknown, BTreeSet::from([DomainName::from("nord")]));
    sim.executor("x1").domain = "nord";
    sim.list_executor(&ExecutorId::from("x1"));
    sim.submit(job(2), vec![step(8)]);
    sim.advance(Span::from_secs(2));
    let lines = logged(&sim);
    assert_eq!((lines.len(), lines[1].executors, lines[1].unknown.len()), (2, 3, 0));
    assert_eq!(sim.executor("x1").running.len(), 1);
    assert_no_violations(&sim);
}

/// A successor that placed before it knew the set would start its first tasks in the domain.
#[test]
fn a_successor_starts_nothing_in_an_evacuated_domain() {
    let mut sim = site(4, &["north", "south"]);
    sim.submit(job(1), vec![long_running(4)]);
    sim.advance(Span::from_secs(1));
    sim.evacuate(&["north"]);
    sim.submit(job(2), vec![step(12)]);
    sim.take_over();
    sim.submit(job(3), vec![step(12)]);
    sim.advance(Span::from_ms(700));
    sim.take_over();
    sim.advance(Span::from_secs(5));
    assert_eq!((runs_in(&sim, "north"), runs_in(&sim, "south")), (2, 2));
    assert_eq!([2, 3].map(|id| sim.state(id)), [Some(State::Completed); 2]);
    assert_no_violations(&sim);
}

/// Executors that are taken back are cold; those that are warm, or warm soon, get work first, and the
/// others get it at once when these are full.
#[test]
fn cold_executors_get_work_after_warm_ones() {
    let mut sim = site(4, &["north", "south"]);
    sim.evacuate(&["north"]);
    for (id, seconds) in [("x0", 9), ("x2", 3)] {
        sim.executor(id).warm_at = sim.now + Span::from_secs(seconds);
        sim.list_executor(&ExecutorId::from(id));
    }
    sim.advance(Span::from_ms(100));
    sim.evacuate(&[]);
    let whole = Resources { cpu: 8_000, memory: 1_000, accelerators: 0 };
    // A task of 100 ms must not be placed on an executor that is fuller but cold.
    sim.submit(job(1), vec![Step { resources: Resources { cpu: 6_000, ..whole }, ..step(2) }]);
    sim.advance(Span::from_ms(50));
    assert_eq!((runs_in(&sim, "north"), runs_in(&sim, "south")), (0, 2));
    sim.submit(job(2), vec![Step { resources: whole, ..step(1) }]);
    sim.advance(Span::from_ms(50));
    assert_eq!((sim.executor("x0").running.len(), sim.executor("x2").running.len()), (0, 1));
    sim.submit(job(3), vec![Step { resources: whole, ..step(1) }]);
    sim.advance(Span::from_ms(50));
    assert_eq!(sim.executor("x0").running.len(), 1);
    assert_no_violations(&sim);
}

/// The load of the customer that evacuates: 490 executors in four domains, a burst of wide steps, and
/// long-running tasks, while one domain is evacuated and taken back.
#[test]
fn a_burst_goes_on_in_the_other_domains() {
    let mut sim = site(490, &["a", "b", "c", "d"]);
    sim.checks_all_executors = false;
    let cores = |cpu| Resources { cpu, memory: 1_000, accelerators: 0 };
    sim.submit(job(1), vec![Step { resources: cores(2_000), ..long_running(122) }]);
    let mut next = 2;
    let mut burst = |sim: &mut Simulation, jobs: u64| {
        for _ in 0..jobs {
            sim.submit(job(next), vec![Step { resources: cores(2_000), ..step(20) }]);
            next += 1;
            sim.advance(Span::from_ms(20));
        }
    };
    burst(&mut sim, 50);
    sim.evacuate(&["b"]);
    let before = runs_in(&sim, "b");
    burst(&mut sim, 100);
    let long = sim.executors.values().filter(|executor| executor.domain == "b");
    let long: usize = long.map(|e| e.running.keys().filter(|t| t.step.job == job(1)).count()).sum();
    assert!(before > long && runs_in(&sim, "b") == long, "{before}, {long}");
    sim.evacuate(&[]);
    burst(&mut sim, 20);
    assert!(runs_in(&sim, "b") > long);
    sim.advance(Span::from_secs(4));
    assert!((2..172).all(|id| sim.state(id) == Some(State::Completed)));
    assert_no_violations(&sim);
}

fn check_random(u: &mut Unstructured<'_>) -> Result<()> {
    let mut sim = site(u.int_in_range(2..=8)?, &["a", "b", "c"]);
    let ids: Vec<ExecutorId> = sim.executors.keys().cloned().collect();
    for id in 0..u.int_in_range(10..=40)? {
        let kinds = [
            step(4),
            long_running(1),
            Step { gang: true, ..step(2) },
            Step { best_effort: true, ..step(3) },
        ];
        sim.submit(job(id), vec![u.choose(&kinds)?.clone()]);
        let executor = u.choose(&ids)?.as_str();
        match u.int_in_range(0..=9)? {
            0..=2 => {
                let sets: [&[&str]; 5] = [&[], &["a"], &["b", "c"], &["a", "b", "c"], &["none"]];
                sim.evacuate(u.choose(&sets)?);
            }
            3 => sim.store_available = !sim.store_available,
            4 => sim.executor(executor).delays_orders ^= true,
            5 if sim.store_available => sim.take_over(),
            6 => sim.executor(executor).loses_answers ^= true,
            7 => {
                let (now, incarnation) = (sim.now, sim.wall_ms());
                sim.drop_delayed_orders(&ExecutorId::from(executor));
                sim.executor(executor).restart(now, incarnation);
                sim.list_executor(&ExecutorId::from(executor));
            }
            _ => {}
        }
        sim.advance(Span::from_ms(u.int_in_range(0..=40)? * 10));
    }
    assert_no_violations(&sim);
    Ok(())
}

#[test]
fn no_start_is_ordered_in_an_evacuated_domain_whatever_happens() {
    for case in 0_u64..CASES {
        let seed = (case.wrapping_mul(0x9e37_79b9) & 0xffff_ffff) << 32 | CASE_BYTES;
        arbtest(check_random).seed(seed);
    }
}

fn update(is_complete: bool, version: u64, changes: &[(&str, bool, u64)]) -> Update {
    let change = |(domain, is_evacuated, version): &(&str, bool, u64)| Change {
        domain: DomainName::from(*domain),
        is_evacuated: *is_evacuated,
        version: *version,
    };
    Update { is_complete, changes: changes.iter().map(change).collect(), version }
}

/// The watch and the read of an owner that starts arrive in any order. Neither may undo what the
/// other one knows of a later version.
#[test]
fn the_set_is_that_of_the_latest_version() {
    let mut found = Evacuations::default();
    let names = |found: &Evacuations| -> Vec<String> {
        found.domains().iter().map(ToString::to_string).collect()
    };
    assert!(found.apply(update(true, 10, &[("a", true, 4), ("", true, 5)])));
    assert_eq!(names(&found), ["a"]);
    // A read at version 20, and the watch that has not come so far.
    assert!(found.apply(update(true, 20, &[("b", true, 15)])));
    assert!(!found.apply(update(false, 12, &[("c", true, 12)])));
    assert!(!found.apply(update(true, 14, &[("a", true, 4), ("c", true, 12)])));
    assert!(!found.apply(update(false, 16, &[("c", false, 14), ("b", true, 15)])));
    assert_eq!(names(&found), ["b"]);
    // Two rows race, one is removed and written again.
    let last = [("b", false, 21), ("a", true, 22), ("b", true, 23), ("a", false, 24)];
    assert!(!found.apply(update(false, 24, &last)));
    assert!(found.apply(update(false, 26, &[("b", false, 0)])));
    assert!(found.apply(update(false, 27, &[("a", true, 27)])));
    // History was lost, and with it the removal of the row.
    assert!(found.apply(update(true, 30, &[])));
    assert!(names(&found).is_empty());
}
