//! What was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub executor: String,
    pub from_ms: u128,
    pub end: Option<(u128, &'static str)>,
}

impl Run {
    pub fn new(task: &str, run: u64, executor: &str) -> Self {
        Self { task: task.to_owned(), run, executor: executor.to_owned(), from_ms: 0, end: None }
    }
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { begun: Instant::now(), file, runs: Mutex::default() })
    }

    pub fn ms(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:>7} {text}", self.ms());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn started(&self, run: Run) -> usize {
        self.line(&format!("run: {} run {} starts on {}", run.task, run.run, run.executor));
        let mut runs = self.lock();
        runs.push(Run { from_ms: self.ms(), ..run });
        runs.len() - 1
    }

    pub fn ended(&self, number: usize, how: &'static str) {
        let run = {
            let mut runs = self.lock();
            runs[number].end = Some((self.ms(), how));
            runs[number].clone()
        };
        self.line(&format!("run: {} run {} ends {how} on {}", run.task, run.run, run.executor));
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }
}
