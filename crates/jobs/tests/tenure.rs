//! Claims on shards: who claims when.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::InstanceName;
use sycamorerill_jobs::tenure::{Burden, Claim, Settings, Step, Tenure};

const START: Time = Time::from_ms(1_000_000);
/// An instance that owns no shard, and a shard without executors.
const NONE: Burden = Burden { kept: 0, each: 0 };
/// A shard that only an instance with the usual reach can steer.
const HEAVY: Burden = Burden { kept: 0, each: 150 };

fn tenure(name: &str, started_ms: u64) -> Tenure {
    Tenure::new(Settings::default(), InstanceName::from(name), started_ms, 0.5)
}

fn held(epoch: u64, holder: &str, started_ms: u64) -> Claim {
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
fn nothing_is_claimed_before_the_store_was_heard() {
    assert_eq!(tenure("a", 1).step(START, NONE), Step::Wait);
}

#[test]
fn a_shard_without_a_claim_is_claimed_within_the_spread() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, None);
    assert_eq!(tenure.step(START, NONE), Step::Wait);
    assert_eq!(tenure.step(START + Settings::default().spread, NONE), Step::Claim);
    assert_eq!(tenure.next_claim().epoch, 1);
}

#[test]
fn a_holder_that_renews_keeps_its_shard() {
    let mut tenure = tenure("a", 1);
    let mut now = START;
    for renewal in 0..20 {
        tenure.observe(now, Some(Claim { renewal, ..held(3, "b", 7) }));
        assert_eq!(tenure.step(now, NONE), Step::Wait);
        now += Settings::default().patience.scale(0.9);
    }
}

#[test]
fn a_silent_holder_loses_its_shard_to_a_higher_epoch() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, Some(held(3, "b", 7)));
    let later = START + Settings::default().patience + Settings::default().spread;
    assert_eq!(tenure.step(later, NONE), Step::Ask);
    tenure.observe(later, Some(held(3, "b", 7)));
    assert_eq!(tenure.step(later, NONE), Step::Claim);
    assert_eq!(tenure.next_claim().epoch, 4);
}

#[test]
fn nothing_is_claimed_while_the_store_does_not_answer_nor_when_it_is_back() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, Some(held(3, "b", 7)));
    let mut now = START;
    while now.since(START) < Span::from_secs(4) {
        assert_ne!(tenure.step(now, NONE), Step::Claim, "at {now:?}");
        now += Span::from_ms(50);
    }
    // The holder has not been able to renew: it has its time from now on.
    tenure.heard(now);
    assert_eq!(tenure.step(now, NONE), Step::Wait);
    let later = now + Settings::default().patience + Settings::default().spread;
    tenure.heard(later);
    assert_eq!(tenure.step(later, NONE), Step::Claim);
}

#[test]
fn silence_while_the_store_was_away_says_nothing() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, Some(held(3, "b", 7)));
    let later = START + Span::from_secs(10);
    tenure.store_was_away(later);
    assert_eq!(tenure.step(later + Span::from_ms(500), NONE), Step::Wait);
}

#[test]
fn a_claim_of_an_earlier_process_of_the_same_instance_is_taken_up_at_once() {
    let mut tenure = tenure("a", 9);
    tenure.observe(START, Some(held(3, "a", 7)));
    assert!(!tenure.is_mine());
    assert_eq!(tenure.step(START, NONE), Step::Claim);
    assert_eq!(tenure.next_claim().epoch, 4);
}

#[test]
fn a_released_shard_is_claimed_without_patience() {
    let mut tenure = tenure("a", 1);
    let released = Claim { holder: None, ..held(3, "b", 0) };
    tenure.observe(START, Some(released));
    assert_eq!(tenure.step(START + Settings::default().spread, NONE), Step::Claim);
}

#[test]
fn a_holder_renews_under_its_epoch() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, None);
    let claim = tenure.next_claim();
    tenure.renewed(START, claim.clone());
    assert!(tenure.is_mine());
    assert_eq!(tenure.step(START + Span::from_ms(100), NONE), Step::Wait);
    assert_eq!(tenure.step(START + Settings::default().renew_every, NONE), Step::Renew);
    assert_eq!(tenure.next_claim().epoch, claim.epoch);
    assert_ne!(tenure.next_claim().renewal, claim.renewal);
}

fn weak(name: &str) -> Tenure {
    let settings = Settings { reach: 60, ..Settings::default() };
    Tenure::new(settings, InstanceName::from(name), 1, 0.5)
}

#[test]
fn an_instance_that_cannot_steer_a_shard_leaves_it_to_others_first() {
    let (mut weak, mut usual) = (weak("a"), tenure("b", 1));
    weak.observe(START, None);
    usual.observe(START, None);
    let settings = Settings::default();
    let soon = START + settings.spread;
    assert_eq!(usual.step(soon, HEAVY), Step::Claim);
    assert_eq!(weak.step(soon, HEAVY), Step::Wait);
    assert_eq!(weak.step(soon + settings.head_start, HEAVY), Step::Claim);
}

#[test]
fn an_instance_with_a_shard_leaves_further_ones_to_others_first() {
    let mut tenure = tenure("a", 1);
    tenure.observe(START, None);
    let soon = START + Settings::default().spread;
    assert_eq!(tenure.step(soon, Burden { kept: 2, ..NONE }), Step::Wait);
    assert_eq!(tenure.step(soon, NONE), Step::Claim);
}

#[test]
fn a_holder_that_cannot_steer_its_shard_is_relieved_though_it_renews() {
    let mut tenure = tenure("a", 1);
    let settings = Settings::default();
    let mut now = START;
    let mut step = Step::Wait;
    for renewal in 0..20 {
        tenure.observe(now, Some(Claim { renewal, reach: 60, ..held(3, "b", 7) }));
        step = tenure.step(now, HEAVY);
        if step == Step::Claim {
            break;
        }
        now += settings.renew_every;
    }
    assert_eq!(step, Step::Claim);
    assert!(now.since(START) >= settings.makeshift);
    assert_eq!(tenure.next_claim().epoch, 4);
}

#[test]
fn a_holder_that_can_steer_its_shard_is_not_relieved() {
    let mut tenure = tenure("a", 1);
    let mut now = START;
    for renewal in 0..20 {
        tenure.observe(now, Some(Claim { renewal, ..held(3, "b", 7) }));
        assert_eq!(tenure.step(now, HEAVY), Step::Wait);
        now += Settings::default().renew_every;
    }
}

#[test]
fn a_shard_is_not_given_up_again_soon_after_another_did_so() {
    let mut first = tenure("a", 1);
    first.observe(START, Some(held(3, "a", 1)));
    let given_up = first.yielding(50_000).expect("the first time");
    assert_eq!((given_up.holder.as_ref(), given_up.epoch), (None, 3));
    let mut second = tenure("b", 1);
    second.observe(START, Some(given_up));
    let claim = second.next_claim();
    second.renewed(START, claim);
    assert_eq!(second.yielding(55_000), None);
    assert!(second.yielding(61_000).is_some());
}
