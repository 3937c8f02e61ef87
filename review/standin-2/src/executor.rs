//! A stand-in of an executor.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Request, is_closed, read_request, respond};
use crate::record::{Jobs, Record};
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_100);
const HOLD_MAX_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 2_000;
const STOP_TIME: Duration = Duration::from_millis(100);
const MAX_ENDS: usize = 500;
const POLL: Duration = Duration::from_millis(5);

struct Run {
    task: String,
    run: u64,
    cpu: u64,
    mem: u64,
    begun: Instant,
    work: Duration,
    stopping: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    at: Instant,
}

struct State {
    up: bool,
    /// Whether calls hang while it is down, as if its machine had lost power.
    dark: bool,
    /// Until when nothing gets through between it and the instances.
    cut_until: Instant,
    process: u64,
    born_ms: u64,
    clock_base: Instant,
    fence: u64,
    deadline: u64,
    runs: Vec<Run>,
    /// Highest run of a task that was stopped or has ended here.
    highest: BTreeMap<String, u64>,
    ended: Vec<End>,
    /// When the time of the lease was last seen to be over, whether anything ran or not.
    lapsed_at: Option<Instant>,
    /// When runs were last killed as the lease had lapsed.
    killed_at: Option<Instant>,
    /// Until when a share of the calls gets no answer and is carried out late.
    late_until: Instant,
    late_share: f64,
    random: u64,
    next_end: u64,
    connections: Vec<TcpStream>,
    beat_at: Instant,
    beaten_at: Instant,
    listed: Option<u64>,
}

pub struct Executor {
    pub id: String,
    pub labels: [String; 2],
    pub cpu: u64,
    pub mem: u64,
    address: SocketAddr,
    state: Mutex<State>,
    store: Arc<Store>,
    jobs: Arc<Jobs>,
    record: Arc<Record>,
}

pub struct Place {
    pub id: String,
    pub labels: [String; 2],
    pub cpu: u64,
    pub mem: u64,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl State {
    fn clock(&self) -> u64 {
        // The clock starts anywhere.
        60_000 + self.clock_base.elapsed().as_millis() as u64
    }

    fn end(&mut self, index: usize, how: &'static str, record: &Record, id: &str) {
        let run = self.runs.remove(index);
        let highest = self.highest.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.run);
        record.run_ended(&run.task, run.run, id, how);
        let (number, at) = (self.next_end, Instant::now());
        self.ended.push(End { number, task: run.task, run: run.run, how, at });
        self.next_end += 1;
    }

    /// Ends what is due.
    fn settle(&mut self, record: &Record, id: &str) {
        let lapsed = self.clock() > self.deadline;
        if lapsed {
            self.lapsed_at = Some(Instant::now());
        }
        let mut index = 0;
        while index < self.runs.len() {
            let run = &self.runs[index];
            let how = match run.stopping {
                Some(at) if at.elapsed() >= STOP_TIME => Some("stopped"),
                _ if run.begun.elapsed() >= run.work => Some("done"),
                _ if lapsed => Some("lapsed"),
                _ => None,
            };
            match how {
                Some(how) => {
                    if how == "lapsed" {
                        self.killed_at = Some(Instant::now());
                    }
                    self.end(index, how, record, id);
                }
                None => index += 1,
            }
        }
    }

    fn used(&self) -> (u64, u64) {
        self.runs.iter().fold((0, 0), |used, run| (used.0 + run.cpu, used.1 + run.mem))
    }

    fn report(&self) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|run| {
                let part = run.begun.elapsed().as_secs_f64() / run.work.as_secs_f64();
                json!([run.task, run.run, "", (part * 100.0).min(99.0) as u64, run.cpu])
            })
            .collect();
        let ended = self.ended.iter().take(MAX_ENDS);
        let ended: Vec<Value> =
            ended.map(|end| json!([end.number, end.task, end.run, end.how, ""])).collect();
        json!({"clock_ms": self.clock(), "born": self.born_ms, "running": running, "ended": ended})
    }

    fn refuse(&self, reason: &str) -> (u16, Value) {
        (409, json!({"clock_ms": self.clock(), "born": self.born_ms, "reason": reason}))
    }

    fn extend(&mut self, body: &Value) {
        if let Some(deadline) = body["deadline_ms"].as_u64() {
            let most = self.clock() + HOLD_MAX_MS;
            self.deadline = self.deadline.max(deadline.min(most));
        }
    }
}

