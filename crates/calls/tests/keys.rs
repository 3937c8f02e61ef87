//! Bounds of the ledger of keys: how many, how long, and what is restored.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod world;

use bytes::Bytes;
use sycamorerill_calls::keys::{self, End, Key, Record, Shard};
use sycamorerill_calls::router::{
    Answer, Call, Command, Event, Executor, InProgress, Outcome, Reason, Refusal, Router, Settings,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, Epoch};
use sycamorerill_core::model::Urgency;
use world::{config, executor_name, name};

/// Retention of keys as declared in the fakes.
const RETENTION: Span = Span::from_secs(60);

fn key(text: &'static str, digest: u64) -> Key {
    Key { text: Bytes::from_static(text.as_bytes()), digest }
}

fn router(keys: keys::Settings, records: Vec<Record>) -> Router {
    let mut router = Router::new(Settings { keys, ..Settings::default() }, 1);
    let (executor, in_progress) = (executor_name(0), InProgress::Known(0));
    let listed = Executor {
        name: executor.clone(),
        service: name("quote"),
        domain: name("d0"),
        slots: 2,
        leaving: false,
    };
    let events = [
        Event::Configured(config()),
        Event::Listed(vec![listed]),
        Event::Owned { executor, epoch: Epoch(1), in_progress },
        Event::KeysOwned { shard: Shard(0), records },
    ];
    for event in events {
        router.handle(Time::ZERO, event, &mut Vec::new());
    }
    router
}

fn keyed(now: Time, id: u64, key: Key) -> Call {
    Call {
        id: CallId(id),
        service: name("quote"),
        team: name("desk"),
        urgency: Urgency::Normal,
        deadline: now + Span::from_ms(250),
        idempotent: false,
        key: Some(key),
        claimed: false,
        hops: 0,
    }
}

/// Lets a keyed call arrive and its journal, executor and caller do their parts.
fn call(router: &mut Router, now: Time, id: u64, key: Key) -> (Option<Outcome>, Vec<Command>) {
    let mut seen = Vec::new();
    router.handle(now, Event::Arrived(keyed(now, id, key)), &mut seen);
    router.handle(now, Event::KeyDurable { call: CallId(id) }, &mut seen);
    let sent = seen.iter().find_map(|command| match command {
        Command::Send { call, attempt, .. } => Some((*call, *attempt)),
        _ => None,
    });
    if let Some((call, attempt)) = sent {
        let answer = Answer::Whole { status: 200 };
        router.handle(now, Event::Answered { call, attempt, answer }, &mut seen);
    }
    let outcome = seen.iter().find_map(|command| match command {
        Command::Reply { outcome, .. } => Some(*outcome),
        _ => None,
    });
    (outcome, seen)
}

fn one_shard() -> keys::Settings {
    keys::Settings { shards: 1, ..keys::Settings::default() }
}

#[test]
fn a_full_ledger_refuses_new_keys_and_still_knows_the_old_ones() {
    let mut router = router(keys::Settings { max_keys: 1, ..one_shard() }, Vec::new());
    let now = Time::from_ms(1);
    assert!(matches!(call(&mut router, now, 1, key("a", 1)).0, Some(Outcome::Answered { .. })));
    let full = call(&mut router, now, 2, key("b", 1)).0;
    assert_eq!(full, Some(Outcome::NotRun(Reason::KeysFull)));
    let repeat = call(&mut router, now, 3, key("a", 1)).0;
    assert_eq!(repeat, Some(Outcome::Repeat { first: CallId(1) }));
}

#[test]
fn an_answer_that_is_one_too_many_is_forgotten_and_its_repeat_is_unknown() {
    let mut router = router(keys::Settings { max_answers: 1, ..one_shard() }, Vec::new());
    let now = Time::from_ms(1);
    call(&mut router, now, 1, key("a", 1));
    let (_, seen) = call(&mut router, now, 2, key("b", 1));
    assert!(seen.contains(&Command::Forget { call: CallId(1) }));
    let repeat = call(&mut router, now, 3, key("a", 1)).0;
    assert_eq!(repeat, Some(Outcome::Unknown(Reason::KeyEndUnknown)));
}

#[test]
fn a_key_is_kept_for_its_retention_and_no_longer() {
    let mut router = router(one_shard(), Vec::new());
    let now = Time::from_ms(1);
    call(&mut router, now, 1, key("a", 1));
    let before = call(&mut router, now + RETENTION - Span::from_ms(1), 2, key("a", 1)).0;
    assert_eq!(before, Some(Outcome::Repeat { first: CallId(1) }));
    let (after, seen) = call(&mut router, now + RETENTION, 3, key("a", 1));
    assert!(matches!(after, Some(Outcome::Answered { .. })));
    assert!(seen.contains(&Command::Forget { call: CallId(1) }));
}

#[test]
fn a_key_used_with_another_request_is_refused() {
    let mut router = router(one_shard(), Vec::new());
    let now = Time::from_ms(1);
    call(&mut router, now, 1, key("a", 1));
    let other = call(&mut router, now, 2, key("a", 2)).0;
    assert_eq!(other, Some(Outcome::NotRun(Reason::KeyReused)));
}

#[test]
fn a_restored_key_runs_only_if_its_last_call_is_known_not_to_have_run() {
    let begun = |call, text| Record::Begun {
        call: CallId(call),
        service: name("quote"),
        key: key(text, 1),
        retention: RETENTION,
    };
    let not_run = |call, text| Record::Ended {
        call: CallId(call),
        service: name("quote"),
        key: key(text, 1),
        end: End::NotRun,
    };
    let records = vec![
        begun(1, "open"),
        begun(2, "free"),
        not_run(2, "free"),
        begun(3, "again"),
        begun(4, "again"),
        not_run(3, "again"),
        not_run(5, "early"),
        begun(5, "early"),
        begun(6, "twice"),
        begun(6, "twice"),
        not_run(6, "twice"),
    ];
    let mut router = router(one_shard(), records);
    let now = Time::from_ms(1);
    let unknown = Some(Outcome::Unknown(Reason::KeyEndUnknown));
    assert_eq!(call(&mut router, now, 11, key("open", 1)).0, unknown);
    assert_eq!(call(&mut router, now, 12, key("again", 1)).0, unknown);
    assert_eq!(call(&mut router, now, 13, key("twice", 1)).0, unknown);
    for (id, text) in [(14, "free"), (15, "early")] {
        let outcome = call(&mut router, now, id, key(text, 1)).0;
        assert!(matches!(outcome, Some(Outcome::Answered { .. })), "{text}: {outcome:?}");
    }
}

fn is_end(command: &Command) -> bool {
    matches!(command, Command::Journal { record: Record::Ended { .. }, .. })
}

#[test]
fn the_end_of_a_call_is_recorded_only_if_its_beginning_lasts() {
    let mut router = router(one_shard(), Vec::new());
    let now = Time::from_ms(1);
    let mut seen = Vec::new();
    router.handle(now, Event::Arrived(keyed(now, 1, key("a", 1))), &mut seen);
    let refused = Event::KeyRefused { call: CallId(1), refusal: Refusal::Down };
    router.handle(now, refused, &mut seen);
    let told = Command::Reply { call: CallId(1), outcome: Outcome::NotRun(Reason::StoreDown) };
    assert!(seen.contains(&told));
    assert!(!seen.iter().any(is_end), "{seen:?}");
    let (_, seen) = call(&mut router, now, 2, key("a", 1));
    assert!(seen.iter().any(is_end), "{seen:?}");
}
