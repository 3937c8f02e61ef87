//! Tests how executors answer, count calls and connections, and apply faults.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::thread;
use std::time::Duration;

use bytes::Bytes;
use common::{TEST_TIMEOUT, executor, platform, undelayed, wait_until};
use sycamorerill_clients::UnknownCause;
use sycamorerill_clients::endpoint::{Call, Method, Outcome};
use sycamorerill_core::clock::Span;
use sycamorerill_fakes::faults::{ExecutorFaults, Selector};
use sycamorerill_fakes::{Fault, RunKey};

/// Time after the deadline at which a late answer is sent. The caller's thread may itself come to run
/// later than its deadline, by less than this.
const LATE: Span = Span::from_ms(1_000);
/// Longer than any test.
const ENDLESS_MS: u64 = 600_000;
const NAME: &str = "x-vejle-a-01";

fn call(identity: &str, run_ms: u64) -> Call {
    Call {
        path: format!("/cut-list?run_ms={run_ms}"),
        body: Bytes::from(format!("body of {identity}")),
        content_type: Some("text/plain".to_owned()),
        identity: identity.to_owned(),
        budget: TEST_TIMEOUT,
        ..Call::default()
    }
}

fn set(faults: ExecutorFaults) -> Fault {
    Fault::Executors { select: Selector::Name(NAME.to_owned()), faults }
}

#[test]
fn an_answer_is_complete_and_echoes_its_request() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    let outcome = client.call(&call("one", 0));
    let Outcome::Complete { status, body, content_type } = outcome else {
        panic!("expected a complete answer, found {outcome:?}");
    };
    assert_eq!((status, &body[..]), (200, &b"body of one"[..]));
    assert_eq!(content_type.as_deref(), Some("text/plain"));
    assert_eq!(platform.run_count(&RunKey::Identity("one".to_owned())), 1);
    assert_eq!(platform.run_count(&RunKey::Body("body of one".to_owned())), 1);
    assert_eq!(platform.run_count(&RunKey::Identity("two".to_owned())), 0);
}

#[test]
fn a_refused_call_did_not_run() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    for faults in [
        ExecutorFaults { refusing: true, ..ExecutorFaults::default() },
        ExecutorFaults { leaving: true, ..ExecutorFaults::default() },
    ] {
        platform.set_fault(set(faults));
        assert_eq!(client.call(&call("refused", 0)), Outcome::Refused);
    }
    assert_eq!(platform.run_count(&RunKey::Identity("refused".to_owned())), 0);
    assert_eq!(platform.counts().executors.refused, 2);
}

#[test]
fn a_call_that_fails_has_run() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    platform.set_fault(set(ExecutorFaults { failing: 1.0, ..ExecutorFaults::default() }));
    assert!(matches!(client.call(&call("failed", 0)), Outcome::Complete { status: 500, .. }));
    assert_eq!(platform.run_count(&RunKey::Identity("failed".to_owned())), 1);
}

#[test]
fn a_cut_answer_is_unknown_and_its_connection_is_not_used_again() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    platform.set_fault(set(ExecutorFaults { cut: 1.0, ..ExecutorFaults::default() }));
    assert_eq!(client.call(&call("cut", 0)), Outcome::Unknown(UnknownCause::ConnectionClosed));
    platform.set_fault(set(ExecutorFaults::default()));
    assert!(matches!(client.call(&call("next", 0)), Outcome::Complete { status: 200, .. }));
    assert_eq!(platform.run_count(&RunKey::Identity("cut".to_owned())), 1);
}

#[test]
fn an_answer_to_another_request_is_unknown() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    platform.set_fault(set(ExecutorFaults { misdirect: 1.0, ..ExecutorFaults::default() }));
    let expected = "mine".to_owned();
    assert_eq!(
        client.call(&call("mine", 0)),
        Outcome::Unknown(UnknownCause::Identity { expected })
    );
}

#[test]
fn an_answer_after_the_deadline_is_unknown_and_not_taken_for_the_next_one() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    platform.set_fault(set(ExecutorFaults { late: LATE, ..ExecutorFaults::default() }));
    let late = Call { budget: Span::from_ms(100), ..call("late", 0) };
    assert_eq!(client.call(&late), Outcome::Unknown(UnknownCause::Timeout));
    platform.set_fault(set(ExecutorFaults::default()));
    // Before the late answer is sent, and after it.
    for wait in [Span::ZERO, LATE.saturating_mul(2)] {
        thread::sleep(Duration::from_millis(wait.as_ms()));
        let outcome = client.call(&call("next", 0));
        assert!(matches!(&outcome, Outcome::Complete { body, .. } if &body[..] == b"body of next"));
    }
}

