//! Filling tasks beside serving ones: how far they are let work.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::fleet::Executor;
use super::message::{Command, Note, Order};
use crate::executor::{Answer, Running};
use crate::id::{ExecutorId, Run, TaskId};

/// Tail over objective above which filling tasks are slowed at once.
const HIGH: f64 = 0.9;
/// Tail over objective below which filling tasks are let on.
const LOW: f64 = 0.7;
/// Factor on the share of filling tasks when a tail is high.
const SLOWER: f64 = 0.5;
/// Share below which a filling task stands still, in percent.
const LEAST_PERCENT: u32 = 10;
/// Share by which filling tasks are let on, in percent.
const FASTER: u32 = 20;
/// Time between two steps up.
const UP_EVERY: Span = Span::from_ms(700);
/// Time between two steps down: the tail is over the last half second.
const DOWN_EVERY: Span = Span::from_ms(600);
/// Harm of one serving task beside a filling one, as a share of its work.
const HARM_PER_SERVING: f64 = 0.02;
/// Harm where a serving task is near its objective already.
const HARM_NEAR_OBJECTIVE: f64 = 0.4;

/// The latest tail of a serving task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tail {
    /// Tail over objective.
    pub(super) ratio: f64,
}

/// When filling tasks at an executor were last slowed or let on.
#[derive(Clone, Debug, Default)]
pub(super) struct Learned {
    stepped: BTreeMap<ExecutorId, Time>,
}

impl Shard {
    /// Takes what the tasks at an executor use and how their users fare.
    pub(super) fn observe(&mut self, now: Time, id: &ExecutorId, running: &[Running]) {
        for row in running {
            let objective = self
                .jobs
                .get(&row.task.step.job)
                .and_then(|entry| entry.job.steps.get(row.task.step.step as usize)?.objective_ms);
            let (Some(objective), Some(tail)) = (objective, row.load) else {
                continue;
            };
            let Some(executor) = self.executors.get_mut(id) else {
                return;
            };
            let ratio = tail as f64 / objective.max(1) as f64;
            executor.tails.insert(row.task, Tail { ratio });
        }
        self.pace(now, id);
    }

    /// Slows filling tasks beside a serving one near its objective, or lets them on.
    fn pace(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        if executor.filling == 0 {
            return;
        }
        let worst = executor.worst_tail();
        let since = self.learned.stepped.get(id).map_or(Span::MAX, |at| now.since(*at));
        let down = worst > HIGH && since >= DOWN_EVERY;
        let up = worst < LOW && since >= UP_EVERY;
        if !down && !up {
            return;
        }
        let mut orders = Vec::new();
        for task in &executor.open {
            let Some(entry) = self.jobs.get(&task.step.job) else {
                continue;
            };
            if !entry.job.steps[task.step.step as usize].filling {
                continue;
            }
            let Some(found) = entry.task(task) else {
                continue;
            };
            for open in found.open.iter().filter(|open| open.executor == *id) {
                let percent = if down { slower(open.percent) } else { faster(open.percent) };
                if percent != open.percent {
                    orders.push((*task, open.run, percent));
                }
            }
        }
        if !orders.is_empty() {
            self.learned.stepped.insert(id.clone(), now);
        }
        for (task, run, percent) in orders {
            self.order_pace(id, task, run, percent);
        }
    }

    fn order_pace(&mut self, id: &ExecutorId, task: TaskId, run: Run, percent: u32) {
        let order = Order { executor: id.clone(), task, run };
        let Some(address) = self.executors.get(id).map(|executor| executor.listed.address) else {
            return;
        };
        if let Some(open) = self.open_mut(&order) {
            open.percent = percent;
        }
        self.out.push(Command::Log(Note::Paced { order: order.clone(), percent }));
        self.out.push(Command::Pace { order, address, percent });
    }

    /// Takes the outcome of an order to pace.
    pub(super) fn was_paced(&mut self, now: Time, order: &Order, percent: u32, answer: Answer) {
        self.heard_answer(now, &order.executor, answer);
        if matches!(answer, Answer::Done(_)) {
            return;
        }
        // Not known to be in force: the next step starts from the other end.
        if let Some(open) = self.open_mut(order)
            && open.percent == percent
        {
            open.percent = if percent == 100 { LEAST_PERCENT } else { 100 };
            self.learned.stepped.remove(&order.executor);
        }
    }

    /// Returns the harm that a filling task would do at an executor.
    pub(super) fn harm(&self, executor: &Executor) -> f64 {
        let near = executor.worst_tail() > LOW;
        let near = if near { HARM_NEAR_OBJECTIVE } else { 0.0 };
        HARM_PER_SERVING * executor.tails.len() as f64 + near
    }

    /// Reconsiders executors where filling tasks are slowed and none is looked at.
    pub(super) fn relieve(&mut self, now: Time) {
        self.learned.stepped.retain(|_, at| now.since(*at) < UP_EVERY.times(10));
    }
}

impl Executor {
    /// Returns the worst tail over objective of the serving tasks there.
    fn worst_tail(&self) -> f64 {
        self.tails.values().map(|tail| tail.ratio).fold(0.0, f64::max)
    }
}

fn slower(percent: u32) -> u32 {
    let percent = (f64::from(percent) * SLOWER) as u32;
    if percent < LEAST_PERCENT { 0 } else { percent }
}

fn faster(percent: u32) -> u32 {
    (percent + FASTER).min(100)
}