impl Executor {
    pub fn start(
        place: Place,
        ip: IpAddr,
        store: &Arc<Store>,
        jobs: &Arc<Jobs>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let now = Instant::now();
        let state = State {
            up: true,
            dark: false,
            cut_until: now,
            process: 0,
            born_ms: wall_ms(),
            clock_base: now,
            fence: 0,
            deadline: 0,
            runs: Vec::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            lapsed_at: None,
            killed_at: None,
            late_until: now,
            late_share: 0.0,
            random: wall_ms() | 1,
            next_end: 1,
            connections: Vec::new(),
            beat_at: now,
            beaten_at: now,
            listed: None,
        };
        let executor = Arc::new(Self {
            id: place.id,
            labels: place.labels,
            cpu: place.cpu,
            mem: place.mem,
            address: listener.local_addr()?,
            state: Mutex::new(state),
            store: Arc::clone(store),
            jobs: Arc::clone(jobs),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&executor);
        thread::spawn(move || accepting.accept(listener));
        Ok(executor)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts channels while a process is up. Without one they are refused.
    fn accept(self: &Arc<Self>, mut listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept() else { return };
            if self.is_gone() {
                drop((stream, listener));
                while self.is_gone() {
                    thread::sleep(Duration::from_millis(1));
                }
                listener = loop {
                    match TcpListener::bind(self.address) {
                        Ok(listener) => break listener,
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                };
                continue;
            }
            let executor = Arc::clone(self);
            thread::spawn(move || executor.serve(stream));
        }
    }

    fn is_gone(&self) -> bool {
        let state = self.lock();
        !state.up && !state.dark
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else { return };
        self.hang();
        let process = {
            let mut state = self.lock();
            if !state.up {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                state.connections.push(copy);
            }
            state.process
        };
        let mut from = BufReader::new(stream);
        while let Some(request) = read_request(&mut from) {
            // Bytes that were held up are lost if their sender has closed the channel.
            if self.hang() && is_closed(&to) {
                break;
            }
            if let Some(delay) = self.late() {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                thread::sleep(delay);
                let done = self.answer(&request, process).is_some();
                let (ms, id) = (delay.as_millis(), &self.id);
                let path = &request.path;
                self.record.line(&format!("late: {path} at {id} after {ms} ms ({done}): {body}"));
                break;
            }
            let Some((status, body)) = self.answer(&request, process) else { break };
            if self.hang() && is_closed(&to) {
                break;
            }
            if !respond(&mut to, status, &body.to_string()) {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits while nothing gets through; returns whether that was so.
    fn hang(&self) -> bool {
        let mut hung = false;
        loop {
            {
                let state = self.lock();
                if !state.dark && Instant::now() >= state.cut_until {
                    return hung;
                }
            }
            hung = true;
            thread::sleep(POLL);
        }
    }

    /// Returns the answer; none if the process that got the call has ended.
    fn answer(&self, request: &Request, process: u64) -> Option<(u16, Value)> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let epoch = body["fence_token"].as_u64().unwrap_or(0);
        let until;
        {
            let mut state = self.lock();
            if state.process != process || !state.up {
                return None;
            }
            if request.header("X-Expect-Instance").is_some_and(|id| id != self.id) {
                return Some((421, json!({})));
            }
            state.settle(&self.record, &self.id);
            if epoch < state.fence {
                return Some(state.refuse("fence"));
            }
            state.fence = epoch;
            match request.path.as_str() {
                "/run-start" => return Some(self.start_run(&mut state, &body)),
                "/run-stop" => return Some(self.stop_run(&mut state, &body)),
                "/pace" => return Some((200, json!({"clock_ms": state.clock()}))),
                "/hold" => {
                    let seen = body["last_seen"].as_u64().unwrap_or(0);
                    self.forget(&mut state, seen);
                    state.extend(&body);
                }
                _ => return Some((404, json!({}))),
            }
            let wait = body["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS);
            until = Instant::now() + Duration::from_millis(wait);
        }
        loop {
            self.hang();
            {
                let mut state = self.lock();
                if state.process != process || !state.up {
                    return None;
                }
                state.settle(&self.record, &self.id);
                if !state.ended.is_empty() || Instant::now() >= until {
                    return Some((200, state.report()));
                }
            }
            thread::sleep(POLL);
        }
    }

    /// Forgets ends up to a number, of which note is taken so.
    fn forget(&self, state: &mut State, seen: u64) {
        let (lapsed_at, killed_at) = (state.lapsed_at, state.killed_at);
        let forgotten = state.ended.extract_if(.., |end| end.number <= seen);
        for end in forgotten {
            let is_later = |at: Option<Instant>| at.is_some_and(|at| at >= end.at);
            if end.how == "done" && !is_later(killed_at) {
                self.record.end_noted(&end.task, end.run, is_later(lapsed_at));
            }
        }
    }

    /// Returns how late a call is carried out, if it gets no answer.
    fn late(&self) -> Option<Duration> {
        let mut state = self.lock();
        if Instant::now() >= state.late_until {
            return None;
        }
        let mut draw = || {
            state.random ^= state.random << 13;
            state.random ^= state.random >> 7;
            state.random ^= state.random << 17;
            (state.random >> 11) as f64 / (1_u64 << 53) as f64
        };
        let (is_late, delay) = (draw(), draw());
        (is_late < state.late_share).then(|| Duration::from_millis(2_000 + (delay * 10_000.0) as u64))
    }

    /// Leaves a share of the calls unanswered for a time; they are carried out 2 to 12 s later.
    pub fn be_late(&self, share: f64, time: Duration) {
        let mut state = self.lock();
        state.late_until = Instant::now() + time;
        state.late_share = share;
    }

    fn start_run(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let done = |state: &State| (200, json!({"clock_ms": state.clock(), "born": state.born_ms}));
        if state.runs.iter().any(|other| other.task == task && other.run == run) {
            state.extend(body);
            return done(state);
        }
        if body["deadline_ms"].as_u64().unwrap_or(0) <= state.clock() {
            return state.refuse("late");
        }
        state.extend(body);
        if state.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return state.refuse("old");
        }
        let Some(need) = self.jobs.need(&task) else {
            self.record.line(&format!("UNASKED start of {task} run {run} at {}", self.id));
            return (400, json!({"clock_ms": state.clock()}));
        };
        let used = state.used();
        if used.0 + need.cpu > self.cpu || used.1 + need.mem > self.mem {
            return state.refuse("room");
        }
        self.record.run_started(&task, run, &self.id);
        let (cpu, mem, work) = (need.cpu, need.mem, need.work);
        state.runs.push(Run { task, run, cpu, mem, begun: Instant::now(), work, stopping: None });
        done(state)
    }

    fn stop_run(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        match state.runs.iter_mut().find(|other| other.task == task && other.run == run) {
            Some(found) => {
                found.stopping.get_or_insert(Instant::now());
            }
            None => {
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = (*highest).max(run);
            }
        }
        (200, json!({"clock_ms": state.clock(), "born": state.born_ms}))
    }

    /// Ends what is due, reports to the store, and lets the entry expire.
    pub fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.up {
            state.settle(&self.record, &self.id);
            if now >= state.beat_at {
                state.beat_at = now + HEARTBEAT;
                state.beaten_at = now;
                // The entry changes when more than `seq` changes.
                if state.listed != Some(state.born_ms) {
                    state.listed = Some(state.born_ms);
                    self.store.put("servers", &self.id, Some(&self.entry(&state)));
                }
            }
        }
        if now.duration_since(state.beaten_at) > 3 * HEARTBEAT && state.listed.take().is_some() {
            self.store.put("servers", &self.id, None);
            self.record.line(&format!("store: the entry of {} expires", self.id));
        }
    }

    fn entry(&self, state: &State) -> Value {
        json!({
            "service": "kit-orders", "address": self.address.to_string(), "zone": "vejle-a",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpus": 0}, "labels": self.labels,
            "clock_ms": state.clock(), "seq": 1, "born": state.born_ms,
        })
    }

    /// Takes the power from the executor for good: nothing answers, and all that it runs is gone.
    pub fn lose(&self) {
        let mut state = self.lock();
        state.up = false;
        state.dark = true;
        state.process += 1;
        for run in std::mem::take(&mut state.runs) {
            self.record.run_ended(&run.task, run.run, &self.id, "crash");
        }
        self.record.line(&format!("fault: {} is lost for good", self.id));
    }

    /// Cuts it from the instances for a time; it runs on and reaches the store.
    pub fn cut_for(&self, time: Duration) {
        self.lock().cut_until = Instant::now() + time;
        self.record.line(&format!("fault: {} is cut off for {} ms", self.id, time.as_millis()));
    }

    /// Ends its process: its channels are closed, and all that it runs is gone.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.up = false;
        state.process += 1;
        for run in std::mem::take(&mut state.runs) {
            self.record.run_ended(&run.task, run.run, &self.id, "crash");
        }
        for stream in std::mem::take(&mut state.connections) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // The thread that accepts channels learns of it.
        let _ = TcpStream::connect(self.address);
        self.record.line(&format!("fault: {} crashes", self.id));
    }

    /// Starts a new process under the same id, which knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        state.up = true;
        state.born_ms = wall_ms();
        state.clock_base = now;
        (state.fence, state.deadline, state.next_end) = (0, 0, 1);
        state.highest.clear();
        state.ended.clear();
        (state.lapsed_at, state.killed_at) = (None, None);
        // It writes to the store at some moment of its first interval.
        state.beat_at = now + HEARTBEAT / 2;
        self.record.line(&format!("{} starts again, born {}", self.id, state.born_ms));
    }

    /// Returns its free processor time and memory, as long as it is up.
    pub fn free(&self) -> Option<(u64, u64)> {
        let state = self.lock();
        let used = state.used();
        state.up.then(|| (self.cpu - used.0, self.mem - used.1))
    }

    /// Returns the number of its latest end, and how many runs it has.
    pub fn counts(&self) -> (u64, usize) {
        let state = self.lock();
        (state.next_end - 1, state.runs.len())
    }

    /// Returns whether a task of the job runs here.
    pub fn runs_job(&self, job: &str) -> bool {
        self.lock().runs.iter().any(|run| run.task.starts_with(job))
    }

    /// Returns how many ends it keeps.
    pub fn kept_ends(&self) -> usize {
        self.lock().ended.len()
    }
}
