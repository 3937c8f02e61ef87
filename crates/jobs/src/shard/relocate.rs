//! Relocation of best-effort runs that are throttled.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{OpenRun, Stage, Stop};
use super::executors::PlacedRun;
use crate::id::{ExecutorId, Run, TaskId};

/// Limit, in percent, at or below which a run counts as throttled.
const THROTTLED_PERCENT: u32 = 45;
/// Time for which a run must have been throttled before it is moved.
const MIN_THROTTLED: Span = Span::from_ms(600);
/// Progress, in percent, from which on a run is not moved.
const MAX_PROGRESS_PERCENT: u32 = 80;
/// Run number from which on a run is not moved: each move costs a stop and a restore.
const MAX_RUN: u32 = 5;
/// Maximum number of runs that are moved in one sweep.
const MAX_MOVES_PER_SWEEP: usize = 3;
/// Score that another executor must exceed for a move.
const MIN_SCORE: f64 = 0.5;

impl Shard {
    /// Stops each throttled best-effort run that saves checkpoints, so that it continues
    /// elsewhere, if the score of another executor exceeds `MIN_SCORE`.
    pub(super) fn relocate(&mut self, now: Time) {
        let throttled: Vec<(ExecutorId, TaskId, Run)> = self.throttled_runs(now);
        let mut moved = 0;
        for (id, task, run) in throttled {
            if moved == MAX_MOVES_PER_SWEEP {
                return;
            }
            if !self.has_suitable_executor(now, &id, &task) {
                continue;
            }
            moved += 1;
            let found = self.jobs.get_mut(&task.step.job).and_then(|entry| entry.task_mut(&task));
            if let Some(found) = found {
                found.avoided_executor = Some(id);
            }
            self.request_stop(now, &task, run);
        }
    }

    fn throttled_runs(&self, now: Time) -> Vec<(ExecutorId, TaskId, Run)> {
        let mut throttled = Vec::new();
        for (id, executor) in &self.executors {
            if executor.best_effort_cpu.is_empty() || executor.latency_critical_cpu.is_empty() {
                continue;
            }
            for PlacedRun { task, entry, step, open } in self.runs_on(executor) {
                let movable =
                    step.best_effort && step.checkpointing && !step.gang && entry.is_active();
                if movable && is_throttled(open, now) {
                    throttled.push((id.clone(), task, open.run));
                }
            }
        }
        throttled
    }

    /// Returns whether the score of another executor for the task exceeds `MIN_SCORE`.
    fn has_suitable_executor(&mut self, now: Time, id: &ExecutorId, task: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(service) = self.queue_of(entry).map(|q| q.service.clone()) else {
            return false;
        };
        let job = Arc::clone(&entry.job);
        let step = &job.steps[task.step.step as usize];
        let request = self.request(now, task.step, step, &service);
        self.executors
            .iter()
            .filter(|(other, _)| *other != id)
            .any(|(_, executor)| self.score(now, &request, executor).is_some_and(|s| s > MIN_SCORE))
    }
}

fn is_throttled(open: &OpenRun, now: Time) -> bool {
    matches!(open.stage, Stage::Running { .. })
        && open.stop == Stop::NotRequested
        && open.limit.is_answered()
        && open.limit.percent() <= THROTTLED_PERCENT
        && open.throttled_since.is_some_and(|since| now.since(since) >= MIN_THROTTLED)
        && open.progress.0 < MAX_PROGRESS_PERCENT
        && open.run.0 < MAX_RUN
}

impl OpenRun {
    /// Records the limit that is ordered, in percent, and since when the run counts as
    /// throttled.
    pub(super) fn set_limit(&mut self, now: Time, percent: u32) {
        self.limit.order(now, percent);
        self.throttled_since =
            (percent <= THROTTLED_PERCENT).then(|| self.throttled_since.unwrap_or(now));
    }
}
