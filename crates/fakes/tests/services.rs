//! Tests the table, the object store and the instance list, and their faults.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use bytes::Bytes;
use common::{long_timeout, platform, table, undelayed, wait_until};
use sycamorerill_clients::instances::{self, Change, State};
use sycamorerill_clients::object::{self, Put};
use sycamorerill_clients::table::{Client, Expect, Key, RowVersion, Transaction, TransactionId};
use sycamorerill_clients::{Error, UnknownCause, endpoint};
use sycamorerill_core::clock::{Clock, Span};
use sycamorerill_core::rate::PerSecond;
use sycamorerill_fakes::faults::{Loss, ServiceFaults};
use sycamorerill_fakes::{Fault, Platform, Settings};

fn transaction(identity: &str) -> Transaction {
    Transaction::new(TransactionId::new(identity))
}

fn short_timeout_client(platform: &Platform) -> Client {
    let settings = sycamorerill_clients::Settings {
        timeout: Span::from_ms(300),
        client: Some("entry-1".parse().unwrap()),
        ..Default::default()
    };
    Client::new(platform.address(), settings)
}

#[test]
fn a_transaction_is_atomic_and_conditional() {
    let platform = platform(undelayed());
    let table = table(&platform);
    let first = transaction("t1").when("a", Expect::Absent).put("a", "1").put("b", "2");
    let versions = table.transact(&first).unwrap().versions;
    assert_eq!(versions.len(), 2);
    let version = versions[&Key::from("a")];
    let second = transaction("t2").when("a", Expect::Version(version)).put("a", "3").delete("b");
    table.transact(&second).unwrap();
    assert_eq!(table.row(&Key::from("b")).unwrap(), None);
    let stale = transaction("t3").when("a", Expect::Version(version)).put("c", "4");
    let Err(Error::Conflict(conflict)) = table.transact(&stale) else {
        panic!("expected a conflict");
    };
    let present = conflict.present.clone().unwrap();
    assert_eq!((conflict.key.as_str(), &present.value[..]), ("a", &b"3"[..]));
    assert!(present.version > version);
    assert!(conflict.is_written_by(&TransactionId::new("t2")));
    assert_eq!(table.row(&Key::from("c")).unwrap(), None, "a conflict writes nothing");
}

#[test]
fn a_version_is_never_used_twice() {
    let platform = platform(undelayed());
    let table = table(&platform);
    let mut last = RowVersion(0);
    for round in 0..3 {
        let put = transaction(&format!("p{round}")).when("a", Expect::Absent).put("a", "same");
        let version = table.transact(&put).unwrap().versions[&Key::from("a")];
        assert!(version > last);
        last = version;
        table.transact(&transaction(&format!("d{round}")).delete("a")).unwrap();
    }
}

#[test]
fn a_scan_returns_pages_in_the_order_of_the_keys() {
    let platform = platform(undelayed());
    let table = table(&platform);
    let keys = ["p/3", "p/1", "q/1", "p/2", "o/9"];
    let all = keys.iter().fold(transaction("t"), |all, key| all.put(*key, "value"));
    table.transact(&all).unwrap();
    let prefix = Key::from("p/");
    let first = table.scan(&prefix, None, 2).unwrap();
    let names = |page: &sycamorerill_clients::table::ScanPage| {
        page.rows.iter().map(|row| row.key.to_string()).collect::<Vec<_>>()
    };
    assert_eq!((names(&first), first.more), (vec!["p/1".to_owned(), "p/2".to_owned()], true));
    let rest = table.scan(&prefix, Some(&first.rows[1].key), 2).unwrap();
    assert_eq!((names(&rest), rest.more), (vec!["p/3".to_owned()], false));
}

#[test]
fn a_table_that_is_down_answers_unavailable_and_changes_nothing() {
    let platform = platform(undelayed());
    let table = table(&platform);
    platform.set_fault(Fault::Table(ServiceFaults { down: true, ..ServiceFaults::default() }));
    let refused = table.transact(&transaction("t").put("a", "1")).unwrap_err();
    assert!(matches!(refused, Error::Unavailable { .. }) && refused.had_no_effect());
    platform.set_fault(Fault::None);
    assert_eq!(table.row(&Key::from("a")).unwrap(), None);
    let counts = platform.counts().table;
    assert_eq!((counts.writes, counts.reads, counts.failed), (0, 1, 1));
}

