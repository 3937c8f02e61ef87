//! Filling runs that are held back where they are, and go on elsewhere.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Open, Stage, Stop};
use super::fleet::There;
use crate::id::{ExecutorId, Run, TaskId};

/// Pace from which down a run counts as held back, in percent.
const HELD_BACK: u32 = 45;
/// Time that a run is held back before it is moved.
const PATIENCE: Span = Span::from_ms(600);
/// Progress in percent from which on a run is left where it is.
const NEARLY_DONE: u32 = 80;
/// Highest run that is moved: each move costs a stop and a restore.
const MOST_RUN: u32 = 5;
/// Most runs that are moved in one tick.
const MOVES: usize = 3;
/// Least score of a place that is worth a move.
const WORTH: f64 = 0.5;

impl Shard {
    /// Stops filling runs that are held back and save their progress, where there is a
    /// better place for them.
    pub(super) fn relocate(&mut self, now: Time) {
        let held: Vec<(ExecutorId, TaskId, Run)> = self.held_back(now);
        let mut moved = 0;
        for (id, task, run) in held {
            if moved == MOVES {
                return;
            }
            if !self.has_better(now, &id, &task) {
                continue;
            }
            moved += 1;
            let found = self.jobs.get_mut(&task.step.job).and_then(|entry| entry.task_mut(&task));
            if let Some(found) = found {
                found.avoid = Some(id);
            }
            self.want_stop(now, &task, run);
        }
    }

    fn held_back(&self, now: Time) -> Vec<(ExecutorId, TaskId, Run)> {
        let mut held = Vec::new();
        for (id, executor) in &self.executors {
            if executor.fills.is_empty() || executor.servings.is_empty() {
                continue;
            }
            for There { task, entry, step, open } in self.runs_at(executor) {
                let movable = step.filling && step.saves && !step.gang && entry.is_active();
                if movable && is_held(open, now) {
                    held.push((id.clone(), task, open.run));
                }
            }
        }
        held
    }

    /// Reports whether a task would do well at another executor.
    fn has_better(&mut self, now: Time, id: &ExecutorId, task: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(service) = self.config.queues.get(&entry.queue).map(|q| q.service.clone()) else {
            return false;
        };
        let job = Arc::clone(&entry.job);
        let step = &job.steps[task.step.step as usize];
        let need = self.need(now, task.step, step, &service);
        self.executors
            .iter()
            .filter(|(other, _)| *other != id)
            .any(|(_, executor)| self.score(now, &need, executor).is_some_and(|s| s > WORTH))
    }
}

fn is_held(open: &Open, now: Time) -> bool {
    matches!(open.stage, Stage::Running { .. })
        && open.stop == Stop::No
        && open.percent <= HELD_BACK
        && open.held.is_some_and(|since| now.since(since) >= PATIENCE)
        && open.progress.0 < NEARLY_DONE
        && open.run.0 < MOST_RUN
}

impl Open {
    /// Takes the pace that is ordered, in percent.
    pub(super) fn set_pace(&mut self, now: Time, percent: u32) {
        self.percent = percent;
        self.held = (percent <= HELD_BACK).then(|| self.held.unwrap_or(now));
    }
}
