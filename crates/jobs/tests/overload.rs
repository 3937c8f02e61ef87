//! Detection of shard owners that fall behind, by the ticks of their timers.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::overload::TickMonitor;

const START: Time = Time::from_ms(1_000_000);
const PERIOD: Span = Span::from_ms(50);

/// Returns whether an owner is overloaded that received a tick every `interval_ms` for 5 s.
fn is_overloaded(interval_ms: u64) -> bool {
    let mut monitor = TickMonitor::new(START, PERIOD);
    let mut now = START;
    while now.since(START) < Span::from_secs(5) {
        monitor.tick(now);
        now += Span::from_ms(interval_ms);
    }
    monitor.is_overloaded(now)
}

#[test]
fn owner_with_timely_ticks_is_not_overloaded() {
    assert!(!is_overloaded(50));
    assert!(!is_overloaded(60));
}

#[test]
fn owner_with_late_ticks_is_overloaded() {
    assert!(is_overloaded(85));
    assert!(is_overloaded(400));
}

#[test]
fn new_owner_is_not_overloaded_in_its_first_seconds() {
    let mut monitor = TickMonitor::new(START, PERIOD);
    monitor.tick(START);
    assert!(!monitor.is_overloaded(START + Span::from_ms(2_900)));
    assert!(monitor.is_overloaded(START + Span::from_ms(3_100)));
}
