//! Store requests, messages, bytes and CPU time of an idle group and at peak load.

use serde_json::json;
use sycamorerill_control::agent::Event;
use sycamorerill_control::journal::Durability;
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_core::clock::Span;

use crate::group::{Group, LARGEST, percentile, round};
use crate::{SIZES, spread};

/// Task starts plus calls with an idempotency key per second at the required peak load.
const RECORDS_PER_SECOND: u64 = 4_000;
/// Missed targets per second at peak load.
const MISSES_PER_SECOND: u64 = 50;
/// Seconds measured at peak load.
const PEAK_SECONDS: u64 = 20;
/// Seconds measured at rest.
const REST_SECONDS: u64 = 60;
/// Seconds measured in the largest group.
const LARGEST_SECONDS: u64 = 5;
/// Number of steps per second in which load is added.
const STEPS: u64 = 50;

pub(crate) fn run(seed: u64) {
    for count in SIZES {
        let mut group = Group::start(seed, count, |_| {});
        let seconds = |usual: u64| if count >= LARGEST { LARGEST_SECONDS } else { usual };
        measure(&mut group, "rest", seconds(REST_SECONDS), |_, _| {});
        let mut next = 0;
        measure(&mut group, "peak", seconds(PEAK_SECONDS), |group, step| {
            load(group, &mut next, step);
        });
        if count >= LARGEST {
            spread::measure_largest_group(group);
        }
    }
}

struct Counters {
    writes: u64,
    reads: u64,
    scanned: u64,
    messages: u64,
    bytes: u64,
    agent_seconds: f64,
}

fn counters(group: &Group) -> Counters {
    let cluster = &group.cluster;
    Counters {
        writes: cluster.store.writes,
        reads: cluster.store.reads,
        scanned: cluster.store.scanned,
        messages: cluster.messages,
        bytes: cluster.bytes,
        agent_seconds: cluster.agent_time.as_secs_f64(),
    }
}

fn measure(group: &mut Group, what: &str, seconds: u64, mut step: impl FnMut(&mut Group, u64)) {
    let before = counters(group);
    for at in 0..seconds * STEPS {
        step(group, at);
        group.cluster.run(Span::from_ms(1_000 / STEPS));
    }
    let after = counters(group);
    let count = group.names.len();
    let per_second = |value: u64| round(value as f64 / seconds as f64);
    let per_node = |value: u64| round(value as f64 / seconds as f64 / count as f64);
    let mut commit_latencies: Vec<f64> = group
        .cluster
        .nodes
        .values()
        .flat_map(|node| node.commit_latencies.iter().map(|wait| wait.as_ms_f64()))
        .collect();
    let line = json!({
        "bench": "load", "at": what, "instances": count, "seconds": seconds,
        "store_writes_per_s": per_second(after.writes - before.writes),
        "store_reads_per_s": per_second(after.reads - before.reads),
        "rows_scanned_per_s": per_second(after.scanned - before.scanned),
        "messages_per_s_per_instance": per_node(after.messages - before.messages),
        "bytes_per_s_per_instance": per_node(after.bytes - before.bytes),
        "records_lasting": commit_latencies.len(),
        "lasting_p50_ms": round(percentile(&mut commit_latencies, 0.5)),
        "lasting_p99_ms": round(percentile(&mut commit_latencies, 0.99)),
    });
    println!("{line}");
    let core_percent =
        (after.agent_seconds - before.agent_seconds) / seconds as f64 / count as f64 * 100.0;
    let line = json!({
        "bench": "load", "wall": true, "at": what, "instances": count,
        "core_percent_per_instance": round(core_percent),
    });
    println!("{line}");
}

/// Appends one step of records to the shards of keys and the cells, round-robin.
fn load(group: &mut Group, next: &mut u64, step: u64) {
    let now = group.cluster.now;
    let names = group.names.clone();
    let mut shards: Vec<(usize, Shard)> = Vec::new();
    for (at, instance) in names.iter().enumerate() {
        let held = group.cluster.nodes[instance].serving.keys();
        shards.extend(held.filter(|shard| shard.kind != Kind::Slots).map(|shard| (at, *shard)));
    }
    shards.sort_by_key(|(_, shard)| *shard);
    let mut touched = std::collections::BTreeSet::new();
    for _ in 0..RECORDS_PER_SECOND / STEPS {
        *next += 1;
        let (at, shard) = shards[*next as usize % shards.len()];
        let node = group.cluster.nodes.get_mut(&names[at]).unwrap();
        let _ = node.append(now, shard, *next, Durability::Immediate);
        touched.insert(at);
    }
    for at in touched {
        group.cluster.event(&names[at], Event::Tick);
    }
    if step.is_multiple_of(STEPS / MISSES_PER_SECOND) {
        let at = (*next as usize * 13) % names.len();
        group.cluster.miss(&names[at], *next, *next / 1_000);
    }
}
