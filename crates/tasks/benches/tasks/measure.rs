//! One run of a scenario under a policy, and its results.

use serde_json::{Value, json};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;

use crate::deployment::{BASELINE_MS, Deployment, TARGET_SLOWDOWN};
use crate::fake::World;
use crate::policy::Policy;
use crate::scenario::{FAULT_WINDOW, Load, Scenario};

/// Seconds in which the services start and slowdowns are not sampled.
const WARM_UP_S: u64 = 10;

/// Runs a scenario and returns its results.
pub(crate) fn run(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Value {
    let profiles = scenario.profiles(deployment);
    let mut world = World::new(deployment.config(), policy.settings(), profiles, seed);
    world.strict = false;
    for worker in deployment.fleet() {
        world.workers.insert(worker.name.clone(), worker);
    }
    world.take_over();
    world.run(Span::from_secs(2));
    let mut load = Load::new(deployment, seed);
    load.services(&mut world);
    world.run(Span::from_secs(WARM_UP_S));
    let mut slowdowns = Vec::new();
    for second in 0..scenario.seconds() {
        scenario.step(second, &mut world, &mut load);
        world.run(Span::from_secs(1));
        sample(&world, &mut slowdowns);
    }
    results(deployment, scenario, policy, &mut world, slowdowns)
}

/// Appends the current slowdown of each executor of the service.
fn sample(world: &World, slowdowns: &mut Vec<f64>) {
    let service = "service".parse().unwrap();
    for worker in world.workers.values() {
        let executors = worker.active().filter(|(_, run)| run.class == service).count();
        let slowdown = worker.slowdown_of(&service, &world.profiles);
        slowdowns.extend(std::iter::repeat_n(slowdown, executors));
    }
}

fn percentile(sorted: &[u64], part: f64) -> u64 {
    let at = (sorted.len() as f64 * part) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Returns the median, the 99th percentile and the number of the wait times after the
/// warm-up, of all tasks or of the urgent tasks of team `counter`, which never floods the
/// queue.
fn wait_times(world: &World, urgent: bool) -> (u64, u64, usize) {
    let started = Time::ZERO + Span::from_secs(WARM_UP_S);
    let wait_times = world.tally.waited.iter().filter(|(at, ..)| *at > started);
    let wanted = wait_times.filter(|(_, urgency, _, task)| {
        !urgent || (*urgency == Urgency::Urgent && task.as_str().starts_with("counter"))
    });
    let mut wait_times: Vec<u64> = wanted.map(|(_, _, waited, _)| *waited).collect();
    wait_times.sort_unstable();
    (percentile(&wait_times, 0.5), percentile(&wait_times, 0.99), wait_times.len())
}

fn results(
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    world: &mut World,
    mut slowdowns: Vec<f64>,
) -> Value {
    slowdowns.sort_unstable_by(f64::total_cmp);
    let p99 = slowdowns[(slowdowns.len() as f64 * 0.99) as usize];
    let misses = slowdowns.iter().filter(|slowdown| **slowdown > TARGET_SLOWDOWN).count();
    let miss_share = misses as f64 / slowdowns.len() as f64;
    let (p50_ms, p99_ms, starts) = wait_times(world, false);
    let (urgent_p50_ms, urgent_p99_ms, urgent_starts) = wait_times(world, true);
    let missed = world.tally.missed.len();
    let ended = world.tally.ended.keys().filter(|job| !world.tally.missed.contains_key(*job));
    let interference = world.tally.evictions.get("Interference").copied().unwrap_or_default();
    json!({
        "scenario": scenario.name(),
        "deployment": deployment.name(),
        "policy": policy.name(),
        "service_p99_ms": round(p99 * BASELINE_MS),
        "target_ms": BASELINE_MS * TARGET_SLOWDOWN,
        "miss_share": round(miss_share),
        "batch_core_s": world.tally.work.round(),
        "deadlines_met": ended.count(),
        "deadlines_missed": missed,
        "evictions": world.tally.evictions.values().sum::<u64>(),
        "evictions_interference": interference,
        "evictions_by_cause": world.tally.evictions,
        "throttles": world.tally.throttles,
        "lost_core_s": world.tally.work_lost.round(),
        "crew_core_s": world.tally.team_work("crew").round(),
        "crew_trouble_core_s": finished_work(world, "crew", FAULT_WINDOW).round(),
        "crew_after_core_s": finished_work(world, "crew", (FAULT_WINDOW.1, 780)).round(),
        "starts": starts,
        "start_p50_ms": p50_ms,
        "start_p99_ms": p99_ms,
        "urgent_starts": urgent_starts,
        "urgent_p50_ms": urgent_p50_ms,
        "urgent_p99_ms": urgent_p99_ms,
        "quarantines": world.tally.quarantines,
        "violations": world.checks.total(),
    })
}

/// Returns the work of a team that finished in a range of seconds, in core-seconds.
fn finished_work(world: &World, team: &str, (from, until): (u64, u64)) -> f64 {
    let start = Time::ZERO + Span::from_secs(WARM_UP_S);
    let (from, until) = (start + Span::from_secs(from), start + Span::from_secs(until));
    let finished = world.tally.finished.iter();
    let wanted = finished.filter(|(at, of, _)| of == team && (from..until).contains(at));
    wanted.map(|(_, _, work)| work).sum()
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