#[test]
fn an_executor_that_is_gone_runs_nothing() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    platform.set_fault(set(ExecutorFaults { gone: true, ..ExecutorFaults::default() }));
    assert_eq!(client.call(&call("gone", 0)), Outcome::Unknown(UnknownCause::ConnectionClosed));
    assert_eq!(platform.run_count(&RunKey::Identity("gone".to_owned())), 0);
}

#[test]
fn a_ninth_call_at_once_is_counted() {
    let platform = platform(undelayed());
    let begin = |identity: String| {
        let client = executor(&platform, NAME);
        thread::spawn(move || client.call(&call(&identity, ENDLESS_MS)));
    };
    (0..8).for_each(|index| begin(format!("call-{index}")));
    wait_until(|| platform.counts().executors.running == 8);
    assert_eq!(platform.counts().executors.overcommitted, 0);
    begin("call-8".to_owned());
    wait_until(|| platform.counts().executors.running == 9);
    let counts = platform.counts().executors;
    assert_eq!((counts.overcommitted, counts.peak_running), (1, 9));
}

#[test]
fn connections_above_the_limit_are_counted() {
    let platform = platform(undelayed());
    let clients: Vec<_> = (0..61).map(|_| executor(&platform, NAME)).collect();
    for (index, client) in clients.iter().take(60).enumerate() {
        client.call(&call(&format!("c{index}"), 0));
    }
    assert_eq!(platform.counts().executors.overconnected, 0);
    clients[60].call(&call("c60", 0));
    let counts = platform.counts().executors;
    assert_eq!((counts.overconnected, counts.peak_connections), (1, 61));
    drop(clients);
    wait_until(|| platform.counts().executors.connected == 0);
}

#[test]
fn a_call_continues_to_run_after_its_caller_times_out() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    let short = Call { budget: Span::from_ms(500), ..call("long", ENDLESS_MS) };
    assert_eq!(client.call(&short), Outcome::Unknown(UnknownCause::Timeout));
    wait_until(|| platform.counts().executors.running == 1);
}

#[test]
fn a_second_run_of_an_identity_or_key_is_counted() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    let keyed = Call { key: Some("booking-7".to_owned()), ..call("first", 0) };
    client.call(&keyed);
    client.call(&Call { identity: "second".to_owned(), ..keyed.clone() });
    client.call(&keyed);
    let counts = platform.counts().executors;
    assert_eq!((counts.ran_twice, counts.keys_ran_twice), (1, 2));
    assert_eq!(platform.run_count(&RunKey::Key("booking-7".to_owned())), 3);
}

#[test]
fn six_hundred_calls_at_once_are_all_answered() {
    let platform = platform(undelayed());
    let answered = thread::scope(|scope| {
        let begin = |index| {
            let client = executor(&platform, &format!("x-vejle-a-{:02}", index % 16 + 1));
            scope.spawn(move || client.call(&call(&format!("burst-{index}"), 100)))
        };
        let callers: Vec<_> = (0..600).map(begin).collect();
        let outcomes = callers.into_iter().map(|caller| caller.join().unwrap());
        outcomes.filter(|outcome| matches!(outcome, Outcome::Complete { status: 200, .. })).count()
    });
    assert_eq!(answered, 600);
}

#[test]
fn every_method_passes_with_and_without_a_body() {
    let platform = platform(undelayed());
    let client = executor(&platform, NAME);
    let methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"];
    for method in methods {
        for body in ["", "a body"] {
            let identity = format!("{method}{body}").replace(' ', "-");
            let body = Bytes::from(body);
            let method: Method = method.parse().unwrap();
            let sent = Call { method: method.clone(), body: body.clone(), ..call(&identity, 0) };
            let outcome = client.call(&sent);
            let Outcome::Complete { status: 200, body: echoed, .. } = &outcome else {
                panic!("{identity}: {outcome:?}");
            };
            if method != Method::HEAD && !body.is_empty() {
                assert_eq!(*echoed, body, "{identity}");
            }
        }
    }
}
