//! Executors of the platform, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, read_request, respond};
use crate::record::Record;
use crate::store::Store;

/// Bounds of the sites' pages, in milliseconds.
const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 300;
const HEARTBEAT_MS: u64 = 1_100;
const MAX_WAIT_MS: u64 = 2_000;

/// A run in progress.
struct Running {
    run: u32,
    cpu: u64,
    /// When the run ends as done; none if it lasts.
    done_at: Option<Instant>,
    /// When the run ends because it was stopped.
    stopped_at: Option<Instant>,
    /// Number of the run in the record.
    record: usize,
}

/// An end that the executor keeps until it is taken note of.
struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    /// Number of the run in the record.
    record: usize,
    /// Whether the lease has lapsed since.
    lapsed: bool,
}

/// One life of an executor: what its process knows.
struct Life {
    born_ms: u64,
    /// The steady clock showed `clock_ms` at `clock_at`.
    clock_ms: u64,
    clock_at: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<End>,
    ends: u64,
    /// Highest run of each task that ended or was stopped.
    highest: BTreeMap<String, u32>,
    /// When the process reports to the store next.
    beat_at: Instant,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Power {
    Up,
    /// The machine answers nothing any more.
    Dark,
    Down,
}

struct State {
    power: Power,
    life: Life,
    connections: Vec<TcpStream>,
    /// Number of the process, so that connections of an earlier one are told apart.
    process: u64,
    listed_value: Option<String>,
    last_beat: Instant,
    /// Whether the path to the store is cut.
    cut: bool,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    pub labels: [String; 2],
    cpu: u64,
    state: Mutex<State>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Life {
    fn new(clock_ms: u64, beat_in: Duration) -> Self {
        let now = Instant::now();
        Self {
            born_ms: crate::record::wall_ms(),
            clock_ms,
            clock_at: now,
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            highest: BTreeMap::new(),
            beat_at: now + beat_in,
        }
    }

    fn clock(&self) -> u64 {
        self.clock_ms + self.clock_at.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let longest = self.clock() + HOLD_MAX_MS;
        let granted = deadline_ms.unwrap_or(0).min(longest);
        self.deadline_ms = self.deadline_ms.max(granted);
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(running) = self.running.remove(task) else { return };
        self.ends += 1;
        let (number, run, record_of) = (self.ends, running.run, running.record);
        let task_of = task.to_owned();
        self.ended.push(End { number, task: task_of, run, how, record: record_of, lapsed: false });
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(running.run);
        record.run_ended(running.record, how);
    }
}

impl Life {
    /// Forgets the ends up to `seen`: they are taken note of.
    fn forget(&mut self, seen: u64, record: &Record) {
        let lapsed = self.clock() > self.deadline_ms;
        for end in self.ended.iter().filter(|end| end.number <= seen && !end.lapsed && !lapsed) {
            record.end_noted(end.record);
        }
        self.ended.retain(|end| end.number > seen);
    }
}

impl Executor {
    /// Starts an executor that has been up for `uptime` already.
    pub fn start(
        ip: &str,
        id: &str,
        labels: [&str; 2],
        cpu: u64,
        uptime: Duration,
        first_report: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            power: Power::Up,
            life: Life::new(uptime.as_millis() as u64, first_report),
            connections: Vec::new(),
            process: 0,
            listed_value: None,
            last_beat: Instant::now(),
            cut: false,
        };
        let executor = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: "kit-orders".to_owned(),
            labels: labels.map(str::to_owned),
            cpu,
            state: Mutex::new(state),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        executor.accept(listener, 0);
        executor
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, process: u64) {
        listener.set_nonblocking(true).expect("a socket that does not block");
        let executor = Arc::clone(self);
        thread::spawn(move || {
            let mut silent: Option<Vec<TcpStream>> = None;
            loop {
                let (current, power) = {
                    let state = executor.state.lock().unwrap();
                    (state.process, state.power)
                };
                if current != process || power == Power::Down {
                    return;
                }
                if power == Power::Dark {
                    silent.get_or_insert_with(|| fill_queue(&listener));
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => executor.serve(stream, process),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, process: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(kept), Ok(mut to)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.state.lock().unwrap().connections.push(kept);
        let executor = Arc::clone(self);
        thread::spawn(move || {
            let mut from = BufReader::new(stream);
            while let Some(request) = read_request(&mut from) {
                let Some((status, body)) = executor.answer(&request, process) else { return };
                if respond(&mut to, status, &body.to_string()).is_err() {
                    return;
                }
            }
        });
    }

    /// Returns the answer to a call; none if the process that got it has ended.
    fn answer(&self, request: &Request, process: u64) -> Option<(u16, Value)> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let wait = match request.path.as_str() {
            "/hold" => body["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS),
            _ => 0,
        };
        let until = Instant::now() + Duration::from_millis(wait);
        let mut first = true;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                if state.process != process || state.power != Power::Up {
                    return None;
                }
                if request.header("X-Expect-Instance").is_some_and(|id| id != self.id) {
                    return Some((421, json!({})));
                }
                let life = &mut state.life;
                let fence = body["fence_token"].as_u64().unwrap_or(0);
                if fence < life.fence {
                    let clock_ms = life.clock();
                    return Some((409, json!({"clock_ms": clock_ms, "reason": "fence"})));
                }
                life.fence = fence;
                match request.path.as_str() {
                    "/run-start" => return Some(self.start_run(life, &body)),
                    "/run-stop" => return Some(self.stop_run(life, &body)),
                    "/pace" => return Some((200, json!({"clock_ms": life.clock()}))),
                    "/hold" => {
                        if std::mem::take(&mut first) {
                            let seen = body["last_seen"].as_u64().unwrap_or(0);
                            life.forget(seen, &self.record);
                            life.extend(body["deadline_ms"].as_u64());
                        }
                        if !life.ended.is_empty() || Instant::now() >= until {
                            return Some((200, report(life)));
                        }
                    }
                    _ => return Some((404, json!({}))),
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let clock_ms = life.clock();
        let refuse = |reason: &str| (409, json!({"clock_ms": clock_ms, "reason": reason}));
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        if life.running.get(task).is_some_and(|running| running.run == run) {
            life.extend(Some(deadline));
            return (200, json!({"clock_ms": clock_ms}));
        }
        if deadline <= clock_ms {
            return refuse("late");
        }
        life.extend(Some(deadline));
        if life.highest.get(task).is_some_and(|highest| run <= *highest) {
            return refuse("old");
        }
        let text = body["task_spec"].as_str().unwrap_or_default();
        let number = |name: &str| -> Option<u64> {
            text.split(' ').find_map(|word| word.strip_prefix(name)?.parse().ok())
        };
        let cpu = number("cpu=").unwrap_or(1_000);
        let used: u64 = life.running.values().map(|running| running.cpu).sum();
        if used + cpu > self.cpu {
            return refuse("room");
        }
        let now = Instant::now();
        let done_at = number("ms=").map(|ms| now + Duration::from_millis(ms));
        let record = self.record.run_started(&self.id, life.born_ms, task, run);
        let running = Running { run, cpu, done_at, stopped_at: None, record };
        life.running.insert(task.to_owned(), running);
        (200, json!({"clock_ms": clock_ms}))
    }

    fn stop_run(&self, life: &mut Life, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        if let Some(running) = life.running.get_mut(task)
            && running.run == run
            && running.stopped_at.is_none()
        {
            running.stopped_at = Some(Instant::now() + Duration::from_millis(STOP_MS));
        }
        (200, json!({"clock_ms": life.clock()}))
    }

    /// Ends what is due, reports to the store, and lets an entry expire.
    pub fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.power == Power::Up {
            let life = &mut state.life;
            let lapsed = life.clock() > life.deadline_ms;
            life.ended.iter_mut().for_each(|end| end.lapsed |= lapsed);
            let due: Vec<(String, &'static str)> = life
                .running
                .iter()
                .filter_map(|(task, running)| {
                    let done = running.done_at.is_some_and(|at| at <= now);
                    let stopped = running.stopped_at.is_some_and(|at| at <= now);
                    let how = match (done, stopped, lapsed) {
                        (true, ..) => "done",
                        (_, true, _) => "stopped",
                        (.., true) => "lapsed",
                        _ => return None,
                    };
                    Some((task.clone(), how))
                })
                .collect();
            for (task, how) in due {
                life.end(&task, how, &self.record);
            }
            if now >= life.beat_at {
                life.beat_at = now + Duration::from_millis(HEARTBEAT_MS);
                if !state.cut {
                    self.beat(&mut state);
                }
            }
        }
        let silent = now.duration_since(state.last_beat).as_millis() as u64;
        if silent > 3 * HEARTBEAT_MS && state.listed_value.take().is_some() {
            self.store.put("servers", "", &self.id, None);
            self.record.line(&format!("store: the entry of {} has expired", self.id));
        }
    }

    fn beat(&self, state: &mut State) {
        state.last_beat = Instant::now();
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "vejle-a",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 256_000, "gpus": 0},
            "labels": self.labels, "clock_ms": state.life.clock(), "seq": 1,
            "born": state.life.born_ms,
        });
        // The entry changes when more than `seq` (and the clock) changes.
        let mark = state.life.born_ms.to_string();
        if state.listed_value.as_deref() != Some(&mark) {
            state.listed_value = Some(mark);
            self.store.put("servers", "", &self.id, Some(entry.to_string().as_bytes()));
            self.record.line(&format!("store: {} is listed, born {}", self.id, state.life.born_ms));
        }
    }

    /// Cuts the path from the executor to the store; all others reach it still.
    pub fn cut_from_store(&self) {
        self.state.lock().unwrap().cut = true;
        self.record.line(&format!("executor {} is cut from the store", self.id));
    }

    /// Heals the path to the store; the list shows the next report after `lag`.
    pub fn heal(&self, lag: Duration) {
        let mut state = self.state.lock().unwrap();
        state.cut = false;
        state.life.beat_at = state.life.beat_at.max(Instant::now()) + lag;
        self.record.line(&format!("executor {} reaches the store again", self.id));
    }

    /// Returns whether the executor is up and runs nothing.
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.power == Power::Up && state.life.running.is_empty()
    }

    /// Returns whether the executor is up.
    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().power == Power::Up
    }

