//! A stand-in of the platform's store, as PROTOCOL.md has it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, respond};
use crate::json::{Value, base64, parse, quote};

const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 500;
const MAX_ANSWER_BYTES: usize = 1_000_000;
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Calls a second of all nodes together, and the time that a part takes for each transaction.
const WRITES_PER_S: u32 = 600;
const READS_PER_S: u32 = 2_000;
const TX_TIME: Duration = Duration::from_millis(5);
/// Longest queue of transactions in a part.
const MAX_QUEUE: Duration = Duration::from_secs(1);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    /// Keys by the version of their latest change.
    changes: BTreeMap<u64, Vec<Key>>,
    ver: u64,
    /// Writes and reads in the second that began then.
    counts: Option<(Instant, u32, u32)>,
    /// When each part has done the transactions that wait.
    busy: BTreeMap<String, Instant>,
}

impl State {
    /// Counts a call; returns whether it is beyond the rate.
    fn is_beyond_rate(&mut self, is_write: bool) -> bool {
        let now = Instant::now();
        let is_old = |begun: Instant| now.duration_since(begun) >= Duration::from_secs(1);
        let (begun, writes, reads) =
            self.counts.filter(|(begun, ..)| !is_old(*begun)).unwrap_or((now, 0, 0));
        let (writes, reads) = if is_write { (writes + 1, reads) } else { (writes, reads + 1) };
        self.counts = Some((begun, writes, reads));
        writes > WRITES_PER_S || reads > READS_PER_S
    }

    /// Queues a transaction in a part; returns when it is done, or none if too many wait.
    fn queue(&mut self, part: &str) -> Option<Instant> {
        let now = Instant::now();
        let free = self.busy.get(part).copied().unwrap_or(now).max(now);
        if free.duration_since(now) > MAX_QUEUE {
            return None;
        }
        self.busy.insert(part.to_owned(), free + TX_TIME);
        Some(free + TX_TIME)
    }
}

pub struct Store {
    pub address: SocketAddr,
    begun: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            begun: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else { return };
        let mut from = BufReader::new(stream);
        while let Some(request) = read_request(&mut from) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            if !respond(&mut to, status, &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if self.lock().is_beyond_rate(request.method == "POST") {
            return (429, "{}".to_owned());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = parse(body) else { return (400, "{}".to_owned()) };
        let (expected, writes, removes) =
            (call.get("expected_rev").list(), call.get("writes").list(), call.get("remove").list());
        let too_large =
            writes.iter().any(|row| row.get("value").text().len() / 4 * 3 > ROW_BYTES + 3);
        let entries = expected.len() + writes.len() + removes.len();
        let mut parts: Vec<&str> =
            expected.iter().chain(writes).chain(removes).map(|e| e.get("part").text()).collect();
        parts.dedup();
        if too_large || entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES || parts.len() > 1 {
            return (400, "{}".to_owned());
        }
        let Some(done) = self.lock().queue(parts.first().copied().unwrap_or_default()) else {
            return (429, "{}".to_owned());
        };
        thread::sleep(done.saturating_duration_since(Instant::now()));
        let mut state = self.lock();
        let ver_of = |entry: &Value| state.rows.get(&key(entry)).map_or(0, |(_, ver)| *ver);
        if !expected.iter().all(|entry| ver_of(entry) == entry.get("ver").number()) {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|entry| Some(row_json(&key(entry), state.rows.get(&key(entry))?)))
                .collect();
            return (412, self.answer_with(&rows, false, state.ver));
        }
        let written = writes.iter().map(|e| (key(e), Some(e.get("value").text().to_owned())));
        let changes = written.chain(removes.iter().map(|e| (key(e), None))).collect();
        let ver = apply(&mut state, changes);
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()))
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.param("table"), request.param("part"));
        let limit = request.param("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let from = (table.to_owned(), part.to_owned(), request.param("from").to_owned());
        let state = self.lock();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in state.rows.range(from..) {
            if key.0 != table || key.1 != part {
                break;
            }
            bytes += row.0.len() + 200;
            if rows.len() == limit || bytes > MAX_ANSWER_BYTES {
                more = true;
                break;
            }
            rows.push(row_json(key, row));
        }
        (200, self.answer_with(&rows, more, state.ver))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.param("table");
        let after: u64 = request.param("depends_on").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            let mut rows = Vec::new();
            for (ver, keys) in state.changes.range(after + 1..) {
                for key in keys.iter().filter(|key| key.0 == table) {
                    rows.push(match state.rows.get(key) {
                        Some(row) => row_json(key, row),
                        None => format!(
                            "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{ver},\"deleted\":true}}",
                            quote(&key.0),
                            quote(&key.1),
                            quote(&key.2)
                        ),
                    });
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.answer_with(&rows, false, state.ver));
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn answer_with(&self, rows: &[String], more: bool, ver: u64) -> String {
        let (rows, now_ms) = (rows.join(","), self.now_ms());
        format!("{{\"rows\":[{rows}],\"has_more\":{more},\"ver\":{ver},\"now_ms\":{now_ms}}}")
    }

    fn now_ms(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    /// Writes or removes a row as the operator or an executor does.
    pub fn put(&self, table: &str, part: &str, name: &str, value: Option<&str>) {
        let key = (table.to_owned(), part.to_owned(), name.to_owned());
        let value = value.map(|value| base64(value.as_bytes()));
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

fn key(entry: &Value) -> Key {
    let part = |name: &str| entry.get(name).text().to_owned();
    (part("table"), part("part"), part("key"))
}

fn row_json(key: &Key, row: &(String, u64)) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let (value, ver) = (quote(&row.0), row.1);
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"value\":{value},\"ver\":{ver}}}")
}
