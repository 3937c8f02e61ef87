//! Claims on shards: which instance claims, renews or releases a shard, and when.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::InstanceName;
use sycamorerill_jobs::ownership::{Action, Claim, Load, Ownership, Settings};

const START: Time = Time::from_ms(1_000_000);
/// Load of an instance that owns no shard, with a shard without executors.
const NO_LOAD: Load = Load { owned_shards: 0, executors_per_shard: 0 };
/// Load of an instance that owns no shard, with a shard of 150 executors: less than the
/// default capacity of an instance and more than that of `small_instance`.
const HIGH_LOAD: Load = Load { owned_shards: 0, executors_per_shard: 150 };

fn ownership(name: &str, started_ms: u64) -> Ownership {
    Ownership::new(Settings::default(), InstanceName::from(name), started_ms, 0.5)
}

fn held_claim(epoch: u64, holder: &str, started_ms: u64) -> Claim {
    Claim {
        epoch,
        holder: Some(InstanceName::from(holder)),
        started_ms,
        renewal: 0,
        max_executors: 175,
        yielded_ms: 0,
        yields: 0,
    }
}

#[test]
fn nothing_is_claimed_before_the_first_read_of_the_claim() {
    assert_eq!(ownership("a", 1).next_action(START, NO_LOAD), Action::Wait);
}

#[test]
fn shard_without_claim_is_claimed_within_spread() {
    let mut ownership = ownership("a", 1);
    ownership.observe(START, None);
    assert_eq!(ownership.next_action(START, NO_LOAD), Action::Wait);
    assert_eq!(
        ownership.next_action(START + Settings::default().claim_spread, NO_LOAD),
        Action::Claim
    );
    assert_eq!(ownership.next_claim().epoch, 1);
}

#[test]
fn holder_that_renews_keeps_its_shard() {
    let mut ownership = ownership("a", 1);
    let mut now = START;
    for renewal in 0..20 {
        ownership.observe(now, Some(Claim { renewal, ..held_claim(3, "b", 7) }));
        assert_eq!(ownership.next_action(now, NO_LOAD), Action::Wait);
        now += Settings::default().renewal_timeout.scale(0.9);
    }
}

#[test]
fn shard_of_holder_that_stops_renewing_is_claimed_with_next_epoch() {
    let mut ownership = ownership("a", 1);
    ownership.observe(START, Some(held_claim(3, "b", 7)));
    let later = START + Settings::default().renewal_timeout + Settings::default().claim_spread;
    assert_eq!(ownership.next_action(later, NO_LOAD), Action::ReadClaim);
    ownership.observe(later, Some(held_claim(3, "b", 7)));
    assert_eq!(ownership.next_action(later, NO_LOAD), Action::Claim);
    assert_eq!(ownership.next_claim().epoch, 4);
}

#[test]
fn nothing_is_claimed_during_or_right_after_a_store_outage() {
    let mut ownership = ownership("a", 1);
    ownership.observe(START, Some(held_claim(3, "b", 7)));
    let mut now = START;
    while now.since(START) < Span::from_secs(4) {
        assert_ne!(ownership.next_action(now, NO_LOAD), Action::Claim, "at {now:?}");
        now += Span::from_ms(50);
    }
    // The holder could not renew during the outage, so its timeout starts over.
    ownership.record_response(now);
    assert_eq!(ownership.next_action(now, NO_LOAD), Action::Wait);
    let later = now + Settings::default().renewal_timeout + Settings::default().claim_spread;
    ownership.record_response(later);
    assert_eq!(ownership.next_action(later, NO_LOAD), Action::Claim);
}

#[test]
fn missing_renewals_during_a_store_outage_do_not_count() {
    let mut ownership = ownership("a", 1);
    ownership.observe(START, Some(held_claim(3, "b", 7)));
    let later = START + Span::from_secs(10);
    ownership.record_outage(later);
    assert_eq!(ownership.next_action(later + Span::from_ms(500), NO_LOAD), Action::Wait);
}

