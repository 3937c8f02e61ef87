//! Advances tasks over time.

use std::collections::BTreeMap;

use sycamorerill_clients::worker::{Checkpoint, Start, State};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::ClassName;

use super::model::TaskModel;
use super::task::Task;
use super::worker::Worker;

/// Longest step over which slowdowns are assumed constant.
const MAX_STEP: Span = Span::from_ms(250);
/// Shortest step; without it, rounding could keep the time from advancing.
const MIN_STEP: Span = Span::from_ms(1);

/// Way in which a task ended.
#[derive(Debug)]
pub(crate) enum Ending {
    Finished,
    Failed,
    LeaseLapsed,
    /// The progress, from 0 to 1, is to be stored under the key of the checkpoint.
    Checkpointed(Checkpoint, f64),
}

/// A task that has ended.
#[derive(Debug)]
pub(crate) struct EndedTask {
    pub(crate) start: Start,
    pub(crate) ending: Ending,
}

/// Advances the tasks of a worker to `now` and appends those that ended to `ended`.
pub(crate) fn advance(
    worker: &mut Worker,
    model: &mut TaskModel,
    now: Time,
    ended: &mut Vec<EndedTask>,
) {
    while worker.advanced_to < now {
        if !worker.tasks.values().any(Task::is_running) {
            worker.advanced_to = now;
            return;
        }
        let paused = worker.advanced_to < worker.paused_until;
        if !paused {
            update_slowdowns(worker, model);
        }
        let next = next_event_time(worker, now, paused);
        let elapsed = next.since(worker.advanced_to);
        worker.advanced_to = next;
        for task in worker.tasks.values_mut().filter(|task| task.is_running()) {
            if !paused {
                task.remaining_work_ms -= elapsed.as_ms_f64() * task.rate();
                task.record_sample(next, model.report_lag);
            }
            if !model.objects_up {
                postpone_checkpoint(task, next);
            }
            end_if_due(task, next, paused, ended);
        }
    }
}

/// Computes the slowdown of each running task from contention and interference.
pub(crate) fn update_slowdowns(worker: &mut Worker, model: &mut TaskModel) {
    let cores = worker.size.cpu().as_cores().max(f64::MIN_POSITIVE);
    let mut by_class: BTreeMap<ClassName, f64> = BTreeMap::new();
    for task in worker.tasks.values().filter(|task| task.is_running()) {
        *by_class.entry(task.start.class.clone()).or_default() += task.cores() / cores;
    }
    let total_usage: f64 = by_class.values().sum();
    let contention = total_usage.max(1.0);
    for task in worker.tasks.values_mut().filter(|task| task.is_running()) {
        let own_usage = task.cores() / cores;
        if let Some(usage) = by_class.get_mut(&task.start.class) {
            *usage -= own_usage;
        }
        task.slowdown =
            contention * model.slowdown(&task.start.class, &by_class, worker.advanced_to);
        if let Some(usage) = by_class.get_mut(&task.start.class) {
            *usage += own_usage;
        }
    }
}

/// Returns the time of the next lease expiry, checkpoint, task end or end of a pause, but at most
/// `now` and at most [`MAX_STEP`] ahead.
fn next_event_time(worker: &Worker, now: Time, paused: bool) -> Time {
    let mut next = now.min(worker.advanced_to + MAX_STEP);
    if paused {
        next = next.min(worker.paused_until);
    }
    for task in worker.tasks.values().filter(|task| task.is_running()) {
        next = next.min(task.lease_until);
        if paused {
            continue;
        }
        if let Some(due) = task.checkpoint_due {
            next = next.min(due);
        }
        if task.rate() > 0.0 && task.remaining_work_ms.is_finite() {
            next = next
                .min(worker.advanced_to + Span::from_ms_f64(task.remaining_work_ms / task.rate()));
        }
    }
    next.max(worker.advanced_to + MIN_STEP).min(now)
}

/// Postpones a due checkpoint because the object store is unavailable.
fn postpone_checkpoint(task: &mut Task, now: Time) {
    if task.checkpoint_due.is_some_and(|due| due <= now) {
        task.checkpoint_due = Some(now + MAX_STEP);
    }
}

/// Ends a task whose lease has lapsed, whose checkpoint is complete or whose work is done.
fn end_if_due(task: &mut Task, now: Time, paused: bool, ended: &mut Vec<EndedTask>) {
    let ending = if task.lease_until <= now {
        task.end(now, State::LeaseLapsed);
        Ending::LeaseLapsed
    } else if paused {
        return;
    } else if task.checkpoint_due.is_some_and(|due| due <= now) {
        let checkpoint = checkpoint_key(task);
        task.end(now, State::Checkpointed { checkpoint: checkpoint.clone() });
        Ending::Checkpointed(checkpoint, task.progress())
    } else if task.remaining_work_ms <= 0.0 {
        finish(task, now)
    } else {
        return;
    };
    ended.push(EndedTask { start: task.start.clone(), ending });
}

fn finish(task: &mut Task, now: Time) -> Ending {
    match task.failure.take() {
        Some(reason) => {
            task.end(now, State::Failed { reason });
            Ending::Failed
        }
        None => {
            task.end(now, State::Finished);
            Ending::Finished
        }
    }
}

/// Returns the object key of the checkpoint of a task.
fn checkpoint_key(task: &Task) -> Checkpoint {
    Checkpoint::new(format!("checkpoints/{}/{}", task.start.task, task.start.token))
}
