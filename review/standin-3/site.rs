//! A small site: the platform's store with a manifest, executors and instances.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::Executor;
use crate::http;
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "ropes.example";
pub const PREFIX: &str = "/knots/";
/// Kind of the first executor; the others are of the kind `k1`.
pub const FIRST_KIND: &str = "k9";
/// Time limit of the requesters.
const TIME_LIMIT: Duration = Duration::from_millis(3_000);

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

pub struct Site {
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub instances: Vec<Instance>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Site {
    /// Starts a site on loopback addresses of its own (`127.N.x.y`), and waits until it is ready. The
    /// first executor is of the kind [`FIRST_KIND`].
    pub fn start(
        number: u8,
        executors: usize,
        instances: usize,
        case: &Path,
    ) -> std::io::Result<Self> {
        let record = Arc::new(Record::create(&case.join("record.txt"))?);
        let folder = std::env::temp_dir().join(format!("review-3-{number}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(&format!("127.{number}.0.1"))?;
        store.put("op", "", "config", Some(MANIFEST));
        let executors = (0..)
            .take(executors)
            .map(|at| {
                let kind = if at == 0 { FIRST_KIND } else { "k1" };
                Executor::start(at, kind, &format!("127.{number}.1.{}", at + 1), &store, &record)
            })
            .collect::<std::io::Result<Vec<_>>>()?;
        let mut site = Self { store, executors, instances: Vec::new(), record, folder };
        for at in 1..=instances {
            let (ip, store) = (format!("127.{number}.2.{at}"), site.store.address);
            let mut instance = Instance::create(at, &ip, store, &site.folder, &site.record)?;
            instance.spawn()?;
            site.instances.push(instance);
        }
        site.wait_until_ready(Duration::from_secs(10))?;
        // The traffic starts 10 s after the machines do; a claim takes far less.
        thread::sleep(Duration::from_secs(3));
        Ok(site)
    }

    pub fn wait_until_ready(&self, most: Duration) -> std::io::Result<()> {
        let until = Instant::now() + most;
        while !self.instances.iter().all(Instance::is_ready) {
            if Instant::now() > until {
                return Err(std::io::Error::other("the instances did not get ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Addresses of the instances for requesters.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.front).collect()
    }

    /// Number of runs at work.
    pub fn running(&self) -> usize {
        self.executors.iter().map(|executor| executor.running()).sum()
    }

    /// Submits a job as a requester does: with retries at other instances, until it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        (0..5).any(|attempt| {
            let front = self.instances[attempt % self.instances.len()].front;
            let answer = request(&self.record, front, "POST", id, body);
            let accepted = answer.is_some_and(|(status, _)| (200..300).contains(&status));
            if !accepted {
                thread::sleep(Duration::from_millis(500));
            }
            accepted
        })
    }

    /// Asks for the state of a job.
    pub fn state(&self, id: &str) -> String {
        let mut answers = self.instances.iter().filter_map(|instance| {
            let (status, body) = request(&self.record, instance.front, "GET", id, "")?;
            let state = crate::json::parse(body.as_bytes())?;
            (status == 200).then(|| state.get("state").text().to_owned())
        });
        answers.next().unwrap_or_default()
    }

    /// Waits for a job to be completed; returns whether it was.
    pub fn wait_for(&self, id: &str, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.state(id) == "completed" {
                return true;
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends one request of a requester and records it with its answer.
pub fn request(
    record: &Record,
    to: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
) -> Option<(u16, String)> {
    let answer = http::call(to, method, HOST, &format!("{PREFIX}{id}"), body, TIME_LIMIT);
    let text = match &answer {
        Some((status, body)) => format!("{status} {body}"),
        None => "no answer".to_owned(),
    };
    record.line(&format!("request: {method} {id} at {to}, {} bytes: {text}", body.len()));
    answer
}

const MANIFEST: &str = r#"{"version":7,"routes":[{"name":"knot-pattern","host":"ropes.example",
"path_prefix":"/knots/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,
"priority":2,"service":"kit-orders","max_attempts":2,"stretch":2.0}],
"services":[{"name":"kit-orders","health_path":"/health","max_conns":64,"protocol":"h1",
"tls":false,"enforces_capacity":true,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;
