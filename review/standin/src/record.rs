//! What was sent, answered and run, as clients, servers and the platform have seen it.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A run of a task on an executor.
#[derive(Clone)]
pub struct Run {
    pub executor: String,
    pub task: String,
    pub run: u32,
    pub from_ms: u64,
    /// When and how the run ended, if it has.
    pub end: Option<(u64, &'static str)>,
    /// Whether the end was taken note of, with no lapse of the lease before.
    pub noted: bool,
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("a file for the record"));
        Self { begun: Instant::now(), file, runs: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let _ = writeln!(self.file.lock().unwrap(), "{:>8.3} {text}", at as f64 / 1_000.0);
    }

    pub fn run_started(&self, executor: &str, born: u64, task: &str, run: u32) -> usize {
        self.line(&format!("run: {task} run {run} starts on {executor}, born {born}"));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            executor: executor.to_owned(),
            task: task.to_owned(),
            run,
            from_ms: self.now_ms(),
            end: None,
            noted: false,
        });
        runs.len() - 1
    }

    pub fn run_ended(&self, number: usize, how: &'static str) {
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs[number].end = Some((self.now_ms(), how));
            runs[number].clone()
        };
        self.line(&format!("run: {} run {} on {}: {how}", run.task, run.run, run.executor));
    }

    pub fn end_noted(&self, number: usize) {
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs[number].noted = true;
            runs[number].clone()
        };
        self.line(&format!(
            "run: {} run {} on {}: its end is taken note of",
            run.task, run.run, run.executor
        ));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
