//! Scripted scenarios that check each guarantee about calls under the faults that could
//! violate it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cluster;

use std::sync::Arc;

use cluster::Cluster;
use datadriven::{TestCase, walk};
use sycamorerill_calls::router::Event;
use sycamorerill_core::clock::Span;

fn number<T>(case: &mut TestCase, arg: &str) -> T
where
    T: Default + std::str::FromStr<Err = std::num::ParseIntError>,
{
    case.try_take_arg(arg).unwrap().unwrap_or_default()
}

fn issue(cluster: &mut Cluster, case: &mut TestCase) {
    let instance = number(case, "instance");
    let count: u32 = case.try_take_arg("count").unwrap().unwrap_or(1);
    let key = case.try_take_arg("key").unwrap();
    let idempotent = case.take_flag("idempotent").unwrap();
    for _ in 0..count {
        cluster.issue(instance, idempotent, key);
    }
}

fn set_faults(cluster: &mut Cluster, case: &mut TestCase) {
    let on = !case.take_flag("off").unwrap();
    let faults = &mut cluster.faults;
    let all = [
        ("lose-answers", &mut faults.lose_answers),
        ("silent", &mut faults.silent),
        ("refuse", &mut faults.refuse),
        ("store-down", &mut faults.store_down),
        ("store-answers-lost", &mut faults.store_answers_lost),
        ("duplicate-answers", &mut faults.duplicate_answers),
        ("slow", &mut faults.slow),
    ];
    for (name, fault) in all {
        if case.take_flag(name).unwrap() {
            *fault = on;
        }
    }
}

fn list(cluster: &mut Cluster, case: &mut TestCase) {
    let instance = number(case, "instance");
    let leaving = case.try_take_arg("leaving").unwrap();
    let missing: Option<usize> = case.try_take_arg("missing").unwrap();
    let mut list = cluster.list(leaving);
    if let Some(missing) = missing {
        list.remove(missing);
    }
    cluster.event(instance, Event::ExecutorsListed(list));
}

fn run(cluster: &mut Cluster, case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "cluster" => {
            let (instances, executors) = (number(case, "instances"), number(case, "executors"));
            *cluster = Cluster::new(instances, executors, number(case, "slots"), 1);
            cluster.scripted = true;
        }
        "issue" => issue(cluster, case),
        "abandon" => cluster.abandon(number(case, "call")),
        "advance" => cluster.advance(Span::from_ms(number(case, "ms"))),
        "faults" => set_faults(cluster, case),
        "list" => list(cluster, case),
        "heartbeats" => cluster.send_heartbeats(),
        "pause" => cluster.pause(number(case, "instance")),
        "resume" => cluster.resume(number(case, "instance")),
        "crash" => cluster.crash(number(case, "instance")),
        "restart" => cluster.restart(number(case, "instance")),
        "disconnect" => cluster.disconnect(number(case, "instance")),
        "release" => cluster.release(number(case, "executor")),
        "drain" => cluster.drain(number(case, "instance")),
        "move-keys" => cluster.move_keys(number(case, "shard"), number(case, "instance")),
        "remove-key-owner" => cluster.remove_key_owner(number(case, "instance")),
        "clear-config" => {
            cluster.event(number(case, "instance"), Event::Configured(Arc::default()));
        }
        "settle" => cluster.settle(),
        other => panic!("no directive {other}"),
    }
    case.expect_empty().unwrap();
    let lines = std::mem::take(&mut cluster.log);
    lines.into_iter().map(|line| line + "\n").collect()
}

#[test]
fn scripts() {
    walk("tests/scenarios", |file| {
        let mut cluster = Cluster::new(1, 1, 1, 1);
        file.run(|case| run(&mut cluster, &mut case.clone()));
    });
}
