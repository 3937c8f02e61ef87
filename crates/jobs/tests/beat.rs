//! Detection of shard owners that fall behind, by the ticks of their timers.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::beat::Beat;

const START: Time = Time::from_ms(1_000_000);
const PERIOD: Span = Span::from_ms(50);

/// Reports whether an owner is behind that received a tick every `interval_ms` for 5 s.
fn is_behind(interval_ms: u64) -> bool {
    let mut beat = Beat::new(START, PERIOD);
    let mut now = START;
    while now.since(START) < Span::from_secs(5) {
        beat.tick(now);
        now += Span::from_ms(interval_ms);
    }
    beat.is_behind(now)
}

#[test]
fn owner_with_timely_ticks_is_not_behind() {
    assert!(!is_behind(50));
    assert!(!is_behind(60));
}

#[test]
fn owner_with_late_ticks_is_behind() {
    assert!(is_behind(85));
    assert!(is_behind(400));
}

#[test]
fn new_owner_is_not_behind_in_its_first_seconds() {
    let mut beat = Beat::new(START, PERIOD);
    beat.tick(START);
    assert!(!beat.is_behind(START + Span::from_ms(2_900)));
    assert!(beat.is_behind(START + Span::from_ms(3_100)));
}
