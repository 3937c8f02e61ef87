//! An instance of the project: a process with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::record::Record;

const METRICS_PORT: &str = "9102";

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Instance {
    pub fn create(
        number: usize,
        ip: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let (front, ready) = (TcpListener::bind((ip, 0))?, TcpListener::bind((ip, 0))?);
        let (front, ready) = (front.local_addr()?, ready.local_addr()?);
        let name = format!("edge-vejle-a-{number}");
        let settings = folder.join(format!("{name}.toml"));
        let text = include_str!("settings.toml")
            .replace("{name}", &name)
            .replace("{ip}", ip)
            .replace("{front}", &front.to_string())
            .replace("{ready}", &ready.to_string())
            .replace("{store}", &store.to_string());
        std::fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let record = Arc::clone(record);
        Ok(Self { name, front, ready, settings, log, child: None, record })
    }

    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/sycamorerilld")
            .args(["--edge", "--metrics-port", METRICS_PORT])
            .env_clear()
            .env("SYCAMORERILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("instance: {} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, and waits for its end.
    pub fn kill(&mut self) {
        self.record.line(&format!("instance: {} is killed", self.name));
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "x", "/ready", "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Memory of the process in KiB, without pages of its program file.
    pub fn resident_kib(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let line = text.unwrap_or_default();
        let line = line.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Text that the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
