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
use super::{Settings, Shard, crash};
use crate::executor::{Incarnation, Steady};
use crate::id::{ExecutorId, Run, TaskId};

impl Executor {
    /// Resets the state for a new incarnation, which numbers run ends from 1.
    ///
    /// It takes no work until it has answered a probe: it has seen no epoch yet.
    fn begin_incarnation(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        clock: Steady,
        settings: &Settings,
    ) {
        self.registration.incarnation = incarnation;
        self.reset_clock(now, clock, settings);
        self.confirmed = false;
        self.reset_ends();
        // A probe in flight was sent to the previous incarnation; its outcome is ignored.
        self.latest_probe += 1;
        self.probe_sent = None;
        self.probe_after = now;
        self.unreachable_since = None;
        self.last_answer_before_restart = self.last_answer;
        self.restarted_at = now;
        self.inherited_restart |= !self.fenced;
        self.tails.clear();
    }

    fn reset_ends(&mut self) {
        self.ends_processed = 0;
        self.ends_recorded = 0;
        self.ends_acknowledged = 0;
        self.probe_acknowledges = 0;
    }

    /// Replaces the clock by a reading received at `now`, on which earlier deadlines mean nothing.
    fn reset_clock(&mut self, now: Time, clock: Steady, settings: &Settings) {
        if let Some(sent) = self.probe_sent {
            self.unanswered_until = self.unanswered_until.max(sent + settings.max_order_delay);
        }
        self.clock = (clock, now);
        self.clock_reset_at = now;
        self.deadline = Steady(0);
        self.extend_for_unanswered(now, settings);
    }

    /// Extends the bound on leases to the longest ones that deadlines of an earlier clock can cause.
    ///
    /// They may reach the executor until `unanswered_until`. It then grants its longest lease.
    fn extend_for_unanswered(&mut self, now: Time, settings: &Settings) {
        let longest = self.unanswered_until.since(now) + settings.max_lease;
        let end = Steady(self.clock(now).0.saturating_add(longest.as_ms()));
        self.deadline = self.deadline.max(end);
    }

    /// Records at `now` that an order or a probe that was sent at `sent` has no answer.
    pub(super) fn record_unanswered(&mut self, now: Time, sent: Time, settings: &Settings) {
        self.unanswered_until = self.unanswered_until.max(sent + settings.max_order_delay);
        if sent < self.clock_reset_at {
            self.extend_for_unanswered(now, settings);
        }
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
        let settings = self.settings;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.begin_incarnation(now, incarnation, clock, &settings);
        let address = executor.registration.address;
        let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
        self.attribute_lapsed(now, id, incarnation, address);
        self.out.push(Command::Log(Decision::Restarted(id.clone(), incarnation)));
        for task in open {
            self.stop_unanswered(now, id, &task);
        }
        self.probe_candidates.insert(id.clone());
        self.placement_due = true;
    }

    /// Requests a stop of the runs of a task whose orders were not answered before a restart of
    /// the executor.
    fn stop_unanswered(&mut self, now: Time, id: &ExecutorId, task: &TaskId) {
        let Some(found) = self.jobs.get_mut(&task.step.job).and_then(|e| e.task_mut(task)) else {
            return;
        };
        let mut unanswered = None;
        for open in found.open_runs.iter_mut().filter(|open| open.executor == *id) {
            if !matches!(open.stage, Stage::Sent | Stage::Unknown) {
                continue;
            }
            if open.stop == Stop::NotRequested {
                unanswered = Some(open.run);
            }
            open.stop = Stop::Requested;
        }
        if let Some(run) = unanswered {
            let order = Order { executor: id.clone(), task: *task, run };
            self.record_crash(now, &order, crash::Involvement::MayHaveStarted);
        }
    }

    /// Replaces the clock of an executor whose report contradicts earlier readings, as after an
    /// entry of another writer.
    pub(super) fn correct_clock(&mut self, now: Time, id: &ExecutorId, sent: Time, clock: Steady) {
        let settings = self.settings;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.shows_restart(sent, clock) || !executor.is_plausible(now, clock) {
            executor.reset_clock(now, clock, &settings);
        }
    }

    /// Handles a reading of an executor's clock in the answer to an order that was sent at `sent`.
    ///
    /// A clock that went back shows a restart before any report does. The next probe tells which
    /// runs the executor has.
    pub(super) fn check_clock(&mut self, now: Time, id: &ExecutorId, sent: Time, clock: Steady) {
        let settings = self.settings;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        // An answer without a clock counts as 0.
        if clock > Steady(0) && executor.shows_restart(sent, clock) {
            executor.reset_clock(now, clock, &settings);
            executor.reset_ends();
            executor.confirmed = false;
            // The outcome of a probe in flight is ignored, so that the next one is sent at once.
            executor.latest_probe += 1;
            executor.probe_sent = None;
            self.probe_candidates.insert(id.clone());
        }
    }

    /// Handles the answer of another executor that has taken over `address`. The runs that were
    /// sent there are over, and the other executor refuses orders that arrive late.
    pub(super) fn handle_replacement(&mut self, now: Time, id: &ExecutorId, address: SocketAddr) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.registration.address == address {
            executor.present = false;
            self.unschedulable.note_change();
        }
        let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
        for task in open {
            for run in self.runs_sent_to(id, &task, address) {
                self.close(now, &task, run, Closing::Replaced);
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
