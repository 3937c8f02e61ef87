//! A small deployment: the store, executors, entry instances as separate processes, and requesters.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::executor::Executor;
use crate::http;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// An entry instance, run with the command of the deploy file.
pub struct Node {
    name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub nodes: Vec<Node>,
    net: u8,
    dir: PathBuf,
    root: PathBuf,
    next_node: usize,
    seed: u64,
}

impl World {
    pub fn new(root: &Path, case: &Path) -> Self {
        let record = Arc::new(Record::create(&case.join("record.txt")));
        let net = (std::process::id() % 200 + 20) as u8;
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::start(&format!("127.{net}.0.1"));
        let seed = u64::from(std::process::id()) ^ crate::record::wall_ms();
        Self {
            record,
            store,
            executors: Vec::new(),
            nodes: Vec::new(),
            net,
            dir,
            root: root.to_owned(),
            next_node: 0,
            seed,
        }
    }

    /// Adds an executor that has been up for an hour.
    pub fn add_executor(&mut self, labels: [&str; 2], cpu: u64) {
        let ip = format!("127.{}.1.1", self.net);
        let id = format!("i-7f3a{:04x}", self.executors.len());
        let uptime = Duration::from_secs(3_600);
        // They report about every 1.1 s, each at a time of its own.
        let first = Duration::from_millis(self.random(1_100));
        let executor =
            Executor::start(&ip, &id, labels, cpu, uptime, first, &self.store, &self.record);
        self.executors.push(executor);
    }

