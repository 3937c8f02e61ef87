//! Takeover time for journals of different lengths.

use serde_json::json;
use sycamorerill_control::agent::Event;
use sycamorerill_control::journal::Durability;
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_core::clock::Span;

use crate::group::{Group, round};

pub(crate) fn run(seed: u64) {
    for records in [1_000_u64, 10_000, 100_000] {
        bench_recovery(seed, records);
    }
}

/// Appends records without snapshots, kills the owner and measures the takeover by its
/// successor.
fn bench_recovery(seed: u64, records: u64) {
    let mut group = Group::start(seed, 3, |cluster| {
        cluster.template.journal.snapshot_bytes = usize::MAX;
    });
    let shard = Shard { kind: Kind::Keys, number: 1 };
    let serves = |group: &Group| {
        let mut nodes = group.cluster.nodes.iter();
        nodes.find(|(_, node)| node.serving.contains_key(&shard)).map(|(name, _)| name.clone())
    };
    let instance = serves(&group).expect("an owner");
    for chunk in 0..records / 1_000 {
        let now = group.cluster.now;
        let node = group.cluster.nodes.get_mut(&instance).unwrap();
        for payload in 0..1_000 {
            node.append(now, shard, chunk * 1_000 + payload, Durability::Immediate).expect("room");
        }
        group.cluster.event(&instance, Event::Tick);
        group.cluster.run(Span::from_ms(100));
    }
    group.cluster.run(Span::from_secs(2));
    let rows = group.cluster.store.keys("journal/").len();
    let start = group.cluster.now;
    let agent_time = group.cluster.agent_time;
    group.cluster.kill(&instance);
    group.cluster.run(Span::from_secs(30));
    let mut gained = group.cluster.nodes.values().flat_map(|node| &node.gained);
    let found = gained.find(|(at, gained)| gained.shard == shard && *at > start);
    let (at, gained) = found.expect("a successor");
    let log = group.cluster.log.iter();
    let owned = log.filter(|(time, _, line)| {
        *time > start && line.starts_with(&format!("shard {shard} is owned"))
    });
    let owned = owned.map(|(time, _, _)| *time).min().expect("a claim");
    let recovered = gained.recovered.records.len();
    let line = json!({
        "bench": "recovery", "records": records, "rows": rows, "recovered": recovered,
        "read_ms": round(at.since(owned).as_ms_f64()),
        "at_work_ms": round(at.since(start).as_ms_f64()),
    });
    println!("{line}");
    let spent = (group.cluster.agent_time - agent_time).as_secs_f64() * 1_000.0;
    let line =
        json!({"bench": "recovery", "wall": true, "records": records, "cpu_ms": round(spent)});
    println!("{line}");
}
