//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, read_request, respond};

/// Limits of the page and of the site: bytes of a row, entries and bytes of a call, rows and bytes
/// of an answer, and the time of an answer.
const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 500;
const MAX_ANSWER_BYTES: usize = 1_000_000;
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    /// Version of the latest change of each key that changed, with the key.
    changes: BTreeMap<u64, Vec<Key>>,
    ver: u64,
    refused_rows: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    begun: Instant,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            address,
            state: Mutex::default(),
            changed: Condvar::new(),
            begun: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut to) = stream.try_clone() else { return };
                    let mut from = BufReader::new(stream);
                    while let Some(request) = read_request(&mut from) {
                        thread::sleep(ANSWER_TIME);
                        let (status, body) = store.answer(&request);
                        if respond(&mut to, status, &body.to_string()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, json!({})),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let (expected, writes, removes) = (list("expected_rev"), list("writes"), list("remove"));
        let entries = expected.len() + writes.len() + removes.len();
        let too_large = writes.iter().any(|row| decoded_len(text(&row["value"])) > ROW_BYTES);
        if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES || too_large {
            self.state.lock().unwrap().refused_rows += 1;
            return (400, json!({"reason": "too large"}));
        }
        let all = expected.iter().chain(&writes).chain(&removes);
        let mut parts: Vec<&str> = all.map(|entry| text(&entry["part"])).collect();
        parts.dedup();
        if parts.len() > 1 {
            return (400, json!({"reason": "several parts"}));
        }
        let mut state = self.state.lock().unwrap();
        let ver_of =
            |state: &State, entry: &Value| state.rows.get(&key(entry)).map_or(0, |r| r.ver);
        let holds = expected.iter().all(|e| ver_of(&state, e) == e["ver"].as_u64().unwrap_or(0));
        if !holds {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|entry| Some(row_json(&key(entry), state.rows.get(&key(entry))?)))
                .collect();
            return (412, json!({"rows": rows, "ver": state.ver}));
        }
        let changes = writes.iter().map(|e| (key(e), Some(text(&e["value"]).to_owned())));
        let changes: Vec<_> = changes.chain(removes.iter().map(|e| (key(e), None))).collect();
        let ver = apply(&mut state, changes);
        self.changed.notify_all();
        (200, json!({"ver": ver, "now_ms": self.now_ms()}))
    }

    fn get(&self, request: &Request) -> (u16, Value) {
        let (table, part) = (request.param("table"), request.param("part"));
        let limit = request.param("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let from = (table.to_owned(), part.to_owned(), request.param("from").to_owned());
        let state = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in state.rows.range(from..) {
            if key.0 != table || key.1 != part {
                break;
            }
            bytes += row.value.len() + 200;
            if rows.len() == limit || bytes > MAX_ANSWER_BYTES {
                more = true;
                break;
            }
            rows.push(row_json(key, row));
        }
        let now_ms = self.now_ms();
        (200, json!({"rows": rows, "has_more": more, "ver": state.ver, "now_ms": now_ms}))
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let table = request.param("table");
        let after: u64 = request.param("depends_on").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.changes.range(after + 1..).flat_map(|(ver, keys)| {
                let keys = keys.iter().filter(|key| key.0 == table);
                keys.map(move |key| (*ver, key))
            });
            let rows: Vec<Value> = changes
                .map(|(ver, key)| match state.rows.get(key) {
                    Some(row) => row_json(key, row),
                    None => json!({"table": key.0, "part": key.1, "key": key.2, "ver": ver, "deleted": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, json!({"rows": rows, "ver": state.ver, "now_ms": self.now_ms()}));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Writes or removes a row as the operator or an executor does.
    pub fn put(&self, table: &str, part: &str, name: &str, value: Option<&[u8]>) {
        let key = (table.to_owned(), part.to_owned(), name.to_owned());
        self.put_encoded(vec![(key, value.map(encode))]);
    }

    /// Writes rows whose values are in base64.
    pub fn put_encoded(&self, changes: Vec<(Key, Option<String>)>) {
        apply(&mut self.state.lock().unwrap(), changes);
        self.changed.notify_all();
    }

    /// Returns the rows of a table: part, name and value in base64.
    pub fn rows(&self, table: &str) -> Vec<(String, String, String)> {
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|(key, _)| key.0 == table);
        rows.map(|(key, row)| (key.1.clone(), key.2.clone(), row.value.clone())).collect()
    }

    /// Returns how many calls were refused as too large.
    pub fn refused(&self) -> u64 {
        self.state.lock().unwrap().refused_rows
    }
}

fn apply(state: &mut State, changes: Vec<(Key, Option<String>)>) -> u64 {
    state.ver += 1;
    let ver = state.ver;
    for (key, value) in changes {
        if let Some(old) = state.rows.get(&key).map(|row| row.ver)
            && let Some(keys) = state.changes.get_mut(&old)
        {
            keys.retain(|other| *other != key);
        }
        match value {
            Some(value) => state.rows.insert(key.clone(), Row { value, ver }),
            None => state.rows.remove(&key),
        };
        state.changes.entry(ver).or_default().push(key);
    }
    ver
}

fn key(entry: &Value) -> Key {
    let part = |name: &str| text(&entry[name]).to_owned();
    (part("table"), part("part"), part("key"))
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn row_json(key: &Key, row: &Row) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": row.value, "ver": row.ver})
}

fn decoded_len(text: &str) -> usize {
    let padding = text.bytes().rev().take_while(|byte| *byte == b'=').count();
    (text.len() / 4 * 3).saturating_sub(padding)
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            let padding = digit > chunk.len();
            out.push(if padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    out
}
