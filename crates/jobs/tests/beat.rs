//! Whether an owner keeps up.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::beat::Beat;

const START: Time = Time::from_ms(1_000_000);
const EVERY: Span = Span::from_ms(50);

/// Returns whether an owner whose ticks come `apart` is behind after 5 s.
fn is_behind(apart: u64) -> bool {
    let mut beat = Beat::new(START, EVERY);
    let mut now = START;
    while now.since(START) < Span::from_secs(5) {
        beat.tick(now);
        now += Span::from_ms(apart);
    }
    beat.is_behind(now)
}

#[test]
fn an_owner_whose_ticks_come_keeps_up() {
    assert!(!is_behind(50));
    assert!(!is_behind(60));
}

#[test]
fn an_owner_whose_ticks_come_late_is_behind() {
    assert!(is_behind(85));
    assert!(is_behind(400));
}

#[test]
fn a_new_owner_has_time_to_take_over() {
    let mut beat = Beat::new(START, EVERY);
    beat.tick(START);
    assert!(!beat.is_behind(START + Span::from_ms(2_900)));
    assert!(beat.is_behind(START + Span::from_ms(3_100)));
}
