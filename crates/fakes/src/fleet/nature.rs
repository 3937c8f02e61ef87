//! What is true of tasks and hidden from the scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;

use sycamorerill_clients::worker::Start;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{ClassName, JobName, TaskName};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use crate::chance;
use crate::settings::Settings;

/// How far a true size or run time may be from the declared one, either way.
const MAX_ERROR: f64 = 5.0;
/// Ratio of p99 to median between tasks of one class.
const TASK_SPREAD: f64 = 1.3;
/// Part of the worker's processors that one class must use to slow another down by its coefficient.
const COEFFICIENT_SCALE: f64 = 1.5;
/// Period of the slow shift of interference.
const SHIFT_PERIOD_MS: f64 = 60_000.0;
/// Part of the interference that shifts.
const SHIFT_PART: f64 = 0.5;

/// What is true of one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Truth {
    /// Size that the task uses.
    pub(crate) size: Size,
    /// Time that the task runs when alone and not throttled, in milliseconds.
    pub(crate) work_ms: f64,
}

/// What is true of all tasks, drawn from a seed.
#[derive(Debug)]
pub(crate) struct Nature {
    seed: u64,
    origin: Time,
    speedup: f64,
    size_error: f64,
    time_error: f64,
    interference: f64,
    pub(crate) report_lag: Span,
    pub(crate) leave_grace: Span,
    pub(crate) checkpoint_time: Span,
    pub(crate) failing_jobs: BTreeSet<JobName>,
    /// Whether the object store can be reached from the workers.
    pub(crate) objects_up: bool,
    pairs: BTreeMap<ClassName, BTreeMap<ClassName, Pair>>,
}

/// How much one class slows another down.
#[derive(Clone, Copy, Debug)]
struct Pair {
    coefficient: f64,
    phase: f64,
}

impl Nature {
    pub(crate) fn new(settings: &Settings, origin: Time) -> Self {
        Self {
            seed: settings.seed,
            origin,
            speedup: settings.speedup.max(f64::MIN_POSITIVE),
            size_error: settings.size_error,
            time_error: settings.time_error,
            interference: settings.interference,
            report_lag: settings.report_lag,
            leave_grace: settings.leave_grace,
            checkpoint_time: settings.checkpoint_time,
            failing_jobs: BTreeSet::new(),
            objects_up: true,
            pairs: BTreeMap::new(),
        }
    }

    /// Returns what is true of a task.
    pub(crate) fn truth(&self, start: &Start) -> Truth {
        let class = start.class.as_str();
        let task = start.task.as_str();
        let cpu = self.error("cpu", class, task, self.size_error);
        let memory = self.error("memory", class, task, self.size_error);
        let time = self.error("time", class, task, self.time_error);
        let declared = start.declared;
        let size = Size::new(
            Cpu((declared.cpu().0 as f64 * cpu) as u64),
            Memory((declared.memory().0 as f64 * memory) as u64),
            Accel(declared.accel().0),
        );
        let work_ms = if start.service {
            f64::INFINITY
        } else {
            start.run_time.as_ms_f64() * time / self.speedup
        };
        Truth { size, work_ms }
    }

    /// Reports whether the task fails on every worker.
    pub(crate) fn always_fails(&self, task: &TaskName) -> bool {
        let job = task.as_str().rsplit_once('/').map_or(task.as_str(), |(job, _)| job);
        self.failing_jobs.iter().any(|name| name.as_str() == job)
    }

    /// Returns how many times slower `class` runs next to the given use of processors.
    pub(crate) fn slowdown(
        &mut self,
        class: &ClassName,
        next_to: &BTreeMap<ClassName, f64>,
        now: Time,
    ) -> f64 {
        let mut slowdown = 1.0;
        for (other, part) in next_to {
            let pair = self.pair(class, other);
            let angle = now.since(self.origin).as_ms_f64() / SHIFT_PERIOD_MS * TAU + pair.phase;
            let shift = 1.0 + SHIFT_PART * angle.sin();
            slowdown += self.interference * pair.coefficient * shift * part;
        }
        slowdown
    }

    fn error(&self, what: &str, class: &str, task: &str, spread: f64) -> f64 {
        if spread <= 1.0 {
            return 1.0;
        }
        let of_class = chance::log_normal(&mut chance::of(self.seed, &[what, class]), spread);
        let of_task = chance::log_normal(&mut chance::of(self.seed, &[what, task]), TASK_SPREAD);
        (of_class * of_task).clamp(1.0 / MAX_ERROR, MAX_ERROR)
    }

    fn pair(&mut self, class: &ClassName, other: &ClassName) -> Pair {
        if let Some(pair) = self.pairs.get(class).and_then(|row| row.get(other)) {
            return *pair;
        }
        let mut rng = chance::of(self.seed, &["pair", class.as_str(), other.as_str()]);
        let drawn = rng.f64();
        let coefficient = COEFFICIENT_SCALE * drawn * drawn * drawn;
        let pair = Pair { coefficient, phase: TAU * rng.f64() };
        self.pairs.entry(class.clone()).or_default().insert(other.clone(), pair);
        pair
    }
}
