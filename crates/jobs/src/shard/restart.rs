//! Restarts of executors under their names, and other executors at their addresses.
//!
//! An executor that restarts may accept a start before its restart is known, so a run that it has
//! confirmed may belong to either incarnation. Only a report of the new one tells: it lists all
//! runs that it was started with.

use std::net::SocketAddr;

use sycamorerill_core::clock::Time;

use super::entry::{OpenRun, Stage, Stop};
use super::executors::Executor;
use super::message::{Closing, Command, Decision, Order};
use super::{Shard, crash};
use crate::executor::{Incarnation, Steady};
use crate::id::{ExecutorId, Run, TaskId};

impl Executor {
    /// Resets the state for a new incarnation, which numbers run ends from 1.
    ///
    /// It takes no work until it has answered a probe: it has seen no epoch yet.
    fn begin_incarnation(&mut self, now: Time, incarnation: Incarnation, clock: Steady) {
        self.registration.incarnation = incarnation;
        self.clock = (clock, now);
        self.confirmed = false;
        self.ends_processed = 0;
        self.ends_recorded = 0;
        self.ends_acknowledged = 0;
        self.probe_acknowledges = 0;
        // A probe in flight was sent to the previous incarnation; its outcome is ignored.
        self.latest_probe += 1;
        self.probe_sent = None;
        self.probe_after = now;
        self.unreachable_since = None;
        self.last_answer_before_restart = self.last_answer;
        self.tails.clear();
    }

    /// Returns when the executor last answered in the incarnation of a run.
    pub(super) fn last_answer_to(&self, open: &OpenRun) -> Time {
        match open.incarnation < self.registration.incarnation {
            true => self.last_answer_before_restart,
            false => self.last_answer,
        }
    }
}

impl Shard {
    /// Handles the start of a new incarnation of an executor.
    ///
    /// Runs that the executor has confirmed stay open until the new incarnation reports. An order
    /// that was not answered may still reach it, so its run stays open until a stop is answered
    /// there.
    pub(super) fn handle_restart(
        &mut self,
        now: Time,
        id: &ExecutorId,
        incarnation: Incarnation,
        clock: Steady,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.begin_incarnation(now, incarnation, clock);
        let address = executor.registration.address;
        let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
        self.attribute_lapsed(now, id, incarnation, address);
        self.out.push(Command::Log(Decision::Restarted(id.clone(), incarnation)));
        let mut pending = false;
        for task in open {
            pending |= self.stop_unanswered(now, id, &task);
        }
        let max_lease = self.settings.max_lease;
        if !pending && let Some(executor) = self.executors.get_mut(id) {
            // Deadlines by the clock of the previous incarnation may have reached the new one.
            executor.deadline = Steady(executor.clock(now).0 + max_lease.as_ms());
        }
        self.probe_candidates.insert(id.clone());
        self.placement_due = true;
    }

    /// Requests a stop of the runs of a task whose orders were not answered before a restart of
    /// the executor. Returns whether there are any, or any of a predecessor, about which the first
    /// report under the current epoch decides.
    fn stop_unanswered(&mut self, now: Time, id: &ExecutorId, task: &TaskId) -> bool {
        let Some(found) = self.jobs.get_mut(&task.step.job).and_then(|e| e.task_mut(task)) else {
            return false;
        };
        let mut pending = false;
        let mut unanswered = None;
        for open in found.open_runs.iter_mut().filter(|open| open.executor == *id) {
            pending |= open.stage == Stage::Inherited;
            if !matches!(open.stage, Stage::Sent | Stage::Unknown) {
                continue;
            }
            pending = true;
            if open.stop == Stop::NotRequested {
                unanswered = Some(open.run);
            }
            open.stop = Stop::Requested;
        }
        if let Some(run) = unanswered {
            let order = Order { executor: id.clone(), task: *task, run };
            self.record_crash(now, &order, crash::Involvement::MayHaveStarted);
        }
        pending
    }

    /// Handles the answer of another executor that has taken over `address`. The runs that were
    /// sent there are over, and the other executor refuses orders that arrive late.
    pub(super) fn handle_replacement(&mut self, now: Time, id: &ExecutorId, address: SocketAddr) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.registration.address == address {
            executor.present = false;
        }
        let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
        for task in open {
            for run in self.runs_sent_to(id, &task, address) {
                self.close(now, &task, run, Closing::Gone);
            }
        }
    }

    /// Returns the runs of a task that were sent to an executor at `address`.
    fn runs_sent_to(&self, id: &ExecutorId, task: &TaskId, address: SocketAddr) -> Vec<Run> {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        let runs = found.into_iter().flat_map(|found| &found.open_runs);
        runs.filter(|open| open.executor == *id && open.stage != Stage::Recording)
            .filter(|open| open.address.is_none_or(|recorded| recorded == address))
            .map(|open| open.run)
            .collect()
    }
}
