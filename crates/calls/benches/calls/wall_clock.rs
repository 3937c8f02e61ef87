//! Wall-clock time of one decision by number of executors.

use std::time::Instant;

use serde_json::{Value, json};
use sycamorerill_calls::router::{
    Call, Command, Event, Executor, InProgress, Outcome, Router, SendOutcome, Settings,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, Epoch};
use sycamorerill_core::model::{Config, Service, Team, Urgency};
use sycamorerill_core::rate::PerSecond;
use sycamorerill_core::size::Size;

const SIZES: [usize; 3] = [50, 500, 5_000];
const ROUNDS: usize = 400_000;
const SLOTS: u32 = 8;
/// Time from sending a request to its answer, in milliseconds.
const RUN_MS: f64 = 20.0;
/// Number of requests in flight per executor during the measurement.
const IN_FLIGHT_PER_EXECUTOR: usize = 4;
/// Number of calls per executor before the measurement.
const WARM_UP_PER_EXECUTOR: usize = 16;

pub(crate) fn name<T: std::str::FromStr<Err = impl std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names of the bench are well formed")
}

fn config() -> Config {
    let service = Service {
        name: name("quote"),
        team: name("desk"),
        urgency: Urgency::Normal,
        idempotent: true,
        deadline: Span::from_ms(250),
        longest_run: Span::from_ms(500),
        slots: SLOTS,
        max_body: 1 << 20,
        key_retention: Span::from_secs(3_600),
        rate: PerSecond(10_000.0),
    };
    let team = Team { name: name("desk"), weight: 1, quota: Size::ZERO, borrow: true };
    Config {
        services: [(name("quote"), service)].into(),
        teams: [(name("desk"), team)].into(),
        ..Config::default()
    }
}

pub(crate) fn router(executors: usize, seed: u64) -> Router {
    let mut router = Router::new(Settings { domain: Some(name("d0")), ..Default::default() }, seed);
    let mut out = Vec::new();
    let list = (0..executors).map(|number| Executor {
        name: name(&format!("executor-{number}")),
        service: name("quote"),
        domain: name(&format!("d{}", number % 3)),
        slots: SLOTS,
        leaving: false,
    });
    let list: Vec<Executor> = list.collect();
    let names: Vec<_> = list.iter().map(|executor| executor.name.clone()).collect();
    router.handle(Time::ZERO, Event::Configured(config().into()), &mut out);
    router.handle(Time::ZERO, Event::ExecutorsListed(list), &mut out);
    for executor in names {
        let in_progress = InProgress::Known(0);
        let event = Event::ExecutorOwned { executor, epoch: Epoch(1), in_progress };
        router.handle(Time::ZERO, event, &mut out);
    }
    router
}

/// Measures arrivals and answers while a share of the slots stays occupied.
fn measure(executors: usize, seed: u64) -> Value {
    let mut router = router(executors, seed);
    let gap_ms = RUN_MS / (executors * IN_FLIGHT_PER_EXECUTOR) as f64;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut out = Vec::with_capacity(16);
    let mut pending = std::collections::VecDeque::new();
    let (service, team) = (name("quote"), name("desk"));
    let (mut arrive_ns, mut answer_ns, mut measured) = (0_u128, 0_u128, 0_u128);
    let warm_up = executors * WARM_UP_PER_EXECUTOR;
    for round in 0..ROUNDS + warm_up {
        let now = Time::ZERO + Span::from_ms_f64(round as f64 * gap_ms);
        let call = Call {
            id: CallId(round as u64),
            service: Clone::clone(&service),
            team: Clone::clone(&team),
            urgency: Urgency::ALL[rng.usize(0..4)],
            deadline: now + Span::from_ms(250),
            idempotent: true,
            key: None,
            key_recorded: false,
            hops: 0,
        };
        let before = Instant::now();
        router.handle(now, Event::Arrived(call), &mut out);
        let arrived = before.elapsed().as_nanos();
        for command in out.drain(..) {
            if let Command::Send { call, attempt, .. } = command {
                pending.push_back((call, attempt));
            }
        }
        // New executors receive few concurrent calls until they have answered some.
        let in_flight_per_executor = if round < warm_up { 1 } else { IN_FLIGHT_PER_EXECUTOR };
        if pending.len() <= executors * in_flight_per_executor {
            continue;
        }
        let Some((call, attempt)) = pending.pop_front() else { continue };
        let answer = SendOutcome::Complete { status: 200 };
        let before = Instant::now();
        router.handle(now, Event::Answered { call, attempt, answer }, &mut out);
        let answered = before.elapsed().as_nanos();
        out.clear();
        if round >= warm_up {
            answer_ns += answered;
            arrive_ns += arrived;
            measured += 1;
        }
    }
    let mean_us = |ns: u128| (ns / measured.max(1)) as f64 / 1_000.0;
    json!({
        "scenario": "decision", "executors": executors, "seed": seed, "wall": true,
        "calls": measured as u64, "arrival_us": mean_us(arrive_ns),
        "answer_us": mean_us(answer_ns), "call_us": mean_us(arrive_ns + answer_ns),
    })
}

/// Measures arrivals while every slot is occupied and the queues are full.
fn measure_refusals(executors: usize, seed: u64) -> Value {
    let mut router = router(executors, seed);
    let mut out = Vec::with_capacity(16);
    let (service, team) = (name("quote"), name("desk"));
    let now = Time::from_ms(1);
    let (mut ns, mut refused) = (0_u128, 0_u128);
    for round in 0..ROUNDS {
        let call = Call {
            id: CallId(round as u64),
            service: Clone::clone(&service),
            team: Clone::clone(&team),
            urgency: Urgency::Low,
            deadline: now + Span::from_ms(250),
            idempotent: true,
            key: None,
            key_recorded: false,
            hops: 0,
        };
        let before = Instant::now();
        router.handle(now, Event::Arrived(call), &mut out);
        let took = before.elapsed().as_nanos();
        let is_refused = |command: &Command| {
            matches!(command, Command::Reply { outcome: Outcome::NotRun(_), .. })
        };
        if out.drain(..).any(|command| is_refused(&command)) {
            ns += took;
            refused += 1;
        }
    }
    json!({
        "scenario": "refusal", "executors": executors, "seed": seed, "wall": true,
        "calls": refused as u64, "call_us": (ns / refused.max(1)) as f64 / 1_000.0,
    })
}

/// Returns the lines for each number of executors.
pub(crate) fn lines(seed: u64) -> Vec<Value> {
    let decisions = SIZES.into_iter().map(|executors| measure(executors, seed));
    let refusals = SIZES.into_iter().map(|executors| measure_refusals(executors, seed));
    decisions.chain(refusals).collect()
}
