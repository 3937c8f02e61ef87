//! Actual sizes, run times and interference of tasks, of which the scheduler knows only the
//! declared values and the reports.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;

use sycamorerill_clients::worker::Start;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{ClassName, JobName, TaskName};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use crate::random;
use crate::settings::Settings;

/// Largest factor between an actual and a declared size or run time, in either direction.
const MAX_ERROR_FACTOR: f64 = 5.0;
/// Ratio of p99 to median of the error factors of tasks within a class.
const TASK_P99_RATIO: f64 = 1.3;
/// Upper bound of an interference coefficient.
///
/// A coefficient is the slowdown that a class adds to another one when it uses all processors of
/// the worker. The cube of a uniform draw makes most coefficients small.
const MAX_COEFFICIENT: f64 = 1.5;
/// Period of the sine wave that varies the interference over time.
const SHIFT_PERIOD_MS: f64 = 60_000.0;
/// Amplitude of the sine wave, as a fraction of the interference.
const SHIFT_AMPLITUDE: f64 = 0.5;

/// Actual resource use of one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActualDemand {
    /// Resources that the task uses when not throttled.
    pub(crate) size: Size,
    /// Run time when alone on a worker and not throttled, in milliseconds; infinite for services.
    pub(crate) work_ms: f64,
}

/// Derives the actual behavior of all tasks from the seed and their names.
#[derive(Debug)]
pub(crate) struct TaskModel {
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
    interference_by_pair: BTreeMap<ClassName, BTreeMap<ClassName, Interference>>,
}

/// Slowdown of one class by another.
#[derive(Clone, Copy, Debug)]
struct Interference {
    coefficient: f64,
    phase: f64,
}

impl TaskModel {
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
            interference_by_pair: BTreeMap::new(),
        }
    }

    /// Returns the actual resource use of a task.
    pub(crate) fn actual_demand(&self, start: &Start) -> ActualDemand {
        let class = start.class.as_str();
        let task = start.task.as_str();
        let cpu = self.error_factor("cpu", class, task, self.size_error);
        let memory = self.error_factor("memory", class, task, self.size_error);
        let time = self.error_factor("time", class, task, self.time_error);
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
        ActualDemand { size, work_ms }
    }

    /// Returns whether the task fails on every worker.
    pub(crate) fn always_fails(&self, task: &TaskName) -> bool {
        let job = task.as_str().rsplit_once('/').map_or(task.as_str(), |(job, _)| job);
        self.failing_jobs.iter().any(|name| name.as_str() == job)
    }

    /// Returns the factor by which `class` is slowed down by other tasks on the worker.
    ///
    /// `other_usage` holds the fraction of the worker's processors that each class uses.
    pub(crate) fn slowdown(
        &mut self,
        class: &ClassName,
        other_usage: &BTreeMap<ClassName, f64>,
        now: Time,
    ) -> f64 {
        let mut slowdown = 1.0;
        for (other, usage) in other_usage {
            let interference = self.interference_between(class, other);
            let angle =
                now.since(self.origin).as_ms_f64() / SHIFT_PERIOD_MS * TAU + interference.phase;
            let shift = 1.0 + SHIFT_AMPLITUDE * angle.sin();
            slowdown += self.interference * interference.coefficient * shift * usage;
        }
        slowdown
    }

    /// Returns the ratio of an actual to a declared value: a factor of the class times one of the
    /// task.
    fn error_factor(&self, quantity: &str, class: &str, task: &str, p99_ratio: f64) -> f64 {
        if p99_ratio <= 1.0 {
            return 1.0;
        }
        let class_factor =
            random::log_normal(&mut random::seeded_rng(self.seed, &[quantity, class]), p99_ratio);
        let task_factor = random::log_normal(
            &mut random::seeded_rng(self.seed, &[quantity, task]),
            TASK_P99_RATIO,
        );
        (class_factor * task_factor).clamp(1.0 / MAX_ERROR_FACTOR, MAX_ERROR_FACTOR)
    }

    fn interference_between(&mut self, class: &ClassName, other: &ClassName) -> Interference {
        if let Some(interference) =
            self.interference_by_pair.get(class).and_then(|row| row.get(other))
        {
            return *interference;
        }
        let mut rng = random::seeded_rng(self.seed, &["pair", class.as_str(), other.as_str()]);
        let uniform = rng.f64();
        let coefficient = MAX_COEFFICIENT * uniform * uniform * uniform;
        let interference = Interference { coefficient, phase: TAU * rng.f64() };
        self.interference_by_pair
            .entry(class.clone())
            .or_default()
            .insert(other.clone(), interference);
        interference
    }
}