#[test]
fn claim_of_earlier_process_of_same_instance_is_replaced_immediately() {
    let mut ownership = ownership("a", 9);
    ownership.observe(START, Some(held_claim(3, "a", 7)));
    assert!(!ownership.is_held());
    assert_eq!(ownership.next_action(START, NO_LOAD), Action::Claim);
    assert_eq!(ownership.next_claim().epoch, 4);
}

#[test]
fn released_shard_is_claimed_without_renewal_timeout() {
    let mut ownership = ownership("a", 1);
    let released = Claim { holder: None, ..held_claim(3, "b", 0) };
    ownership.observe(START, Some(released));
    assert_eq!(
        ownership.next_action(START + Settings::default().claim_spread, NO_LOAD),
        Action::Claim
    );
}

#[test]
fn holder_renews_with_same_epoch() {
    let mut ownership = ownership("a", 1);
    ownership.observe(START, None);
    let claim = ownership.next_claim();
    ownership.record_renewal(START, claim.clone());
    assert!(ownership.is_held());
    assert_eq!(ownership.next_action(START + Span::from_ms(100), NO_LOAD), Action::Wait);
    assert_eq!(
        ownership.next_action(START + Settings::default().renewal_interval, NO_LOAD),
        Action::Renew
    );
    assert_eq!(ownership.next_claim().epoch, claim.epoch);
    assert_ne!(ownership.next_claim().renewal, claim.renewal);
}

/// Returns the state of an instance that can manage 60 executors.
fn small_instance(name: &str) -> Ownership {
    let settings = Settings { max_executors: 60, ..Settings::default() };
    Ownership::new(settings, InstanceName::from(name), 1, 0.5)
}

#[test]
fn instance_without_capacity_claims_after_instances_with_capacity() {
    let (mut small, mut default) = (small_instance("a"), ownership("b", 1));
    small.observe(START, None);
    default.observe(START, None);
    let settings = Settings::default();
    let soon = START + settings.claim_spread;
    assert_eq!(default.next_action(soon, HIGH_LOAD), Action::Claim);
    assert_eq!(small.next_action(soon, HIGH_LOAD), Action::Wait);
    assert_eq!(small.next_action(soon + settings.low_capacity_delay, HIGH_LOAD), Action::Claim);
}

#[test]
fn instance_with_shards_claims_after_instances_without_shards() {
    let mut ownership = ownership("a", 1);
    ownership.observe(START, None);
    let soon = START + Settings::default().claim_spread;
    assert_eq!(ownership.next_action(soon, Load { owned_shards: 2, ..NO_LOAD }), Action::Wait);
    assert_eq!(ownership.next_action(soon, NO_LOAD), Action::Claim);
}

#[test]
fn shard_of_renewing_holder_without_capacity_is_taken_over() {
    let mut ownership = ownership("a", 1);
    let settings = Settings::default();
    let mut now = START;
    let mut action = Action::Wait;
    for renewal in 0..20 {
        ownership.observe(now, Some(Claim { renewal, max_executors: 60, ..held_claim(3, "b", 7) }));
        action = ownership.next_action(now, HIGH_LOAD);
        if action == Action::Claim {
            break;
        }
        now += settings.renewal_interval;
    }
    assert_eq!(action, Action::Claim);
    assert!(now.since(START) >= settings.takeover_delay);
    assert_eq!(ownership.next_claim().epoch, 4);
}

#[test]
fn shard_of_renewing_holder_with_capacity_is_not_taken_over() {
    let mut ownership = ownership("a", 1);
    let mut now = START;
    for renewal in 0..20 {
        ownership.observe(now, Some(Claim { renewal, ..held_claim(3, "b", 7) }));
        assert_eq!(ownership.next_action(now, HIGH_LOAD), Action::Wait);
        now += Settings::default().renewal_interval;
    }
}

