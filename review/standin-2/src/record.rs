//! What was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    seen: Mutex<Seen>,
    /// Whether each start and end of a run gets a line.
    pub verbose: bool,
}

/// Whether note was taken of an end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    No,
    /// The time of the executor's lease was over in between, while nothing ran there.
    AfterIdleLapse,
    Yes,
}

#[derive(Default)]
struct Seen {
    /// Starts of each task: the run and the moment.
    starts: BTreeMap<String, Vec<(u64, Instant)>>,
    /// Ends `done` of each task: the run, the moment, and whether note was taken of it.
    done: BTreeMap<String, Vec<(u64, Instant, Noted)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Record {
    pub fn create(path: &Path, verbose: bool) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { begun: Instant::now(), file, seen: Mutex::default(), verbose })
    }

    pub fn line(&self, text: &str) {
        let ms = self.begun.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{ms:>7} {text}");
    }

    pub fn run_started(&self, task: &str, run: u64, executor: &str) {
        let mut seen = lock(&self.seen);
        seen.starts.entry(task.to_owned()).or_default().push((run, Instant::now()));
        let is_again = seen.done.contains_key(task);
        drop(seen);
        if is_again {
            self.line(&format!("again: {task} run {run} starts at {executor} after an end `done`"));
        } else if self.verbose {
            self.line(&format!("start: {task} run {run} at {executor}"));
        }
    }

    pub fn run_ended(&self, task: &str, run: u64, executor: &str, how: &str) {
        if how == "done" {
            let mut seen = lock(&self.seen);
            seen.done.entry(task.to_owned()).or_default().push((run, Instant::now(), Noted::No));
        }
        if self.verbose {
            self.line(&format!("end: {task} run {run} at {executor} {how}"));
        }
    }

    /// Notes that an executor was told that an end `done` has been seen. Its lease has killed nothing
    /// in between; `lapsed` tells whether its time was over while nothing ran.
    pub fn end_noted(&self, task: &str, run: u64, lapsed: bool) {
        let noted = if lapsed { Noted::AfterIdleLapse } else { Noted::Yes };
        let mut seen = lock(&self.seen);
        for end in seen.done.get_mut(task).into_iter().flatten().filter(|end| end.0 == run) {
            end.2 = noted;
        }
        drop(seen);
        if lapsed {
            self.line(&format!("note is taken of the end `done` of {task} run {run}"));
        }
    }

    /// Returns the tasks that were started after a run had ended `done`, where note of that end was
    /// taken before or later. `counted` tells which notes count.
    pub fn started_again(&self, counted: impl Fn(Noted) -> bool) -> Vec<String> {
        let seen = lock(&self.seen);
        let is_broken = |task: &String, ends: &[(u64, Instant, Noted)]| {
            let starts = seen.starts.get(task).map_or(&[][..], Vec::as_slice);
            let mut noted = ends.iter().filter(|end| counted(end.2));
            noted.any(|end| starts.iter().any(|start| start.1 > end.1 && start.0 != end.0))
        };
        let broken = seen.done.iter().filter(|(task, ends)| is_broken(task, ends));
        broken.map(|(task, _)| task.clone()).collect()
    }

    pub fn is_done(&self, task: &str) -> bool {
        lock(&self.seen).done.contains_key(task)
    }

    /// Returns whether any task of the job has begun.
    pub fn has_begun(&self, job: &str) -> bool {
        let seen = lock(&self.seen);
        seen.starts.range(job.to_owned()..).next().is_some_and(|(task, _)| task.starts_with(job))
    }
}

/// What a task needs and how long it works.
#[derive(Clone)]
pub struct Need {
    pub cpu: u64,
    pub mem: u64,
    pub work: Duration,
}

#[derive(Clone)]
pub struct Step {
    pub count: u32,
    pub need: Need,
    pub estimate_ms: u64,
    pub depends_on: Vec<usize>,
    pub label: Option<String>,
}

impl Step {
    pub fn new(count: u32, cpu: u64, mem: u64, work_ms: u64) -> Self {
        let need = Need { cpu, mem, work: Duration::from_millis(work_ms) };
        Self { count, need, estimate_ms: work_ms, depends_on: Vec::new(), label: None }
    }

    pub fn after(self, step: usize) -> Self {
        Self { depends_on: vec![step], ..self }
    }

    pub fn labelled(self, label: &str) -> Self {
        Self { label: Some(label.to_owned()), ..self }
    }
}

/// The jobs that callers have sent.
#[derive(Default)]
pub struct Jobs(Mutex<BTreeMap<String, Vec<Step>>>);

impl Jobs {
    pub fn add(&self, id: &str, steps: &[Step]) {
        lock(&self.0).insert(id.to_owned(), steps.to_vec());
    }

    pub fn steps(&self, id: &str) -> Vec<Step> {
        lock(&self.0).get(id).cloned().unwrap_or_default()
    }

    /// Returns what a task needs; none if no caller sent it.
    pub fn need(&self, task: &str) -> Option<Need> {
        let parts: Vec<&str> = task.split('.').collect();
        let [job, _, step, index] = parts.as_slice() else { return None };
        let jobs = lock(&self.0);
        let step = jobs.get(*job)?.get(step.parse::<usize>().ok()?)?;
        (index.parse::<u32>().ok()? < step.count).then(|| step.need.clone())
    }
}
