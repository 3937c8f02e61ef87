//! Failed attempts and the quarantine of workers that fail every task.

use sycamorerill_core::clock::Time;

use super::timer::TimerAction;
use super::{Cell, Command, Decision, key};
use crate::life::Input;
use crate::worker::{Fault, TaskReport};

/// At most one in this many workers may be in quarantine at a time, but always at least one.
const WORKERS_PER_QUARANTINE: usize = 3;

impl Cell {
    /// Records a failed attempt; returns the input for the state machine of the task.
    pub(super) fn task_failed(
        &mut self,
        now: Time,
        worker: key::Worker,
        key: key::Task,
        task_report: &TaskReport,
        fault: Fault,
        out: &mut Vec<Command>,
    ) -> Input {
        self.counts.failed += 1;
        let Some(job) = self.jobs.entry(key.job()) else { return Input::Fault };
        let class = job.class;
        let most = self.classes.get(&class).map_or(1, |class| class.attempts.max(1));
        let may_quarantine = self.may_quarantine(now);
        let Some(entry) = self.workers.entry_mut(worker) else { return Input::Fault };
        let name = entry.name.clone();
        let cleared_tasks =
            self.failure_rates.failed(class, key, &mut entry.fault_evidence, may_quarantine, now);
        let until = entry.fault_evidence.quarantined_until();
        let Some(task) = self.jobs.task_mut(key) else { return Input::Fault };
        task.attempts += 1;
        task.last_failed_worker = Some(worker);
        if cleared_tasks.is_some() {
            self.counts.quarantined += 1;
            self.timer.set(until, TimerAction::CheckWorker(worker));
            self.quarantined.insert(worker);
            let worker = name.clone();
            out.push(Command::Decision(Decision::Quarantined { worker, until }));
        }
        for task in cleared_tasks.into_iter().flatten() {
            if let Some(task) = self.jobs.task_mut(task) {
                task.attempts = task.attempts.saturating_sub(1);
            }
        }
        let attempts = self.jobs.task(key).map_or(most, |task| task.attempts);
        let last = attempts >= most;
        let task = task_report.task.clone();
        out.push(Command::Decision(Decision::Failed { task, worker: name, fault, last }));
        if last { Input::Exhausted } else { Input::Fault }
    }

    /// Returns whether one more worker may be quarantined.
    fn may_quarantine(&mut self, now: Time) -> bool {
        let workers = &self.workers;
        self.quarantined.retain(|key| {
            workers.entry(*key).is_some_and(|entry| entry.fault_evidence.is_quarantined(now))
        });
        let limit = self.workers.len() / WORKERS_PER_QUARANTINE;
        self.quarantined.len() < limit.max(1)
    }
}
