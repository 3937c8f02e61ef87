//! Time until the shards of a killed, draining or restarting owner are served again.

use std::collections::BTreeMap;

use serde_json::json;
use sycamorerill_control::agent::Event;
use sycamorerill_control::journal::Durability;
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use crate::group::{Group, percentile, round};

/// Number of times that an owner is killed, drained or restarted.
const ROUNDS: usize = 20;
/// Number of rounds in the larger group.
const ROUNDS_LARGE: usize = 5;
/// Number of records in the journal of each shard of keys and each cell.
const RECORDS: u64 = 20;

pub(crate) fn run(seed: u64) {
    for count in [9, 90] {
        bench_kill(seed, count);
        bench_drain(seed, count);
    }
    bench_restart(seed);
    bench_replacement(seed);
}

fn group(seed: u64, count: usize) -> Group {
    let mut group = Group::start(seed, count, |_| {});
    let now = group.cluster.now;
    let names = group.names.clone();
    for instance in &names {
        let node = group.cluster.nodes.get_mut(instance).unwrap();
        let shards: Vec<Shard> = node.serving.keys().copied().collect();
        for shard in shards.into_iter().filter(|shard| shard.kind != Kind::Slots) {
            for payload in 0..RECORDS {
                let _ = node.append(now, shard, payload, Durability::Deferred);
            }
        }
        group.cluster.event(instance, Event::Tick);
    }
    group.cluster.run(Span::from_secs(20));
    group
}

fn rounds(count: usize) -> usize {
    if count > 9 { ROUNDS_LARGE } else { ROUNDS }
}

fn serving(group: &Group, instance: &InstanceName) -> Vec<Shard> {
    group.cluster.nodes[instance].serving.keys().copied().collect()
}

/// Returns for each shard the time until another instance served it.
fn takeover_times(
    group: &mut Group,
    shards: &[Shard],
    start: Time,
    limit: Span,
) -> Vec<(Shard, f64)> {
    group.cluster.run(limit);
    let mut durations = Vec::new();
    for shard in shards {
        let gained = group.cluster.gained_shards.iter();
        let first = gained.filter(|(at, _, gained, _)| gained == shard && *at >= start);
        let first = first.map(|(at, ..)| *at).min();
        durations.push((*shard, first.map_or(f64::INFINITY, |at| at.since(start).as_ms_f64())));
    }
    durations
}

fn print_percentiles(what: &str, count: usize, durations: &[(Shard, f64)]) {
    let mut by_kind: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (shard, ms) in durations {
        by_kind.entry(shard.kind.as_str()).or_default().push(*ms);
    }
    by_kind.insert("all", durations.iter().map(|(_, ms)| *ms).collect());
    for (kind, mut samples) in by_kind {
        let p50 = round(percentile(&mut samples, 0.5));
        let p99 = round(percentile(&mut samples, 0.99));
        let late = samples.iter().filter(|ms| ms.is_infinite()).count();
        let line = json!({
            "bench": what, "instances": count, "kind": kind, "shards": samples.len(),
            "p50_ms": p50, "p99_ms": p99, "never": late,
        });
        println!("{line}");
    }
}

fn bench_kill(seed: u64, count: usize) {
    let mut group = group(seed, count);
    let mut durations = Vec::new();
    for round in 0..rounds(count) {
        let at = round * 7 % count;
        let instance = group.names[at].clone();
        let shards = serving(&group, &instance);
        let start = group.cluster.now;
        group.cluster.kill(&instance);
        durations.extend(takeover_times(&mut group, &shards, start, Span::from_secs(20)));
        group.restart(at);
        group.cluster.run(Span::from_secs(30));
    }
    print_percentiles("takeover", count, &durations);
    print_violations("takeover", &group);
}

fn bench_drain(seed: u64, count: usize) {
    let mut group = group(seed, count);
    let mut durations = Vec::new();
    let mut refused = 0;
    for round in 0..rounds(count) {
        let at = round * 7 % count;
        let instance = group.names[at].clone();
        let shards = serving(&group, &instance);
        let start = group.cluster.now;
        group.cluster.event(&instance, Event::Drain);
        durations.extend(takeover_times(&mut group, &shards, start, Span::from_secs(5)));
        refused += shards.len()
            - durations.iter().rev().take(shards.len()).filter(|(_, ms)| ms.is_finite()).count();
        group.restart(at);
        group.cluster.run(Span::from_secs(30));
    }
    print_percentiles("handover", count, &durations);
    println!("{}", json!({"bench": "handover", "instances": count, "shards_not_taken": refused}));
    print_violations("handover", &group);
}

/// Counts the shards gained since `from` by instances other than `except`.
fn moves(group: &Group, from: Time, except: Option<&InstanceName>) -> usize {
    let gained_shards = group.cluster.gained_shards.iter();
    gained_shards.filter(|(at, instance, ..)| *at >= from && Some(instance) != except).count()
}

/// Measures restarts within two seconds, after which a process keeps its own shards.
fn bench_restart(seed: u64) {
    let mut group = group(seed, 9);
    let mut moved = Vec::new();
    for round in 0..ROUNDS {
        let at = round % 9;
        let instance = group.names[at].clone();
        let owned = serving(&group, &instance);
        let start = group.cluster.now;
        group.cluster.kill(&instance);
        group.cluster.run(Span::from_ms(2_000));
        group.restart(at);
        group.cluster.run(Span::from_secs(28));
        moved.push((owned.len(), moves(&group, start, Some(&instance))));
    }
    let owned: usize = moved.iter().map(|(owned, _)| owned).sum();
    let elsewhere: usize = moved.iter().map(|(_, elsewhere)| elsewhere).sum();
    let line = json!({
        "bench": "moved_per_restart", "instances": 9, "down_ms": 2_000,
        "owned": owned as f64 / ROUNDS as f64, "moved": elsewhere as f64 / ROUNDS as f64,
    });
    println!("{line}");
}

/// Measures long outages, after which a process has lost its shards and gets them back.
fn bench_replacement(seed: u64) {
    let mut group = group(seed, 9);
    let start = group.cluster.now;
    let mut owned = 0;
    for round in 0..ROUNDS {
        let at = round % 9;
        let instance = group.names[at].clone();
        owned += serving(&group, &instance).len();
        group.cluster.kill(&instance);
        group.cluster.run(Span::from_secs(20));
        group.restart(at);
        group.cluster.run(Span::from_secs(30));
    }
    let all = moves(&group, start, None);
    let line = json!({
        "bench": "moved_per_replacement", "instances": 9, "shards": group.shards(),
        "owned": owned as f64 / ROUNDS as f64, "moved": all as f64 / ROUNDS as f64,
    });
    println!("{line}");
}

fn print_violations(what: &str, group: &Group) {
    let line = json!({
        "bench": what, "instances": group.names.len(), "violations": group.cluster.all_violations().len(),
    });
    println!("{line}");
}
