//! Resident memory of a router by number of executors, calls and keys.

use bytes::Bytes;
use serde_json::{Value, json};
use sycamorerill_calls::keys::{self, Key, Record, Shard};
use sycamorerill_calls::router::{Call, Event, Router, Settings};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;
use sycamorerill_core::model::Urgency;

use crate::wall_clock::{name, router};

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;
const EXECUTORS: [usize; 3] = [5_000, 20_000, 80_000];
const CALLS: [usize; 3] = [10_000, 20_000, 40_000];
const KEYS: [usize; 3] = [50_000, 100_000, 200_000];

/// Returns the resident memory of this process in bytes, or zero if it cannot be read.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Returns a line with the growth in bytes and, if there is a `last` measurement, the growth
/// per item since that one.
fn line(what: &str, number: usize, bytes: u64, last: Option<(usize, u64)>) -> Value {
    let slope = last.map(|(fewer, less)| bytes.saturating_sub(less) / (number - fewer) as u64);
    json!({
        "scenario": "memory", "of": what, "number": number, "wall": true,
        "bytes": bytes, "bytes_each_more": slope,
    })
}

/// Measures the memory at each of `numbers`; `add` adds the item with the given index.
fn slope(what: &str, numbers: [usize; 3], mut add: impl FnMut(usize)) -> Vec<Value> {
    let before = resident();
    let mut last = None;
    let mut lines = Vec::new();
    let mut number = 0;
    for target in numbers {
        while number < target {
            add(number);
            number += 1;
        }
        let bytes = resident().saturating_sub(before);
        lines.push(line(what, target, bytes, last));
        last = Some((target, bytes));
    }
    lines
}

/// Measures a new router for each number of executors and keeps them all.
fn executors() -> Vec<Value> {
    let mut last = None;
    let mut lines = Vec::new();
    for number in EXECUTORS {
        let before = resident();
        std::mem::forget(router(number, 1));
        let bytes = resident().saturating_sub(before);
        lines.push(line("executors", number, bytes, last));
        last = Some((number, bytes));
    }
    lines
}

fn calls() -> Vec<Value> {
    let mut router = router(CALLS[2], 1);
    let mut out = Vec::new();
    let lines = slope("calls", CALLS, |number| {
        let call = Call {
            id: CallId(number as u64),
            service: name("quote"),
            team: name("desk"),
            urgency: Urgency::Normal,
            deadline: Time::from_ms(1_000),
            idempotent: true,
            key: None,
            key_recorded: false,
            hops: 0,
        };
        router.handle(Time::from_ms(1), Event::Arrived(call), &mut out);
        out.clear();
    });
    std::mem::forget(router);
    lines
}

fn keys() -> Vec<Value> {
    let settings = keys::Settings { shards: 1, max_keys: KEYS[2], ..keys::Settings::default() };
    let mut router = Router::new(Settings { keys: settings, ..Settings::default() }, 1);
    let lines = slope("keys", KEYS, |number| {
        let text = Bytes::from(format!("booking-{number:028}"));
        let record = Record::Begun {
            call: CallId(number as u64),
            service: name("quote"),
            key: Key { text, digest: 0 },
            retention: Span::from_secs(3_600),
        };
        let event = Event::KeyShardOwned { shard: Shard(0), records: vec![record] };
        router.handle(Time::from_ms(1), event, &mut Vec::new());
    });
    std::mem::forget(router);
    lines
}

/// Returns a line for each number of keys, calls in progress and executors.
///
/// Every router is kept, so that none reuses memory that another one freed.
pub(crate) fn lines() -> Vec<Value> {
    [keys(), calls(), executors()].concat()
}
