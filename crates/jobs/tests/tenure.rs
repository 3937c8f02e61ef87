//! Claims on shards: which instance claims, renews or releases a shard, and when.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::InstanceName;
use sycamorerill_jobs::tenure::{Burden, Claim, Settings, Step, Tenure};

const START: Time = Time::from_ms(1_000_000);
/// Load of an instance that owns no shard, with a shard without executors.
const NO_LOAD: Burden = Burden { kept: 0, each: 0 };
/// Load of an instance that owns no shard, with a shard of 150 executors: less than the
/// default capacity of an instance and more than that of `small_tenure`.
const HIGH_LOAD: Burden = Burden { kept: 0, each: 150 };

fn tenure(name: &str, started_ms: u64) -> Tenure {
    Tenure::new(Settings::default(), InstanceName::from(name), started_ms, 0.5)
}

fn held_claim(epoch: u64, holder: &str, started_ms: u64) -> Claim {
    Claim {
        epoch,
        holder: Some(InstanceName::from(holder)),
        started_ms,
        renewal: 0,
        reach: 175,
        yielded_ms: 0,
    }
}

#[test]
fn nothing_is_claimed_before_the_first_read_of_the_claim() {
    assert_eq!(tenure("a", 1).step(START, NO_LOAD), Step::Wait);
}

#[test]
fn shard_without_claim_is_claimed_within_spread() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, None);
    assert_eq!(tenure.step(START, NO_LOAD), Step::Wait);
    assert_eq!(tenure.step(START + Settings::default().claim_spread, NO_LOAD), Step::Claim);
    assert_eq!(tenure.next_claim().epoch, 1);
}

#[test]
fn holder_that_renews_keeps_its_shard() {
    let mut tenure = tenure("a", 1);
    let mut now = START;
    for renewal in 0..20 {
        tenure.observe(now, Some(Claim { renewal, ..held_claim(3, "b", 7) }));
        assert_eq!(tenure.step(now, NO_LOAD), Step::Wait);
        now += Settings::default().renewal_timeout.scale(0.9);
    }
}

#[test]
fn shard_of_holder_that_stops_renewing_is_claimed_with_next_epoch() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, Some(held_claim(3, "b", 7)));
    let later = START + Settings::default().renewal_timeout + Settings::default().claim_spread;
    assert_eq!(tenure.step(later, NO_LOAD), Step::Ask);
    tenure.observe(later, Some(held_claim(3, "b", 7)));
    assert_eq!(tenure.step(later, NO_LOAD), Step::Claim);
    assert_eq!(tenure.next_claim().epoch, 4);
}

#[test]
fn nothing_is_claimed_during_or_right_after_a_store_outage() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, Some(held_claim(3, "b", 7)));
    let mut now = START;
    while now.since(START) < Span::from_secs(4) {
        assert_ne!(tenure.step(now, NO_LOAD), Step::Claim, "at {now:?}");
        now += Span::from_ms(50);
    }
    // The holder could not renew during the outage, so its timeout starts over.
    tenure.heard(now);
    assert_eq!(tenure.step(now, NO_LOAD), Step::Wait);
    let later = now + Settings::default().renewal_timeout + Settings::default().claim_spread;
    tenure.heard(later);
    assert_eq!(tenure.step(later, NO_LOAD), Step::Claim);
}

#[test]
fn missing_renewals_during_a_store_outage_do_not_count() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, Some(held_claim(3, "b", 7)));
    let later = START + Span::from_secs(10);
    tenure.store_was_away(later);
    assert_eq!(tenure.step(later + Span::from_ms(500), NO_LOAD), Step::Wait);
}

#[test]
fn claim_of_earlier_process_of_same_instance_is_replaced_immediately() {
    let mut tenure = tenure("a", 9);
    tenure.observe(START, Some(held_claim(3, "a", 7)));
    assert!(!tenure.is_mine());
    assert_eq!(tenure.step(START, NO_LOAD), Step::Claim);
    assert_eq!(tenure.next_claim().epoch, 4);
}

