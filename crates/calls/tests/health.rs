//! Calls to slow, failing, new and leaving executors.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cluster;

use cluster::harness::{CAPACITY, EXECUTORS, Harness, RUN_TIME, SLOTS, team};
use cluster::{executor_name, name};
use sycamorerill_calls::router::{Event, Executor};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;

/// Largest number of trial calls per second to a slow executor.
const MAX_TRIAL_CALLS: u32 = 8;

/// Offers calls at half of the capacity until the given time.
fn offer(harness: &mut Harness, until_ms: u64) {
    offer_at_load(harness, 0.5, until_ms);
}

/// Offers calls at `load`, a share of the capacity, until the given time.
fn offer_at_load(harness: &mut Harness, load: f64, until_ms: u64) {
    let mut due = 0.0;
    for ms in harness.now.as_ms() + 1..=until_ms {
        harness.advance(Time::from_ms(ms));
        due += CAPACITY * load;
        while due >= 1.0 {
            due -= 1.0;
            harness.arrive(team(0), Urgency::Normal, false);
        }
    }
}

fn ejected(harness: &Harness) -> u32 {
    harness.router.load(&name("quote")).ejected_executors
}

#[test]
fn slow_executor_receives_probes_and_few_calls() {
    let mut harness = Harness::new(1);
    offer(&mut harness, 500);
    harness.run_times[0] = RUN_TIME.saturating_mul(10);
    // At 90% the other executors are at times all occupied, so only the ejection keeps
    // calls away from the slow one.
    offer_at_load(&mut harness, 0.9, 1_500);
    let before = harness.sent[0];
    offer_at_load(&mut harness, 0.9, 2_500);
    assert!(harness.sent[0] - before <= MAX_TRIAL_CALLS, "sent {}", harness.sent[0] - before);
}

#[test]
fn recovered_executor_receives_calls_again() {
    let mut harness = Harness::new(1);
    offer(&mut harness, 500);
    harness.run_times[0] = RUN_TIME.saturating_mul(10);
    offer(&mut harness, 1_500);
    harness.run_times[0] = RUN_TIME;
    offer(&mut harness, 6_000);
    let before = harness.sent[0];
    offer(&mut harness, 7_000);
    assert!(harness.sent[0] > before, "nothing was sent to an executor that has recovered");
    assert_eq!(ejected(&harness), 0);
}

#[test]
fn few_executors_are_ejected_when_many_are_slow() {
    let mut harness = Harness::new(1);
    offer(&mut harness, 500);
    for number in 0..EXECUTORS - 1 {
        harness.run_times[number] = RUN_TIME.saturating_mul(10);
    }
    offer(&mut harness, 2_000);
    assert!(ejected(&harness) <= 1, "{} of {EXECUTORS} ejected", ejected(&harness));
}

#[test]
fn new_executor_receives_few_calls_until_it_has_answered() {
    let mut harness = Harness::new(1);
    for _ in 0..EXECUTORS as u32 * SLOTS {
        harness.arrive(team(0), Urgency::Normal, false);
    }
    assert!(harness.max_in_flight.iter().all(|most| *most <= 2), "{:?}", harness.max_in_flight);
    offer(&mut harness, 500);
    for _ in 0..EXECUTORS as u32 * SLOTS {
        harness.arrive(team(0), Urgency::Normal, false);
    }
    assert!(harness.max_in_flight.iter().all(|most| *most == SLOTS), "{:?}", harness.max_in_flight);
}

#[test]
fn leaving_executor_receives_no_calls() {
    let mut harness = Harness::new(1);
    offer(&mut harness, 500);
    let executor = |number| Executor {
        name: executor_name(number),
        service: name("quote"),
        domain: name("d0"),
        slots: SLOTS,
        leaving: number == 0,
    };
    harness.event(Event::ExecutorsListed((0..EXECUTORS).map(executor).collect()));
    let before = harness.sent[0];
    offer(&mut harness, 1_500);
    assert_eq!(harness.sent[0], before);
    assert_eq!(harness.now.since(Time::ZERO), Span::from_ms(1_500));
}

#[test]
fn slots_are_limited_to_the_declared_number() {
    let mut harness = Harness::new(1);
    let executor = |number| Executor {
        name: executor_name(number),
        service: name("quote"),
        domain: name("d0"),
        slots: SLOTS * 2,
        leaving: false,
    };
    harness.event(Event::ExecutorsListed((0..EXECUTORS).map(executor).collect()));
    offer(&mut harness, 500);
    for _ in 0..EXECUTORS as u32 * SLOTS * 2 {
        harness.arrive(team(0), Urgency::Normal, false);
    }
    assert!(harness.max_in_flight.iter().all(|most| *most == SLOTS), "{:?}", harness.max_in_flight);
}

#[test]
fn pause_of_the_router_ejects_no_executor() {
    let mut harness = Harness::new(1);
    offer_at_load(&mut harness, 0.9, 500);
    harness.pause(Span::from_secs(3));
    (harness.offered, harness.answered) = (0, 0);
    offer(&mut harness, 4_500);
    harness.advance(Time::from_ms(5_000));
    assert_eq!(ejected(&harness), 0);
    assert_eq!(harness.answered, harness.offered);
}

#[test]
fn slow_service_recovers() {
    let mut harness = Harness::new(1);
    offer(&mut harness, 500);
    harness.run_times = [RUN_TIME.saturating_mul(40); EXECUTORS];
    offer(&mut harness, 10_000);
    harness.run_times = [RUN_TIME; EXECUTORS];
    offer(&mut harness, 20_000);
    (harness.offered, harness.answered) = (0, 0);
    offer(&mut harness, 21_000);
    harness.advance(Time::from_ms(21_500));
    // Calls that were in flight when counting began are also counted as answered.
    assert!(harness.answered >= harness.offered, "{} of {}", harness.answered, harness.offered);
}
