//! Ends of runs that executors report, also of runs that were closed before.
//!
//! An executor that was out of reach may report that a run was done which its owner closed when
//! the leases there had ended. Whether the run is open does not matter for what it has done. No
//! memory of closed runs is needed, as the recorded number of the task's latest run tells that the
//! run was placed; so the end counts after a takeover too.

use sycamorerill_core::clock::Time;

use super::Shard;
use super::message::{Closing, Command, Decision, Order};
use crate::executor::{EndReason, RunEnd};
use crate::id::ExecutorId;

impl Shard {
    /// Handles the end of a run that an executor reports.
    pub(super) fn handle_end(&mut self, now: Time, id: &ExecutorId, ended: &RunEnd) {
        self.learn_from_end(now, id, ended);
        let Some(entry) = self.jobs.get_mut(&ended.task.step.job) else {
            return;
        };
        let Some(task) = entry.task_mut(&ended.task) else {
            return;
        };
        let known = task.open_runs.iter().any(|o| o.run == ended.run && o.executor == *id);
        if !known {
            self.handle_end_of_closed_run(now, id, ended);
            return;
        }
        task.set_checkpoint(&ended.checkpoint);
        self.close(now, &ended.task, ended.run, Closing::Ended(ended.reason));
    }

    /// Handles the end of a run that is not open at the executor that reports it, as after leases
    /// that ended while the executor was out of reach.
    ///
    /// The task is done if the run was: it must not start again after the end is acknowledged. Runs
    /// that were placed since are stopped.
    fn handle_end_of_closed_run(&mut self, now: Time, id: &ExecutorId, ended: &RunEnd) {
        let task = self.jobs.get(&ended.task.step.job).and_then(|entry| entry.task(&ended.task));
        let was_placed = task.is_some_and(|task| !task.done && ended.run.0 <= task.run);
        if !was_placed || ended.reason != EndReason::Done {
            return;
        }
        let order = Order { executor: id.clone(), task: ended.task, run: ended.run };
        let knowledge = self.knowledge_of_closed(now, id);
        let by = Closing::Ended(ended.reason);
        self.out.push(Command::Log(Decision::Closed { order, by, knowledge }));
        self.mark_changed(&ended.task);
        self.task_done(now, &ended.task, ended.run, id);
        self.remove_finished_occurrence(ended.task.step.job, ended.task.step.occurrence);
    }
}
