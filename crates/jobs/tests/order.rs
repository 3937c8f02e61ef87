//! Order of work under load: restarts of long-running tasks.

mod support;

use std::collections::BTreeMap;

use support::{Simulation, job, step};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::{Availability, Registration};
use sycamorerill_jobs::id::TaskId;
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::{Resources, Step};

/// Longest time for which a long-running task may wait for its next run while there is room.
const MAX_RESTART: Span = Span::from_ms(3_000);
const TICK: Span = Span::from_ms(10);

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1_000, memory: count * 1_000, accelerators: 0 }
}

/// Lets each run take 0.3 to 0.9 s, so that runs of one executor don't end together.
fn vary_run_times(sim: &mut Simulation) {
    let now = sim.now;
    for active in sim.executors.values_mut().flat_map(|executor| &mut executor.running) {
        let (task, active) = active;
        let begun = active.ends_at.is_some_and(|at| at == now + Span::from_ms(1_000));
        if begun {
            let spread = (task.step.job.0 * 131 + u64::from(task.index) * 71) % 600;
            active.ends_at = Some(now + Span::from_ms(300 + spread));
        }
    }
}

fn drain(sim: &mut Simulation, id: &str) {
    let registration = sim.registration_of(id);
    let remaining = Some(Span::from_secs(4));
    let registration =
        Registration { availability: Availability::Draining, remaining, ..registration };
    sim.handle(Event::Listed(Box::new(registration)));
}

/// Returns the longest time for which a long-running task has waited for its next run, in a burst
/// of small urgent tasks in which a quarter of the executors leave and the owner may be replaced.
fn longest_restart(sim: &mut Simulation, lasting: &Step, small: &Step, takes_over: bool) -> Span {
    let lasting_job = job(1);
    sim.submit(lasting_job, vec![lasting.clone()]);
    sim.advance(Span::from_ms(200));
    let mut last_seen: BTreeMap<TaskId, Time> = BTreeMap::new();
    let mut longest = Span::ZERO;
    for tick in 0..1_000 {
        if tick % 5 == 0 && tick < 900 {
            sim.submit(job(2 + tick), vec![small.clone()]);
        }
        if tick == 200 {
            ["x0", "x1", "x2", "x3"].iter().for_each(|id| drain(sim, id));
        }
        if tick == 205 && takes_over {
            sim.take_over();
            ["x0", "x1", "x2", "x3"].iter().for_each(|id| drain(sim, id));
        }
        sim.advance(TICK);
        vary_run_times(sim);
        let running = sim.executors.values().flat_map(|executor| executor.running.keys());
        let running = running.filter(|task| task.step.job == lasting_job);
        let now = sim.now;
        last_seen.extend(running.map(|task| (*task, now)));
        longest = last_seen.values().map(|at| now.since(*at)).max().unwrap_or(longest).max(longest);
    }
    assert_eq!(last_seen.len(), lasting.count as usize);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    longest
}

/// Small urgent tasks must not take each gap while long-running tasks wait for their next run.
#[test]
fn restarted_long_running_tasks_have_a_place_within_3_s_of_a_burst_of_small_ones() {
    let small = Step { resources: cores(2), ..step(8) };
    for (size, count, takes_over) in [(2, 16, false), (2, 16, true), (5, 8, false), (5, 8, true)] {
        let mut sim = Simulation::new(16);
        let lasting = Step { long_running: true, resources: cores(size), ..step(count) };
        let longest = longest_restart(&mut sim, &lasting, &small, takes_over);
        assert!(longest <= MAX_RESTART, "{size} cores, {takes_over}: {longest}");
    }
}

/// Best-effort tasks must not take each gap in the memory: they reserve no processor time.
#[test]
fn restarted_long_running_tasks_have_memory_within_3_s_of_a_burst_of_best_effort_tasks() {
    let resources = |cpu, memory| Resources { cpu, memory, accelerators: 0 };
    let mut sim = Simulation::new(16);
    let lasting = Step { long_running: true, resources: resources(1_000, 20_000), ..step(8) };
    let small = Step { best_effort: true, resources: resources(500, 8_000), ..step(8) };
    let longest = longest_restart(&mut sim, &lasting, &small, false);
    assert!(longest <= MAX_RESTART, "{longest}");
}
