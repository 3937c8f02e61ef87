//! How tasks go on with time.

use std::collections::BTreeMap;

use sycamorerill_clients::worker::{Checkpoint, Start, State};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::ClassName;

use super::nature::Nature;
use super::task::Task;
use super::worker::Worker;

/// Longest step in which the slowdown is taken as constant.
const MAX_STEP: Span = Span::from_ms(250);
/// Shortest step, so that rounding can't stall the clock.
const MIN_STEP: Span = Span::from_ms(1);

/// What became of a task.
#[derive(Debug)]
pub(crate) enum Ending {
    Finished,
    Failed,
    LeaseLapsed,
    /// The task's progress is to be kept under the key.
    Checkpointed(Checkpoint, f64),
}

/// A task that ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) start: Start,
    pub(crate) ending: Ending,
}

/// Carries the tasks of a worker on up to `now` and adds those that ended.
pub(crate) fn advance(worker: &mut Worker, nature: &mut Nature, now: Time, out: &mut Vec<Ended>) {
    while worker.at < now {
        if !worker.tasks.values().any(Task::runs) {
            worker.at = now;
            return;
        }
        let paused = worker.at < worker.paused_until;
        if !paused {
            slow_down(worker, nature);
        }
        let next = next_stop(worker, now, paused);
        let passed = next.since(worker.at);
        worker.at = next;
        for task in worker.tasks.values_mut().filter(|task| task.runs()) {
            if !paused {
                task.left_ms -= passed.as_ms_f64() * task.rate();
                task.sample(next, nature.report_lag);
            }
            if !nature.objects_up {
                put_off(task, next);
            }
            settle(task, next, paused, out);
        }
    }
}

/// Sets how much slower than alone each task runs.
pub(crate) fn slow_down(worker: &mut Worker, nature: &mut Nature) {
    let cores = worker.size.cpu().as_cores().max(f64::MIN_POSITIVE);
    let mut by_class: BTreeMap<ClassName, f64> = BTreeMap::new();
    for task in worker.tasks.values().filter(|task| task.runs()) {
        *by_class.entry(task.start.class.clone()).or_default() += task.cores() / cores;
    }
    let wanted: f64 = by_class.values().sum();
    let contention = wanted.max(1.0);
    for task in worker.tasks.values_mut().filter(|task| task.runs()) {
        let own = task.cores() / cores;
        if let Some(part) = by_class.get_mut(&task.start.class) {
            *part -= own;
        }
        task.slowdown = contention * nature.slowdown(&task.start.class, &by_class, worker.at);
        if let Some(part) = by_class.get_mut(&task.start.class) {
            *part += own;
        }
    }
}

/// Returns the instant at which something changes, at most `now`.
fn next_stop(worker: &Worker, now: Time, paused: bool) -> Time {
    let mut next = now.min(worker.at + MAX_STEP);
    if paused {
        next = next.min(worker.paused_until);
    }
    for task in worker.tasks.values().filter(|task| task.runs()) {
        next = next.min(task.lease_until);
        if paused {
            continue;
        }
        if let Some(due) = task.checkpoint_due {
            next = next.min(due);
        }
        if task.rate() > 0.0 && task.left_ms.is_finite() {
            next = next.min(worker.at + Span::from_ms_f64(task.left_ms / task.rate()));
        }
    }
    next.max(worker.at + MIN_STEP).min(now)
}

/// Puts a checkpoint off that can't be stored now.
fn put_off(task: &mut Task, now: Time) {
    if task.checkpoint_due.is_some_and(|due| due <= now) {
        task.checkpoint_due = Some(now + MAX_STEP);
    }
}

/// Ends a task whose time has come.
fn settle(task: &mut Task, now: Time, paused: bool, out: &mut Vec<Ended>) {
    let ending = if task.lease_until <= now {
        task.end(now, State::LeaseLapsed);
        Ending::LeaseLapsed
    } else if paused {
        return;
    } else if task.checkpoint_due.is_some_and(|due| due <= now) {
        let checkpoint = key(task);
        task.end(now, State::Checkpointed { checkpoint: checkpoint.clone() });
        Ending::Checkpointed(checkpoint, task.progress())
    } else if task.left_ms <= 0.0 {
        finish(task, now)
    } else {
        return;
    };
    out.push(Ended { start: task.start.clone(), ending });
}

fn finish(task: &mut Task, now: Time) -> Ending {
    match task.fails.take() {
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

/// Returns the key of the checkpoint of a placement.
fn key(task: &Task) -> Checkpoint {
    Checkpoint::new(format!("checkpoints/{}/{}", task.start.task, task.start.token))
}
