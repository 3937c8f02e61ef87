//! A stand-in of the platform's store in the form `table`.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, read_request, respond};

const MAX_ENTRIES: usize = 100;
const MAX_BYTES: usize = 1_000_000;
const ROW_BYTES: usize = 65_536;
const MAX_ROWS: usize = 500;
/// The site's time of an answer, half before the call takes effect and half after it.
const HALF_ANSWER: Duration = Duration::from_millis(2);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    /// Changed keys by the version of their latest change.
    changes: BTreeMap<u64, Vec<Key>>,
    ver: u64,
}

/// What looks at each transaction that took effect, before its answer is sent: the name of the
/// calling machine and the body of the call.
type Hook = Box<dyn Fn(&str, &Value) + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    begun: Instant,
    hook: Mutex<Option<Hook>>,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            begun: Instant::now(),
            hook: Mutex::default(),
        })
    }

    pub fn set_hook(&self, hook: impl Fn(&str, &Value) + Send + Sync + 'static) {
        *self.hook.lock().unwrap_or_else(PoisonError::into_inner) = Some(Box::new(hook));
    }

    /// Opens a way to the store for one machine.
    pub fn open(self: &Arc<Self>, ip: IpAddr, machine: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let (store, machine) = (Arc::clone(self), machine.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, machine) = (Arc::clone(&store), machine.clone());
                thread::spawn(move || store.serve(stream, &machine));
            }
        });
        Ok(address)
    }

    fn serve(&self, stream: TcpStream, machine: &str) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else { return };
        let mut from = BufReader::new(stream);
        while let Some(request) = read_request(&mut from) {
            thread::sleep(HALF_ANSWER);
            let (status, body) = self.answer(&request, machine);
            thread::sleep(HALF_ANSWER);
            if !respond(&mut to, status, &body.to_string()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, machine: &str) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body, machine),
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, json!({})),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn transact(&self, body: &[u8], machine: &str) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let (expected, writes, removes) = (list("expected_rev"), list("writes"), list("remove"));
        let too_large =
            writes.iter().any(|row| text(&row["value"]).len() / 4 * 3 > ROW_BYTES + 3);
        let all: Vec<&Value> = expected.iter().chain(&writes).chain(&removes).collect();
        if all.len() > MAX_ENTRIES || body.len() > MAX_BYTES || too_large {
            return (400, json!({"reason": "too large"}));
        }
        if all.iter().any(|row| row["part"] != all[0]["part"]) {
            return (400, json!({"reason": "several parts"}));
        }
        let ver = {
            let mut state = self.lock();
            let ver_of = |row: &Value| state.rows.get(&key(row)).map_or(0, |found| found.1);
            if expected.iter().any(|row| ver_of(row) != row["ver"].as_u64().unwrap_or(0)) {
                let rows = expected.iter().filter_map(|row| {
                    let key = key(row);
                    state.rows.get(&key).map(|found| row_json(&key, found))
                });
                let rows: Vec<Value> = rows.collect();
                return (412, json!({"rows": rows, "ver": state.ver, "now_ms": self.now_ms()}));
            }
            let written = writes.iter().map(|row| (key(row), Some(text(&row["value"]).to_owned())));
            let changes: Vec<_> = written.chain(removes.iter().map(|row| (key(row), None))).collect();
            apply(&mut state, changes)
        };
        self.changed.notify_all();
        if let Some(hook) = &*self.hook.lock().unwrap_or_else(PoisonError::into_inner) {
            hook(machine, &call);
        }
        (200, json!({"ver": ver, "now_ms": self.now_ms()}))
    }

    fn get(&self, request: &Request) -> (u16, Value) {
        let (table, part) = (request.param("table"), request.param("part"));
        let limit = request.param("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let (from, target) = (request.param("from"), request.param("target"));
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let state = self.lock();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in state.rows.range(first..) {
            if key.0 != table || key.1 != part || (!target.is_empty() && key.2.as_str() >= target) {
                break;
            }
            bytes += row.0.len() + 200;
            if rows.len() == limit || bytes > MAX_BYTES {
                more = true;
                break;
            }
            rows.push(row_json(key, row));
        }
        (200, json!({"rows": rows, "has_more": more, "ver": state.ver, "now_ms": self.now_ms()}))
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let table = request.param("table");
        let after: u64 = request.param("depends_on").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            let changed = state.changes.range(after + 1..);
            let changed = changed.flat_map(|(ver, keys)| keys.iter().map(move |key| (*ver, key)));
            let rows: Vec<Value> = changed
                .filter(|(_, key)| key.0 == table)
                .map(|(ver, key)| match state.rows.get(key) {
                    Some(row) => row_json(key, row),
                    None => json!({"table": key.0, "part": key.1, "key": key.2, "ver": ver,
                        "deleted": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, json!({"rows": rows, "ver": state.ver, "now_ms": self.now_ms()}));
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// Writes or removes a row as the operator or an executor does.
    pub fn put(&self, table: &str, name: &str, value: Option<&Value>) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        let value = value.map(|value| base64(value.to_string().as_bytes()));
        apply(&mut self.lock(), vec![(key, value)]);
        self.changed.notify_all();
    }
}

fn apply(state: &mut State, changes: Vec<(Key, Option<String>)>) -> u64 {
    state.ver += 1;
    let ver = state.ver;
    for (key, value) in changes {
        if let Some((_, old)) = state.rows.get(&key)
            && let Some(keys) = state.changes.get_mut(old)
        {
            keys.retain(|other| *other != key);
        }
        match value {
            Some(value) => state.rows.insert(key.clone(), (value, ver)),
            None => state.rows.remove(&key),
        };
        state.changes.entry(ver).or_default().push(key);
    }
    ver
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn key(row: &Value) -> Key {
    let part = |name: &str| text(&row[name]).to_owned();
    (part("table"), part("part"), part("key"))
}

fn row_json(key: &Key, row: &(String, u64)) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": row.0, "ver": row.1})
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            out.push(if digit <= chunk.len() { char::from(DIGITS[index as usize]) } else { '=' });
        }
    }
    out
}