    /// Returns the processor time in use, in thousandths of a core.
    pub fn used(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.life.running.values().map(|running| running.cpu).sum()
    }

    /// Returns the processor time that the executor has.
    pub const fn cpu(&self) -> u64 {
        self.cpu
    }

    /// Ends the process: its connections are closed, and all that it runs is gone.
    pub fn crash(&self) {
        self.fall(Power::Down);
    }

    /// Takes the power away: connections stay open and nothing answers.
    pub fn go_dark(&self) {
        self.fall(Power::Dark);
    }

    fn fall(&self, power: Power) {
        let mut state = self.state.lock().unwrap();
        state.power = power;
        for running in std::mem::take(&mut state.life.running).into_values() {
            self.record.run_ended(running.record, "crashed");
        }
        if power == Power::Down {
            close(&mut state.connections);
        }
        self.record.line(&format!(
            "executor {} {}",
            self.id,
            match power {
                Power::Dark => "loses power",
                _ => "is killed",
            }
        ));
    }

    /// Starts a new process under the same id and address, which reports first after `beat_in`.
    pub fn restart(self: &Arc<Self>, beat_in: Duration) {
        let process = {
            let mut state = self.state.lock().unwrap();
            close(&mut state.connections);
            state.power = Power::Down;
            state.process += 1;
            state.process
        };
        // The listener of the former process closes within some milliseconds.
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        };
        {
            let mut state = self.state.lock().unwrap();
            state.power = Power::Up;
            state.life = Life::new(0, beat_in);
        }
        self.record.line(&format!("executor {} has started again", self.id));
        self.accept(listener, process);
    }
}

/// Fills the queue of new channels, so that further ones hang as those to a machine without power.
///
/// Returns the channels that fill it.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    unsafe extern "C" {
        fn listen(socket: i32, backlog: i32) -> i32;
    }
    // SAFETY: the descriptor is that of a listening socket; the call only changes its queue.
    unsafe { listen(listener.as_raw_fd(), 0) };
    let Ok(address) = listener.local_addr() else { return Vec::new() };
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(20)).ok();
    std::iter::from_fn(connect).take(64).collect()
}

fn close(connections: &mut Vec<TcpStream>) {
    for stream in connections.drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn report(life: &Life) -> Value {
    let running: Vec<Value> =
        life.running.iter().map(|(task, running)| json!([task, running.run, "", 50, 0])).collect();
    let ended = life.ended.iter().take(500);
    let ended: Vec<Value> =
        ended.map(|end| json!([end.number, end.task, end.run, end.how, ""])).collect();
    json!({"clock_ms": life.clock(), "born": life.born_ms, "running": running, "ended": ended})
}
