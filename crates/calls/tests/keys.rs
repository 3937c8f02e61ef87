//! Limits, retention and restoration of the ledger of keys.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cluster;

use bytes::Bytes;
use cluster::{config, executor_name, name};
use sycamorerill_calls::keys::{self, End, Key, Record, Shard};
use sycamorerill_calls::router::{
    Call, Command, Event, Executor, InProgress, KeyRecordError, Outcome, Reason, Router,
    SendOutcome, Settings,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, Epoch};
use sycamorerill_core::model::Urgency;

/// Retention of keys that [`config`] declares.
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
        Event::ExecutorsListed(vec![listed]),
        Event::ExecutorOwned { executor, epoch: Epoch(1), in_progress },
        Event::KeyShardOwned { shard: Shard(0), records },
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
        key_recorded: false,
        hops: 0,
    }
}

/// Handles a call with a key: its arrival, the durable record and the answer.
///
/// Returns the outcome, if there is one, and all commands.
fn call(router: &mut Router, now: Time, id: u64, key: Key) -> (Option<Outcome>, Vec<Command>) {
    let mut commands = Vec::new();
    router.handle(now, Event::Arrived(keyed(now, id, key)), &mut commands);
    router.handle(now, Event::KeyDurable { call: CallId(id) }, &mut commands);
    let sent = commands.iter().find_map(|command| match command {
        Command::Send { call, attempt, .. } => Some((*call, *attempt)),
        _ => None,
    });
    if let Some((call, attempt)) = sent {
        let answer = SendOutcome::Complete { status: 200 };
        router.handle(now, Event::Answered { call, attempt, answer }, &mut commands);
    }
    let outcome = commands.iter().find_map(|command| match command {
        Command::Reply { outcome, .. } => Some(*outcome),
        _ => None,
    });
    (outcome, commands)
}

fn one_shard() -> keys::Settings {
    keys::Settings { shards: 1, ..keys::Settings::default() }
}

#[test]
fn full_ledger_refuses_new_keys_and_answers_repeats() {
    let mut router = router(keys::Settings { max_keys: 1, ..one_shard() }, Vec::new());
    let now = Time::from_ms(1);
    assert!(matches!(call(&mut router, now, 1, key("a", 1)).0, Some(Outcome::Answered { .. })));
    let full = call(&mut router, now, 2, key("b", 1)).0;
    assert_eq!(full, Some(Outcome::NotRun(Reason::KeysFull)));
    let repeat = call(&mut router, now, 3, key("a", 1)).0;
    assert_eq!(repeat, Some(Outcome::Repeat { first: CallId(1) }));
}

#[test]
fn repeat_of_an_evicted_answer_is_unknown() {
    let mut router = router(keys::Settings { max_answers: 1, ..one_shard() }, Vec::new());
    let now = Time::from_ms(1);
    call(&mut router, now, 1, key("a", 1));
    let (_, commands) = call(&mut router, now, 2, key("b", 1));
    assert!(commands.contains(&Command::DropAnswer { call: CallId(1) }));
    let repeat = call(&mut router, now, 3, key("a", 1)).0;
    assert_eq!(repeat, Some(Outcome::Unknown(Reason::KeyEndUnknown)));
}

#[test]
fn key_expires_after_its_retention() {
    let mut router = router(one_shard(), Vec::new());
    let now = Time::from_ms(1);
    call(&mut router, now, 1, key("a", 1));
    let before = call(&mut router, now + RETENTION - Span::from_ms(1), 2, key("a", 1)).0;
    assert_eq!(before, Some(Outcome::Repeat { first: CallId(1) }));
    let (after, commands) = call(&mut router, now + RETENTION, 3, key("a", 1));
    assert!(matches!(after, Some(Outcome::Answered { .. })));
    assert!(commands.contains(&Command::DropAnswer { call: CallId(1) }));
}

#[test]
fn key_reused_with_a_different_request_is_refused() {
    let mut router = router(one_shard(), Vec::new());
    let now = Time::from_ms(1);
    call(&mut router, now, 1, key("a", 1));
    let other = call(&mut router, now, 2, key("a", 2)).0;
    assert_eq!(other, Some(Outcome::NotRun(Reason::KeyReused)));
}

#[test]
fn restored_key_runs_only_if_no_earlier_call_may_have_run() {
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
fn end_is_recorded_only_if_the_beginning_is_durable() {
    let mut router = router(one_shard(), Vec::new());
    let now = Time::from_ms(1);
    let mut commands = Vec::new();
    router.handle(now, Event::Arrived(keyed(now, 1, key("a", 1))), &mut commands);
    let refused = Event::KeyNotDurable { call: CallId(1), error: KeyRecordError::Unavailable };
    router.handle(now, refused, &mut commands);
    let reply = Command::Reply { call: CallId(1), outcome: Outcome::NotRun(Reason::StoreDown) };
    assert!(commands.contains(&reply));
    assert!(!commands.iter().any(is_end), "{commands:?}");
    let (_, commands) = call(&mut router, now, 2, key("a", 1));
    assert!(commands.iter().any(is_end), "{commands:?}");
}
