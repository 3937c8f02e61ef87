//! A small deployment: the store, executors, instances as processes, and a caller.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::executor::{Executor, Place};
use crate::http::call;
use crate::record::{Jobs, Record, Step};
use crate::store::Store;

const READY: Duration = Duration::from_secs(20);
const NET_PORT: u16 = 9_101;
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// `finish_s` of the site.
pub const FINISH: Duration = Duration::from_secs(14);
/// How long the rule LOST watches a job.
const WATCHED: Duration = Duration::from_secs(3);

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

/// A queue in the manifest.
pub fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent",
        "timeout_ms": 3_000, "target_latency_ms": 250, "priority": 0, "service": "kit-orders",
        "max_attempts": 2, "stretch": 1.5})
}

pub fn manifest(version: u64, routes: &[Value]) -> Value {
    json!({"version": version, "routes": routes,
        "services": [{"name": "kit-orders", "health_path": "/health", "max_conns": 64,
            "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Process>,
}

#[derive(Default)]
struct Process {
    child: Option<Child>,
    /// Whether it starts no more.
    is_over: bool,
}

impl Instance {
    fn start(&self) -> std::io::Result<()> {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        if process.is_over {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/sycamorerilld")
            .args(["--edge", "--metrics-port", "9102"])
            .env_clear()
            .env("SYCAMORERILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&self) {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process with SIGKILL, and starts it again after a time, as the platform does.
    pub fn kill_for(self: &Arc<Self>, time: Duration, record: &Arc<Record>) {
        self.kill();
        let (instance, record) = (Arc::clone(self), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(time);
            let started = instance.start().is_ok();
            record.line(&format!("instance: {} starts again ({started})", instance.name));
        });
    }

    /// Ends the process for good.
    fn end(&self) {
        self.process.lock().unwrap_or_else(PoisonError::into_inner).is_over = true;
        self.kill();
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "GET", "x", "/ready", "", TIMEOUT).is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub jobs: Arc<Jobs>,
    pub executors: Vec<Arc<Executor>>,
    pub instances: Vec<Arc<Instance>>,
    next: Mutex<usize>,
    over: Arc<AtomicBool>,
    _net: TcpListener,
}

/// What a deployment consists of.
pub struct Plan {
    pub instances: usize,
    pub cpu_share: f64,
    pub link_mbps: f64,
    pub executors: Vec<Place>,
    pub manifest: Value,
    pub folder: PathBuf,
    pub record: Record,
}

impl Plan {
    pub fn start(self) -> Result<World, String> {
        let text = |error: std::io::Error| error.to_string();
        let (net, holder) = free_net().ok_or("no loopback net is free")?;
        let ip = |group: u8, number: usize| IpAddr::V4(Ipv4Addr::new(127, net, group, number as u8 + 1));
        let (record, store, jobs) = (Arc::new(self.record), Store::new(), Arc::new(Jobs::default()));
        store.put("op", "config", Some(&self.manifest));
        let mut executors = Vec::new();
        for (number, place) in self.executors.into_iter().enumerate() {
            let executor = Executor::start(place, ip(1, number), &store, &jobs, &record);
            executors.push(executor.map_err(text)?);
        }
        let over = Arc::new(AtomicBool::new(false));
        let (ticked, ended) = (executors.clone(), Arc::clone(&over));
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                ticked.iter().for_each(|executor| executor.tick());
                thread::sleep(Duration::from_millis(5));
            }
        });
        let mut instances = Vec::new();
        for number in 0..self.instances {
            let (name, ip) = (format!("edge-{}", number + 1), ip(2, number));
            let door = store.open(ip, &name).map_err(text)?;
            let (front, ready) = free_addresses(ip).map_err(text)?;
            let settings = include_str!("settings.toml")
                .replace("{name}", &name)
                .replace("{ip}", &ip.to_string())
                .replace("{front}", &front.to_string())
                .replace("{ready}", &ready.to_string())
                .replace("{store}", &door.to_string())
                .replace("{cpu_share}", &self.cpu_share.to_string())
                .replace("{link_mbps}", &format!("{:.1}", self.link_mbps));
            let path = self.folder.join(format!("{name}.toml"));
            std::fs::write(&path, settings).map_err(text)?;
            let log = self.folder.join(format!("{name}.log"));
            let process = Mutex::default();
            let instance = Instance { name, front, ready, settings: path, log, process };
            instance.start().map_err(text)?;
            record.line(&format!("instance: {} starts", instance.name));
            instances.push(Arc::new(instance));
        }
        let until = Instant::now() + READY;
        while !instances.iter().all(|instance| instance.is_ready()) {
            if Instant::now() > until {
                return Err("the instances are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("all instances are ready");
        let next = Mutex::new(0);
        Ok(World { record, store, jobs, executors, instances, next, over, _net: holder })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Others may hold on to an instance longer than the world does.
        self.instances.iter().for_each(|instance| instance.end());
    }
}

impl World {
    pub fn configure(&self, manifest: &Value) {
        self.store.put("op", "config", Some(manifest));
        self.record.line(&format!("operator: manifest {manifest} is acknowledged"));
    }

    /// Sends a request to the next instance; returns the status and the body of its answer.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let front = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            *next += 1;
            self.instances[*next % self.instances.len()].front
        };
        call(front, method, HOST, path, body, TIMEOUT)
    }

    /// Hands a job in, and repeats that as callers may; returns whether it was accepted.
    pub fn submit(&self, prefix: &str, id: &str, steps: &[Step]) -> bool {
        self.jobs.add(id, steps);
        let wire: Vec<Value> = steps
            .iter()
            .map(|step| {
                let mut wire = json!({"count": step.count, "cpu": step.need.cpu,
                    "mem_mb": step.need.mem, "est_runtime_ms": step.estimate_ms});
                if !step.depends_on.is_empty() {
                    wire["depends_on"] = json!(step.depends_on);
                }
                if let Some(label) = &step.label {
                    wire["required_label"] = json!(label);
                }
                wire
            })
            .collect();
        let body = json!({"task_spec": "cut", "steps": wire}).to_string();
        for _ in 0..5 {
            let answer = self.ask("POST", &format!("{prefix}{id}"), &body);
            let status = answer.map(|(status, _)| status);
            self.record.line(&format!("caller: POST {prefix}{id} -> {status:?}"));
            match status {
                Some(200..300) => return true,
                Some(400 | 404 | 409 | 413) => return false,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    pub fn state(&self, prefix: &str, id: &str) -> Option<(u16, String)> {
        let answer = self.ask("GET", &format!("{prefix}{id}"), "");
        self.record.line(&format!("caller: GET {prefix}{id} -> {answer:?}"));
        answer
    }

    /// Returns whether a job has nothing running while a task's turn has come and there is room
    /// for that task twice over.
    fn stands_still(&self, id: &str) -> bool {
        if self.executors.iter().any(|executor| executor.runs_job(id)) {
            return false;
        }
        let steps = self.jobs.steps(id);
        let is_done = |step: usize| {
            (0..steps[step].count).all(|index| self.record.is_done(&format!("{id}.0.{step}.{index}")))
        };
        (0..steps.len()).any(|number| {
            let step = &steps[number];
            let has_turn = !is_done(number) && step.depends_on.iter().all(|before| is_done(*before));
            let fits = self.executors.iter().map(|executor| {
                let has_label = step.label.as_ref().is_none_or(|it| executor.labels.contains(it));
                let Some((cpu, mem)) = executor.free().filter(|_| has_label) else { return 0 };
                (cpu / step.need.cpu.max(1)).min(mem / step.need.mem.max(1))
            });
            has_turn && fits.sum::<u64>() >= 2
        })
    }

    fn is_under_half_used(&self) -> bool {
        let (mut free, mut all) = (0, 0);
        for executor in &self.executors {
            if let Some((cpu, _)) = executor.free() {
                free += cpu;
                all += executor.cpu;
            }
        }
        free * 2 > all
    }

    /// Waits `finish_s` from the end of the traffic, and returns the jobs for which the rule LOST
    /// is broken then: for 3 s nothing of them runs while a task's turn has come, there is capacity
    /// for it twice over, and under half of the service's capacity is in use.
    pub fn lost(&self, ids: &[String]) -> Vec<String> {
        self.record.line("traffic: it has ended");
        thread::sleep(FINISH);
        let mut still: Vec<String> = ids.to_vec();
        let until = Instant::now() + WATCHED + Duration::from_millis(200);
        while Instant::now() < until {
            still.retain(|id| self.is_under_half_used() && self.stands_still(id));
            thread::sleep(Duration::from_millis(50));
        }
        still
    }
}

fn free_net() -> Option<(u8, TcpListener)> {
    let nets = (20..220).cycle().skip(std::process::id() as usize % 200).take(200);
    nets.into_iter().find_map(|net: u8| {
        let holder = TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), NET_PORT)).ok()?;
        Some((net, holder))
    })
}

/// Returns two addresses with different free ports, both held until both are known.
fn free_addresses(ip: IpAddr) -> std::io::Result<(SocketAddr, SocketAddr)> {
    let (front, ready) = (TcpListener::bind((ip, 0))?, TcpListener::bind((ip, 0))?);
    Ok((front.local_addr()?, ready.local_addr()?))
}