#[test]
fn a_write_whose_answer_was_lost_is_recognised_when_it_is_read_back() {
    let platform = platform(undelayed());
    let table = table(&platform);
    let lose = Loss { next: 1, share: 0.0 };
    platform.set_fault(Fault::Table(ServiceFaults { lose, ..ServiceFaults::default() }));
    let write = transaction("mine").when("a", Expect::Absent).put("a", "1");
    let lost = table.transact(&write).unwrap_err();
    assert!(
        matches!(&lost, Error::Unknown { cause: UnknownCause::ConnectionClosed, .. }),
        "{lost:?}"
    );
    assert!(!lost.had_no_effect());
    let row = table.row(&Key::from("a")).unwrap().unwrap();
    assert_eq!(row.identity, TransactionId::new("mine"));
    let Err(Error::Conflict(conflict)) = table.transact(&write) else {
        panic!("expected the repeat to find the first write");
    };
    assert!(conflict.is_written_by(&TransactionId::new("mine")));
}

#[test]
fn a_share_of_the_answers_can_be_lost() {
    let platform = platform(undelayed());
    let table = table(&platform);
    let lose = Loss { next: 0, share: 0.5 };
    platform.set_fault(Fault::Table(ServiceFaults { lose, ..ServiceFaults::default() }));
    let lost = (0..200).filter(|_| table.row(&Key::from("a")).is_err()).count();
    assert!((50..150).contains(&lost), "{lost} of 200 were lost");
}

#[test]
fn a_table_that_hangs_gives_no_answer_and_changes_nothing() {
    let platform = platform(undelayed());
    platform.set_fault(Fault::Table(ServiceFaults { hang: true, ..ServiceFaults::default() }));
    let hung =
        short_timeout_client(&platform).transact(&transaction("t").put("a", "1")).unwrap_err();
    assert!(matches!(&hung, Error::Unknown { cause: UnknownCause::Timeout, .. }), "{hung:?}");
    platform.set_fault(Fault::None);
    assert_eq!(table(&platform).row(&Key::from("a")).unwrap(), None);
}

#[test]
fn a_write_to_a_slow_table_takes_effect_after_its_client_timed_out() {
    let platform = platform(undelayed());
    let slow = Span::from_ms(900);
    platform.set_fault(Fault::Table(ServiceFaults { slow, ..ServiceFaults::default() }));
    let late =
        short_timeout_client(&platform).transact(&transaction("t").put("a", "1")).unwrap_err();
    assert!(matches!(&late, Error::Unknown { cause: UnknownCause::Timeout, .. }), "{late:?}");
    let table = table(&platform);
    wait_until(|| table.row(&Key::from("a")).unwrap().is_some());
}

#[test]
fn a_client_that_is_cut_off_gets_no_answer_while_others_do() {
    let platform = platform(undelayed());
    let cut_off = ["entry-1".parse().unwrap()].into();
    platform.set_fault(Fault::Table(ServiceFaults { cut_off, ..ServiceFaults::default() }));
    let cut =
        short_timeout_client(&platform).transact(&transaction("t").put("a", "1")).unwrap_err();
    assert!(matches!(&cut, Error::Unknown { cause: UnknownCause::Timeout, .. }), "{cut:?}");
    assert_eq!(table(&platform).row(&Key::from("a")).unwrap(), None);
}

#[test]
fn a_request_to_a_stopped_server_is_not_sent() {
    let platform = platform(undelayed());
    let table = table(&platform);
    platform.stop();
    let refused = table.transact(&transaction("t").put("a", "1")).unwrap_err();
    assert!(matches!(refused, Error::NotSent { .. }), "{refused:?}");
}

#[test]
fn objects_are_put_listed_and_deleted() {
    let platform = platform(undelayed());
    let objects = object::Client::new(platform.address(), long_timeout());
    objects.put("cells/1/snapshot", Bytes::from_static(b"\x00\xff"), Put::IfAbsent).unwrap();
    let again = objects.put("cells/1/snapshot", Bytes::from_static(b"2"), Put::IfAbsent);
    assert!(matches!(again, Err(Error::Exists { .. })), "{again:?}");
    assert_eq!(&objects.get("cells/1/snapshot").unwrap().unwrap()[..], b"\x00\xff");
    objects.put("cells/1/snapshot", Bytes::from_static(b"123"), Put::Replace).unwrap();
    objects.put("other", Bytes::new(), Put::Replace).unwrap();
    let listed = objects.list("cells/").unwrap();
    assert_eq!(listed.len(), 1);
    assert_eq!((listed[0].key.as_str(), listed[0].bytes), ("cells/1/snapshot", 3));
    objects.delete("cells/1/snapshot").unwrap();
    objects.delete("cells/1/snapshot").unwrap();
    assert_eq!(objects.get("cells/1/snapshot").unwrap(), None);
    assert_eq!(objects.get("other").unwrap(), Some(Bytes::new()));
    let wrong = objects.get("a b").unwrap_err();
    assert!(matches!(wrong, Error::NotSent { .. }), "{wrong:?}");
}

