//! Which executors get calls: slow, failing, new and leaving ones.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod world;

use sycamorerill_calls::router::{Event, Executor};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;
use world::counter::{CAPACITY, Counter, EXECUTORS, RUN, SLOTS, team};
use world::{executor_name, name};

/// Calls that probing and trials may cost in a second at a slow executor.
const MAX_TRIALS: u32 = 8;

/// Offers half of the capacity until the given time.
fn offer(counter: &mut Counter, until_ms: u64) {
    offer_part(counter, 0.5, until_ms);
}

fn offer_part(counter: &mut Counter, part: f64, until_ms: u64) {
    let mut due = 0.0;
    for ms in counter.now.as_ms() + 1..=until_ms {
        counter.pass(Time::from_ms(ms));
        due += CAPACITY * part;
        while due >= 1.0 {
            due -= 1.0;
            counter.arrive(team(0), Urgency::Normal, false);
        }
    }
}

fn ejected(counter: &Counter) -> u32 {
    counter.router.load(&name("quote")).ejected
}

#[test]
fn a_slow_executor_gets_probes_and_hardly_a_call() {
    let mut counter = Counter::new(1);
    offer(&mut counter, 500);
    counter.runs[0] = RUN.times(10);
    // So much that the other executors cannot take all at every moment.
    offer_part(&mut counter, 0.9, 1_500);
    let before = counter.sent[0];
    offer_part(&mut counter, 0.9, 2_500);
    assert!(counter.sent[0] - before <= MAX_TRIALS, "sent {}", counter.sent[0] - before);
}

#[test]
fn an_executor_that_is_well_again_gets_calls_again() {
    let mut counter = Counter::new(1);
    offer(&mut counter, 500);
    counter.runs[0] = RUN.times(10);
    offer(&mut counter, 1_500);
    counter.runs[0] = RUN;
    offer(&mut counter, 6_000);
    let before = counter.sent[0];
    offer(&mut counter, 7_000);
    assert!(counter.sent[0] > before, "nothing was sent to an executor that is well");
    assert_eq!(ejected(&counter), 0);
}

#[test]
fn slowness_of_many_ejects_few() {
    let mut counter = Counter::new(1);
    offer(&mut counter, 500);
    for number in 0..EXECUTORS - 1 {
        counter.runs[number] = RUN.times(10);
    }
    offer(&mut counter, 2_000);
    assert!(ejected(&counter) <= 1, "{} of {EXECUTORS} ejected", ejected(&counter));
}

#[test]
fn a_new_executor_gets_few_calls_until_it_has_answered() {
    let mut counter = Counter::new(1);
    for _ in 0..EXECUTORS as u32 * SLOTS {
        counter.arrive(team(0), Urgency::Normal, false);
    }
    assert!(counter.most.iter().all(|most| *most <= 2), "{:?}", counter.most);
    offer(&mut counter, 500);
    for _ in 0..EXECUTORS as u32 * SLOTS {
        counter.arrive(team(0), Urgency::Normal, false);
    }
    assert!(counter.most.iter().all(|most| *most == SLOTS), "{:?}", counter.most);
}

#[test]
fn a_leaving_executor_gets_nothing_more() {
    let mut counter = Counter::new(1);
    offer(&mut counter, 500);
    let executor = |number| Executor {
        name: executor_name(number),
        service: name("quote"),
        domain: name("d0"),
        slots: SLOTS,
        leaving: number == 0,
    };
    counter.event(Event::Listed((0..EXECUTORS).map(executor).collect()));
    let before = counter.sent[0];
    offer(&mut counter, 1_500);
    assert_eq!(counter.sent[0], before);
    assert_eq!(counter.now.since(Time::ZERO), Span::from_ms(1_500));
}

#[test]
fn no_more_slots_are_used_than_are_declared() {
    let mut counter = Counter::new(1);
    let executor = |number| Executor {
        name: executor_name(number),
        service: name("quote"),
        domain: name("d0"),
        slots: SLOTS * 2,
        leaving: false,
    };
    counter.event(Event::Listed((0..EXECUTORS).map(executor).collect()));
    offer(&mut counter, 500);
    for _ in 0..EXECUTORS as u32 * SLOTS * 2 {
        counter.arrive(team(0), Urgency::Normal, false);
    }
    assert!(counter.most.iter().all(|most| *most == SLOTS), "{:?}", counter.most);
}

#[test]
fn a_pause_of_the_router_is_not_taken_for_slowness() {
    let mut counter = Counter::new(1);
    offer_part(&mut counter, 0.9, 500);
    counter.pause(Span::from_secs(3));
    (counter.offered, counter.good) = (0, 0);
    offer(&mut counter, 4_500);
    counter.pass(Time::from_ms(5_000));
    assert_eq!(ejected(&counter), 0);
    assert_eq!(counter.good, counter.offered);
}

#[test]
fn a_service_that_was_slow_is_called_again() {
    let mut counter = Counter::new(1);
    offer(&mut counter, 500);
    counter.runs = [RUN.times(40); EXECUTORS];
    offer(&mut counter, 10_000);
    counter.runs = [RUN; EXECUTORS];
    offer(&mut counter, 20_000);
    (counter.offered, counter.good) = (0, 0);
    offer(&mut counter, 21_000);
    counter.pass(Time::from_ms(21_500));
    // Calls that were out when counting began are answered as well.
    assert!(counter.good >= counter.offered, "{} of {}", counter.good, counter.offered);
}