#[test]
fn released_shard_is_claimed_without_renewal_timeout() {
    let mut tenure = tenure("a", 1);
    let released = Claim { holder: None, ..held_claim(3, "b", 0) };
    tenure.observe(START, Some(released));
    assert_eq!(tenure.step(START + Settings::default().claim_spread, NO_LOAD), Step::Claim);
}

#[test]
fn holder_renews_with_same_epoch() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, None);
    let claim = tenure.next_claim();
    tenure.renewed(START, claim.clone());
    assert!(tenure.is_mine());
    assert_eq!(tenure.step(START + Span::from_ms(100), NO_LOAD), Step::Wait);
    assert_eq!(tenure.step(START + Settings::default().renewal_interval, NO_LOAD), Step::Renew);
    assert_eq!(tenure.next_claim().epoch, claim.epoch);
    assert_ne!(tenure.next_claim().renewal, claim.renewal);
}

/// Returns the state of an instance that can manage 60 executors.
fn small_tenure(name: &str) -> Tenure {
    let settings = Settings { reach: 60, ..Settings::default() };
    Tenure::new(settings, InstanceName::from(name), 1, 0.5)
}

#[test]
fn instance_without_capacity_claims_after_instances_with_capacity() {
    let (mut small, mut default) = (small_tenure("a"), tenure("b", 1));
    small.observe(START, None);
    default.observe(START, None);
    let settings = Settings::default();
    let soon = START + settings.claim_spread;
    assert_eq!(default.step(soon, HIGH_LOAD), Step::Claim);
    assert_eq!(small.step(soon, HIGH_LOAD), Step::Wait);
    assert_eq!(small.step(soon + settings.low_capacity_delay, HIGH_LOAD), Step::Claim);
}

#[test]
fn instance_with_shards_claims_after_instances_without_shards() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, None);
    let soon = START + Settings::default().claim_spread;
    assert_eq!(tenure.step(soon, Burden { kept: 2, ..NO_LOAD }), Step::Wait);
    assert_eq!(tenure.step(soon, NO_LOAD), Step::Claim);
}

#[test]
fn shard_of_renewing_holder_without_capacity_is_taken_over() {
    let mut tenure = tenure("a", 1);
    let settings = Settings::default();
    let mut now = START;
    let mut step = Step::Wait;
    for renewal in 0..20 {
        tenure.observe(now, Some(Claim { renewal, reach: 60, ..held_claim(3, "b", 7) }));
        step = tenure.step(now, HIGH_LOAD);
        if step == Step::Claim {
            break;
        }
        now += settings.renewal_interval;
    }
    assert_eq!(step, Step::Claim);
    assert!(now.since(START) >= settings.takeover_delay);
    assert_eq!(tenure.next_claim().epoch, 4);
}

#[test]
fn shard_of_renewing_holder_with_capacity_is_not_taken_over() {
    let mut tenure = tenure("a", 1);
    let mut now = START;
    for renewal in 0..20 {
        tenure.observe(now, Some(Claim { renewal, ..held_claim(3, "b", 7) }));
        assert_eq!(tenure.step(now, HIGH_LOAD), Step::Wait);
        now += Settings::default().renewal_interval;
    }
}

#[test]
fn shard_is_not_released_again_soon_after_another_holder_released_it() {
    let mut first = tenure("a", 1);
    first.observe(START, Some(held_claim(3, "a", 1)));
    let released = first.yielding(50_000).expect("no holder released the shard before");
    assert_eq!((released.holder.as_ref(), released.epoch), (None, 3));
    let mut second = tenure("b", 1);
    second.observe(START, Some(released));
    let claim = second.next_claim();
    second.renewed(START, claim);
    assert_eq!(second.yielding(55_000), None);
    assert!(second.yielding(61_000).is_some());
}