#[test]
fn an_object_whose_answer_was_lost_is_there() {
    let platform = platform(undelayed());
    let objects = object::Client::new(platform.address(), long_timeout());
    let lose = Loss { next: 1, share: 0.0 };
    platform.set_fault(Fault::Objects(ServiceFaults { lose, ..ServiceFaults::default() }));
    let lost = objects.put("a", Bytes::from_static(b"1"), Put::IfAbsent).unwrap_err();
    assert!(matches!(lost, Error::Unknown { .. }), "{lost:?}");
    assert_eq!(objects.get("a").unwrap(), Some(Bytes::from_static(b"1")));
}

#[test]
fn a_large_object_is_stored_completely() {
    let platform = platform(undelayed());
    let objects = object::Client::new(platform.address(), long_timeout());
    let body = Bytes::from(vec![7_u8; 5 << 20]);
    objects.put("large", body.clone(), Put::Replace).unwrap();
    assert!(objects.get("large").unwrap().unwrap() == body);
    let bounded = sycamorerill_clients::Settings { max_response_bytes: 1 << 20, ..long_timeout() };
    let bounded = object::Client::new(platform.address(), bounded).get("large").unwrap_err();
    let limit = 1 << 20;
    assert!(
        matches!(&bounded, Error::Unknown { cause: UnknownCause::TooLarge { limit: found }, .. } if *found == limit),
        "{bounded:?}"
    );
}

#[test]
fn the_instance_list_shows_a_change_after_its_lag() {
    let platform = platform(undelayed());
    let list = instances::Client::new(platform.address(), long_timeout());
    let all = list.list().unwrap();
    assert_eq!(all.len(), 130);
    let name = all[0].name.clone();
    list.change(&Change::Leave(name.clone())).unwrap();
    assert_eq!(list.list().unwrap()[0].state, State::Leaving);
    platform.change_instance(Change::Remove(name));
    assert_eq!(list.list().unwrap().len(), 129);
    platform.change_instance(Change::Add(Box::new(all[0].clone())));
    assert_eq!(list.list().unwrap(), all);
}

#[test]
fn work_for_an_instance_that_left_long_ago_is_counted() {
    let call = |platform: &Platform| {
        let call = endpoint::Call { identity: "id".to_owned(), ..Default::default() };
        common::executor(platform, "x-vejle-a-01").call(&call);
        platform.counts().executors.after_leaving
    };
    let leave =
        |platform: &Platform| platform.change_instance(Change::Leave("x-vejle-a-01".to_owned()));
    let long_grace = platform(Settings { leave_grace: Span::from_secs(600), ..undelayed() });
    leave(&long_grace);
    assert_eq!(call(&long_grace), 0);
    let no_grace = platform(Settings { leave_grace: Span::ZERO, ..undelayed() });
    assert_eq!(call(&no_grace), 0);
    leave(&no_grace);
    wait_until(|| call(&no_grace) > 0);
}

#[test]
fn the_instance_list_lags() {
    let endless = Span::from_secs(600);
    let platform = platform(Settings { list_lag: endless, ..undelayed() });
    let list = instances::Client::new(platform.address(), long_timeout());
    let all = list.list().unwrap();
    platform.change_instance(Change::Remove(all[0].name.clone()));
    assert_eq!(list.list().unwrap(), all);
}

#[test]
fn reads_and_writes_above_the_rate_wait_for_their_turn() {
    let slow = PerSecond(20.0);
    let platform = platform(Settings { store_writes: slow, ..undelayed() });
    let table = table(&platform);
    let clock = Clock::start();
    let started = clock.now();
    for round in 0..10 {
        table.transact(&transaction(&format!("t{round}")).put("a", "1")).unwrap();
    }
    // Ten writes at 20 per second take 450 ms, less the burst of 100 ms.
    assert!(clock.now().since(started) >= Span::from_ms(350));
    assert_eq!(platform.counts().table.writes, 10);
}
