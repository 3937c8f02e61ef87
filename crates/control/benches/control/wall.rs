//! CPU time and memory of one agent for different numbers of members, and of batch
//! encoding.

use std::time::Instant;

use bytes::Bytes;
use serde_json::json;
use sycamorerill_control::agent::{Agent, Event, Settings};
use sycamorerill_control::journal::{Batch, Kind, Record, Sequence};
use sycamorerill_control::membership::ListEntry;
use sycamorerill_control::ownership::{self, Shard};
use sycamorerill_control::session;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, Incarnation};

use crate::cluster::name;
use crate::group::round;

/// Size in KiB of a page in the kernel's memory statistics.
const KIB_PER_PAGE: f64 = 4.0;
/// Number of agents whose memory is measured together.
const AGENTS: usize = 20;

pub(crate) fn run(seed: u64) {
    for members in [100, 1_000, 10_000] {
        bench_agent(seed, members);
    }
    for records in [100, 1_000, 10_000] {
        bench_batch(records);
    }
}

fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default();
    pages * KIB_PER_PAGE
}

/// Measures the memory of an agent that knows `members` members, and the time of its
/// ticks.
fn bench_agent(seed: u64, members: usize) {
    let entries: Vec<ListEntry> = (0..members)
        .map(|at| ListEntry { instance: name(&format!("e{at:05}")), leaving: false })
        .collect();
    let before = resident_kib();
    let mut agents: Vec<Agent> = (0..AGENTS)
        .map(|at| {
            let domain = "d00".parse().unwrap();
            let instance = name(&format!("own{at}"));
            let mut settings = Settings::new(instance, Incarnation(1), domain);
            settings.seed = seed;
            Agent::new(settings)
        })
        .collect();
    let mut commands = Vec::new();
    for agent in &mut agents {
        let entries = entries.clone();
        agent.handle(Time::from_ms(1), Event::InstancesListed { entries }, &mut commands);
        commands.clear();
    }
    let kib = (resident_kib() - before) / AGENTS as f64;
    let ticks = 200;
    let started = Instant::now();
    for tick in 1..=ticks {
        let now = Time::from_ms(1) + Span::from_ms(500 * tick);
        agents[0].handle(now, Event::Tick, &mut commands);
        commands.clear();
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / ticks as f64;
    let line = json!({
        "bench": "agent", "wall": true, "members": members,
        "memory_kib": round(kib), "tick_us": round(micros),
    });
    println!("{line}");
}

/// Measures the time to encode and decode a batch.
fn bench_batch(records: u64) {
    let session = session::Name { instance: name("e001"), incarnation: Incarnation(1) };
    let shard = Shard { kind: ownership::Kind::Keys, number: 1 };
    let record = |at: u64| Record {
        sequence: Sequence(at),
        shard,
        epoch: Epoch(1),
        kind: Kind(1),
        bytes: Bytes::from(vec![7; 100]),
    };
    let batch = Batch { session, number: 1, floor: 1, records: (0..records).map(record).collect() };
    let rounds = 100_000 / records;
    let started = Instant::now();
    let mut bytes = 0;
    for _ in 0..rounds {
        bytes = batch.encode().len();
    }
    let encode = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    let encoded = batch.encode();
    let started = Instant::now();
    for _ in 0..rounds {
        assert!(Batch::decode(&encoded).is_ok());
    }
    let decode = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    let line = json!({
        "bench": "batch", "wall": true, "records": records, "bytes": bytes,
        "encode_us": round(encode), "decode_us": round(decode),
    });
    println!("{line}");
}