/// Returns the ownership of an instance that has claimed the shard after `released`.
fn successor(name: &str, released: Claim) -> Ownership {
    let mut successor = ownership(name, 1);
    successor.observe(START, Some(released));
    let claim = successor.next_claim();
    successor.record_renewal(START, claim);
    successor
}

/// The successor of a slow owner may run on a slow machine too.
#[test]
fn second_slow_owner_releases_the_shard_within_seconds() {
    let mut first = ownership("a", 1);
    first.observe(START, Some(held_claim(3, "a", 1)));
    let released = first.yielded_claim(50_000).expect("no holder released the shard before");
    assert_eq!((released.holder.as_ref(), released.epoch), (None, 3));
    let second = successor("b", released);
    assert_eq!(second.yielded_claim(52_900), None);
    assert!(second.yielded_claim(53_000).is_some());
}

#[test]
fn shard_with_too_much_work_for_any_owner_is_released_less_and_less_often() {
    let mut owner = successor("a", held_claim(3, "a", 1));
    let mut releases = Vec::new();
    for wall_ms in (50_000..150_000).step_by(100) {
        if let Some(released) = owner.yielded_claim(wall_ms) {
            releases.push(wall_ms);
            owner = successor("b", released);
        }
    }
    let intervals: Vec<u64> = releases.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(intervals, [3_000, 6_000, 12_000, 24_000, 24_000, 24_000]);
    assert!(owner.yielded_claim(200_000).is_some());
}

#[test]
fn instance_whose_claim_was_taken_lets_others_claim_first() {
    let settings = Settings::default();
    let mut failed = ownership("a", 1);
    failed.observe(START, Some(held_claim(3, "a", 1)));
    let mut other = ownership("b", 1);
    let released = Claim { holder: None, ..held_claim(4, "c", 1) };
    for ownership in [&mut failed, &mut other] {
        ownership.observe(START, Some(released.clone()));
    }
    let spread = START + settings.claim_spread;
    assert_eq!(failed.next_action(spread, NO_LOAD), Action::Wait);
    assert_eq!(other.next_action(spread, NO_LOAD), Action::Claim);
    assert_eq!(failed.next_action(spread + settings.failed_holder_delay, NO_LOAD), Action::Claim);
}

#[test]
fn instance_whose_claim_was_taken_long_ago_claims_like_others() {
    let settings = Settings::default();
    let mut ownership = ownership("a", 1);
    ownership.observe(START, Some(held_claim(3, "a", 1)));
    ownership.observe(START, Some(held_claim(4, "b", 1)));
    let later = START + Span::from_secs(20);
    ownership.observe(later, Some(Claim { holder: None, ..held_claim(4, "b", 1) }));
    assert_eq!(ownership.next_action(later + settings.claim_spread, NO_LOAD), Action::Claim);
}

/// While the store is slow, many instances claim a shard before they learn of each other's claims.
/// Each of those claims holds up the others, so claims must be spread over a longer time.
#[test]
fn claims_are_spread_over_a_longer_time_while_the_store_is_slow() {
    let latency = Span::from_ms(500);
    let mut ownership = ownership("a", 1);
    ownership.observe(START, None);
    ownership.set_store_latency(latency);
    let usual_spread = Settings::default().claim_spread;
    assert_eq!(ownership.next_action(START + usual_spread, NO_LOAD), Action::Wait);
    assert_eq!(ownership.next_action(START + latency, NO_LOAD), Action::Wait);
    let written = latency.saturating_mul(4);
    assert_eq!(ownership.next_action(START + written, NO_LOAD), Action::Claim);
}

/// An instance without the capacity for a shard must not claim it before those with the capacity
/// have claimed and been heard of.
#[test]
fn an_instance_without_capacity_lets_others_claim_first_while_the_store_is_slow() {
    let mut ownership = small_instance("a");
    ownership.observe(START, None);
    ownership.set_store_latency(Span::from_ms(500));
    let others_claimed = Span::from_ms(500).saturating_mul(4);
    assert_eq!(ownership.next_action(START + others_claimed, HIGH_LOAD), Action::Wait);
}
