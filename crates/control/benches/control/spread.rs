//! Time until a configuration is in force everywhere, for each kind of distribution.

use bytes::Bytes;
use serde_json::json;
use sycamorerill_control::agent::Event;
use sycamorerill_control::config::{Apply, ApplyId, Digests, Outcome, Spread};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Version;

use crate::group::{Group, percentile, round};

/// Number of changes per run.
const CHANGES: u64 = 40;
/// Number of changes in the larger group.
const CHANGES_LARGE: u64 = 10;
/// Number of changes in the largest group, which uses notifications.
const CHANGES_LARGEST: u64 = 4;
/// Size of a configuration in bytes.
const CONTENT_BYTES: usize = 20_000;
/// Time between two changes, as required of the target deployment.
const BETWEEN: Span = Span::from_ms(5_400);

pub(crate) fn run(seed: u64) {
    for spread in [Spread::Poll, Spread::Push, Spread::Notify] {
        for drop in [0.0, 0.01, 0.1] {
            bench_spread(seed, 9, spread, drop);
            bench_spread(seed, 90, spread, drop);
        }
    }
    bench_store_down(seed);
}

fn spread_name(spread: Spread) -> &'static str {
    match spread {
        Spread::Poll => "poll",
        Spread::Push => "push",
        Spread::Notify => "notify",
    }
}

fn apply(group: &mut Group, at: usize, change: u64) {
    let instance = group.names[at].clone();
    let apply = Apply {
        id: ApplyId(change + 1),
        base_version: Version(change),
        author: "operator".to_owned(),
        digests: Digests::from([("services/quote".to_owned(), change)]),
        bytes: Bytes::from(vec![b'x'; CONTENT_BYTES]),
    };
    group.cluster.event(&instance, Event::Apply(apply));
}

/// Returns when the last running instance put a version, or a later one, in force.
fn in_force(group: &Group, version: Version) -> Option<Time> {
    let mut last = Time::ZERO;
    for node in group.cluster.nodes.values().filter(|node| node.alive) {
        let first = node.versions.iter().find(|(_, found, _)| *found >= version);
        last = last.max(first.map(|(at, _, _)| *at)?);
    }
    Some(last)
}

fn bench_spread(seed: u64, count: usize, spread: Spread, drop: f64) {
    let mut group = Group::start(seed, count, |cluster| {
        cluster.template.config.spread = spread;
        if spread == Spread::Poll {
            // Polling may use the store reads that the other kinds of distribution save.
            cluster.template.config.poll_interval = Span::from_ms(1_000);
        }
    });
    group.cluster.faults.lost_messages = drop;
    bench_changes(&mut group, spread, drop, if count > 9 { CHANGES_LARGE } else { CHANGES });
}

/// Measures a few changes in the largest group, which is already running.
pub(crate) fn measure_largest_group(mut group: Group) {
    bench_changes(&mut group, Spread::Notify, 0.0, CHANGES_LARGEST);
}

fn bench_changes(group: &mut Group, spread: Spread, drop: f64, changes: u64) {
    let count = group.names.len();
    let (reads, bytes) = (group.cluster.store.reads, group.cluster.bytes);
    let started = group.cluster.now;
    let mut starts = Vec::new();
    for change in 0..changes {
        starts.push(group.cluster.now);
        apply(group, (change as usize * 5) % count, change);
        group.cluster.run(BETWEEN);
    }
    let seconds = group.cluster.now.since(started).as_ms_f64() / 1_000.0;
    let reads = (group.cluster.store.reads - reads) as f64 / seconds;
    let sent = (group.cluster.bytes - bytes) as f64 / seconds / count as f64;
    group.cluster.run(if count > 9 { Span::from_secs(8) } else { Span::from_secs(30) });
    let mut durations: Vec<f64> = Vec::new();
    for (change, start) in starts.iter().enumerate() {
        let everywhere = in_force(group, Version(change as u64 + 1));
        durations.push(everywhere.map_or(f64::INFINITY, |at| at.since(*start).as_ms_f64()));
    }
    let accepted =
        group.cluster.outcomes.values().filter(|(_, it)| matches!(it, Outcome::Accepted(_)));
    let line = json!({
        "bench": "config_in_force", "spread": spread_name(spread), "instances": count, "lost": drop,
        "changes": changes, "accepted": accepted.count(),
        "p50_ms": round(percentile(&mut durations, 0.5)), "p99_ms": round(percentile(&mut durations, 0.99)),
        "store_reads_per_s": round(reads), "sent_bytes_per_s_per_instance": round(sent),
    });
    println!("{line}");
}

/// Measures the distribution by peers when the store fails right after an acceptance.
fn bench_store_down(seed: u64) {
    for drop in [0.0, 0.01, 0.1] {
        let mut durations = Vec::new();
        for round in 0..20 {
            let mut group = Group::start(seed + round, 9, |_| {});
            group.cluster.faults.lost_messages = drop;
            apply(&mut group, 0, 0);
            let start = group.cluster.now;
            while group.cluster.version(&group.names[0]) == Version(0) {
                group.cluster.run(Span::from_ms(1));
            }
            group.cluster.faults.store_down = true;
            group.cluster.run(Span::from_secs(30));
            let everywhere = in_force(&group, Version(1));
            durations.push(everywhere.map_or(f64::INFINITY, |at| at.since(start).as_ms_f64()));
        }
        let line = json!({
            "bench": "config_in_force_store_down", "spread": "notify", "instances": 9,
            "lost": drop, "changes": durations.len(),
            "p50_ms": round(percentile(&mut durations, 0.5)),
            "p99_ms": round(percentile(&mut durations, 0.99)),
        });
        println!("{line}");
    }
}