    /// Lets time pass for the executors, in a thread of its own.
    pub fn run_executors(&self) {
        let executors = self.executors.clone();
        thread::spawn(move || {
            loop {
                executors.iter().for_each(|executor| executor.tick());
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Writes the first manifest.
    pub fn configure(&self) {
        let config = json!({
            "version": 7,
            "routes": [{"name": "r-wrr6x73", "host": HOST, "path_prefix": PREFIX,
                "kind": "non_idempotent", "timeout_ms": 3_000, "target_latency_ms": 250, "priority": 0,
                "service": "kit-orders", "max_attempts": 2, "stretch": 2.0}],
            "services": [{"name": "kit-orders", "health_path": "/health", "max_conns": 64,
                "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        });
        self.store.put("op", "", "config", Some(config.to_string().as_bytes()));
    }

    /// Starts an entry instance on a machine with the share of a core.
    pub fn add_node(&mut self, cpu_share: f64) {
        let number = self.next_node;
        self.next_node += 1;
        let ip = format!("127.{}.2.{}", self.net, number + 1);
        let name = format!("edge-vejle-a-{}", number + 1);
        let (front, ready) = (free_address(&ip), free_address(&ip));
        let text = SETTINGS
            .replace("{name}", &name)
            .replace("{ip}", &ip)
            .replace("{front}", &front.to_string())
            .replace("{ready}", &ready.to_string())
            .replace("{share}", &cpu_share.to_string())
            .replace("{store}", &self.store.address.to_string());
        let settings = self.dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("a file for the settings");
        self.nodes.push(Node { name, front, ready, settings, child: None });
        self.spawn_node(number);
    }

    pub fn spawn_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", node.name)))
            .expect("a file for the log");
        let child = Command::new(self.root.join("target/release/sycamorerilld"))
            .args(["--edge", "--metrics-port", "9102"])
            .current_dir(&self.root)
            .env_clear()
            .env("SYCAMORERILL_BOOT", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file for the log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| broken(&format!("cannot start sycamorerilld: {error}")));
        self.record.line(&format!("platform: {} is started", node.name));
        node.child = Some(child);
    }

    /// Ends the process of a machine with SIGKILL.
    pub fn kill_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("platform: {} is killed", node.name));
        }
    }

    /// Stops the machine that gained the shard last, as planned: SIGTERM, SIGKILL after `grace_s`,
    /// and a start.
    pub fn roll_owner(&mut self) -> (usize, Instant) {
        let owner = (0..self.nodes.len()).max_by_key(|number| self.gained_at(*number));
        let owner = owner.unwrap_or(0);
        let node = &self.nodes[owner];
        let pid = node.child.as_ref().map_or(0, Child::id).to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        self.record.line(&format!("platform: {} gets SIGTERM", node.name));
        (owner, Instant::now() + Duration::from_secs(6))
    }

    /// Starts a machine again that got SIGTERM, once its process has ended or its time is over.
    pub fn end_roll(&mut self, number: usize, kill_at: Instant) -> bool {
        let Some(child) = &mut self.nodes[number].child else { return true };
        if child.try_wait().is_ok_and(|status| status.is_none()) && Instant::now() < kill_at {
            return false;
        }
        self.kill_node(number);
        self.spawn_node(number);
        true
    }

    /// Returns when the machine last logged that it gained the shard, in milliseconds since 1970.
    fn gained_at(&self, number: usize) -> u64 {
        let log = self.dir.join(format!("{}.log", self.nodes[number].name));
        let log = std::fs::read_to_string(log).unwrap_or_default();
        let gained = log.lines().filter(|line| line.contains("\"shard.gained\""));
        let line: Value =
            gained.last().and_then(|l| serde_json::from_str(l).ok()).unwrap_or_default();
        line["ms"].as_u64().unwrap_or(0)
    }

    /// Returns the resident memory of a machine's process, in bytes.
    pub fn memory(&self, number: usize) -> u64 {
        let Some(child) = &self.nodes[number].child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Waits until all machines say that they are ready.
    pub fn wait_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while !self.nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                broken("the entry instances are not ready in time");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("platform: all entry instances are ready");
    }

    /// Returns the next number of a sequence that looks random.
    pub fn random(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below.max(1)
    }

    /// Returns a new id of a job.
    pub fn new_id(&mut self) -> String {
        format!("{:016x}", self.random(u64::MAX))
    }

    /// Hands a job in, with retries at other machines; returns whether it was accepted.
    pub fn submit(&mut self, id: &str, job: &Value) -> bool {
        for _ in 0..5 {
            let answer = self.request("POST", id, &job.to_string());
            match answer {
                Some((200, _)) => return true,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        false
    }

    /// Returns the state that a job is shown with.
    pub fn state(&mut self, id: &str) -> String {
        for _ in 0..5 {
            match self.request("GET", id, "") {
                Some((200, body)) => {
                    let body: Value = serde_json::from_str(&body).unwrap_or_default();
                    return body["state"].as_str().unwrap_or("unreadable").to_owned();
                }
                Some((410, _)) => return "unknown".to_owned(),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        "no answer".to_owned()
    }

    fn request(&mut self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|number| self.nodes[*number].is_up()).collect();
        let chosen = up[self.random(up.len() as u64) as usize];
        let (name, front) = (self.nodes[chosen].name.clone(), self.nodes[chosen].front);
        let path = format!("{PREFIX}{id}");
        let answer = http::call(front, method, &path, HOST, body, REQUEST_TIMEOUT);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("client: {method} {id} at {name}: {shown}"));
        answer
    }
}

impl Node {
    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/ready", "x", "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }

    fn is_up(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs: {}", self.dir.display());
        }
    }
}

/// The case could not run.
pub fn broken(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    std::panic::panic_any(CannotRun)
}

/// Payload of the panic of a case that could not run.
pub struct CannotRun;

fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

const SETTINGS: &str = r#"node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "vejle-a"
region = "jylland"
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1100
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "rpc"
advice = ""
[listen]
front = "{front}"
ready_addr = "{ready}"
[limits]
cpu_share = {share}
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 10000
stop_grace_ms = 900
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_penalty = 1.5
checkpoint_s = 1
restore_ms = 250
harm_ms = 4000
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
"#;
