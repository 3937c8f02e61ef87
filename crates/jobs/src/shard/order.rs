//! Orders to start and stop runs, and their outcomes.

use sycamorerill_core::clock::Time;

use super::Shard;
use super::entry::{Stage, Stop};
use super::executors::{Executor, PlacedRun};
use super::message::{Closing, Command, Decision, Order};
use crate::executor::{Outcome, Refusal};
use crate::id::{ExecutorId, JobId, Run, TaskId};
use crate::spec::Resources;

impl Shard {
    /// Sends the order to start a run that is recorded, unless the executor may get no lease
    /// or its failure domain is evacuated.
    pub(super) fn send_start(&mut self, now: Time, task: &TaskId, run: Run) {
        let lease = self.settings.lease;
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let text = std::sync::Arc::clone(&entry.text);
        let Some(found) = entry.task_mut(task) else {
            return;
        };
        let checkpoint = (!found.checkpoint.is_empty()).then(|| found.checkpoint.clone());
        let Some(open) = found.open_run_mut(run) else {
            return;
        };
        let Some(executor) = self.executors.get_mut(&open.executor) else {
            return;
        };
        if !executor.may_extend_lease() || executor.is_evacuated {
            return;
        }
        if open.stage == Stage::Recording {
            open.first_sent = now;
        }
        open.stage = Stage::Sent;
        open.last_sent = now;
        let ticket = self.advice.get(&task.step).and_then(|advice| advice.ticket(now, executor));
        let ticket = ticket.cloned();
        let order = Order { executor: open.executor.clone(), task: *task, run };
        let deadline = executor.extend_lease(now, lease);
        let address = executor.registration.address;
        let incarnation = open.incarnation;
        self.probe_candidates.insert(order.executor.clone());
        self.out.push(Command::Start {
            order,
            address,
            incarnation,
            text,
            deadline,
            checkpoint,
            ticket,
        });
    }

    /// Handles the outcome of an order to start a run.
    pub(super) fn handle_start_outcome(&mut self, now: Time, order: &Order, outcome: Outcome) {
        self.record_outcome(now, &order.executor, outcome);
        let since_probe = self.next_probe(&order.executor);
        let Some(open) = self.open_run_mut(order) else {
            return;
        };
        let repeated = open.last_sent > open.first_sent;
        let sent = open.last_sent;
        match outcome {
            Outcome::Done(clock) => {
                if !matches!(open.stage, Stage::Running { .. }) {
                    open.confirm(now, since_probe);
                    open.progress = (0, now);
                }
                self.schedule_probe(&order.executor);
                self.check_clock(now, &order.executor, sent, clock);
            }
            Outcome::NotSent if !repeated && open.stop == Stop::NotRequested => {
                self.mark_unreachable(now, &order.executor);
                self.close(now, &order.task, order.run, Closing::NotSent);
            }
            Outcome::Unknown | Outcome::NotSent => {
                if open.stage == Stage::Sent {
                    open.stage = Stage::Unknown;
                }
                if outcome == Outcome::Unknown
                    && let Some(executor) = self.executors.get_mut(&order.executor)
                {
                    executor.record_unanswered(now, sent, &self.settings);
                }
            }
            Outcome::Refused(refusal, _) => {
                self.handle_start_refusal(now, order, refusal, repeated)
            }
        }
    }

    fn handle_start_refusal(&mut self, now: Time, order: &Order, refusal: Refusal, repeated: bool) {
        if refusal == Refusal::Unhealthy
            && let Some(executor) = self.executors.get_mut(&order.executor)
        {
            let pause = executor.health.refused(now);
            self.out.push(Command::Log(Decision::Quarantined(order.executor.clone(), pause)));
        }
        if refusal == Refusal::Ticket {
            self.remove_ticket(order.task.step, &order.executor);
        }
        if refusal == Refusal::Incarnation {
            self.handle_replaced_target(now, order);
            return;
        }
        let Some(open) = self.open_run_mut(order) else {
            return;
        };
        // An earlier order for the same run may still be carried out, so the run is stopped
        // first.
        if repeated && !matches!(refusal, Refusal::Old) {
            if open.stop == Stop::NotRequested {
                open.stop = Stop::Requested;
            }
            self.send_requested_stops(now, order.task.step.job);
            return;
        }
        match refusal {
            // The run has already ended there; a probe reports the end.
            Refusal::Old => {
                let since_probe = self.next_probe(&order.executor);
                if let Some(open) = self.open_run_mut(order) {
                    open.stage = Stage::Running { since_probe };
                }
                self.schedule_probe(&order.executor);
            }
            _ => self.close(now, &order.task, order.run, Closing::Refused(refusal)),
        }
    }

    /// Handles the refusal of an order by another executor at the address that it was sent to.
    fn handle_replaced_target(&mut self, now: Time, order: &Order) {
        let recorded = self.open_run_mut(order).and_then(|open| open.address);
        let listed = self.executors.get(&order.executor).map(|found| found.registration.address);
        if let Some(address) = recorded.or(listed) {
            self.handle_replacement(now, &order.executor, address);
        }
    }

    /// Handles the outcome of an order to stop a run.
    pub(super) fn handle_stop_outcome(&mut self, now: Time, order: &Order, outcome: Outcome) {
        self.record_outcome(now, &order.executor, outcome);
        let since_probe = self.next_probe(&order.executor);
        let Some(open) = self.open_run_mut(order) else {
            return;
        };
        match outcome {
            Outcome::Done(_) | Outcome::Refused(Refusal::Old, _) => {
                open.stop = Stop::Answered { since_probe };
                let is_running = matches!(open.stage, Stage::Running { .. });
                if let Some(executor) = self.executors.get_mut(&order.executor) {
                    executor.verify |= !is_running;
                }
                self.schedule_probe(&order.executor);
            }
            Outcome::Refused(Refusal::Incarnation, _) => self.handle_replaced_target(now, order),
            Outcome::Refused(..) | Outcome::NotSent | Outcome::Unknown => {}
        }
    }

    /// Repeats orders that were not answered in time, and stops runs that were not confirmed on
    /// executors whose failure domain is evacuated or whose capacity has shrunk.
    pub(super) fn retry_orders(&mut self, now: Time) {
        let pause = self.settings.order_retry;
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        let mut excess = Vec::new();
        let mut evacuated = Vec::new();
        for executor in self.executors.values() {
            let mut resources_kept = None;
            for PlacedRun { task, step, open, .. } in self.runs_on(executor) {
                let due = now.since(open.last_sent) >= pause;
                match (open.stop, open.stage) {
                    (Stop::Requested, Stage::Recording) => {}
                    (Stop::Requested, _) => stops.push((task, open.run)),
                    (Stop::Sent(at), _) if now.since(at) >= pause.saturating_mul(4) => {
                        stops.push((task, open.run));
                    }
                    (Stop::NotRequested, Stage::Unknown)
                        if due && executor.unreachable_since.is_none() =>
                    {
                        if executor.is_evacuated {
                            evacuated.push((task, open.run));
                            continue;
                        }
                        let kept =
                            resources_kept.get_or_insert_with(|| self.resources_kept(executor));
                        if !executor.registration.capacity.covers(kept) {
                            *kept = kept.saturating_sub(&step.reserved());
                            excess.push((task, open.run));
                        } else if !executor.is_overcommitted() {
                            starts.push((task, open.run));
                        }
                    }
                    _ => {}
                }
            }
        }
        for (task, run) in starts {
            self.send_start(now, &task, run);
        }
        for (task, run) in evacuated {
            self.stop_evacuated(now, &task, run);
        }
        for (task, run) in excess {
            self.request_stop(now, &task, run);
        }
        for (task, run) in stops {
            self.send_stop(now, &task, run);
        }
    }

    /// Returns the resources of the runs on an executor that are not to be stopped.
    fn resources_kept(&self, executor: &Executor) -> Resources {
        let kept = self.runs_on(executor).filter(|placed| placed.open.stop == Stop::NotRequested);
        kept.fold(Resources::default(), |sum, placed| sum.plus(&placed.step.reserved()))
    }

    /// Requests that a run be stopped; a run that is not recorded yet is closed at once.
    pub(super) fn request_stop(&mut self, now: Time, task: &TaskId, run: Run) {
        let found = self.jobs.get_mut(&task.step.job).and_then(|entry| entry.task_mut(task));
        let Some(open) = found.and_then(|found| found.open_run_mut(run)) else {
            return;
        };
        if open.stage == Stage::Recording {
            self.close(now, task, run, Closing::NotRecorded);
        } else if open.stop == Stop::NotRequested {
            open.stop = Stop::Requested;
            self.send_stop(now, task, run);
        }
    }

    /// Sends the orders to stop that are requested for runs of a job.
    pub(super) fn send_requested_stops(&mut self, now: Time, job: JobId) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let mut wanted = Vec::new();
        for (number, occurrence) in &entry.occurrences {
            for (index, step) in (0..).zip(&occurrence.steps) {
                let id = crate::id::StepId { job, occurrence: *number, step: index };
                for (task, found) in step.tasks.changed() {
                    let stops = found.open_runs.iter().filter(|open| open.stop == Stop::Requested);
                    wanted.extend(stops.map(|open| (id.task(task), open.run)));
                }
            }
        }
        for (task, run) in wanted {
            self.send_stop(now, &task, run);
        }
    }

    fn send_stop(&mut self, now: Time, task: &TaskId, run: Run) {
        let found = self.jobs.get_mut(&task.step.job).and_then(|entry| entry.task_mut(task));
        let Some(open) = found.and_then(|found| found.open_run_mut(run)) else {
            return;
        };
        let Some(executor) = self.executors.get(&open.executor) else {
            return;
        };
        open.stop = Stop::Sent(now);
        let order = Order { executor: open.executor.clone(), task: *task, run };
        self.out.push(Command::Stop { order, address: executor.registration.address });
    }

    /// Returns the open run that an order refers to.
    pub(super) fn open_run_mut(&mut self, order: &Order) -> Option<&mut super::entry::OpenRun> {
        let entry = self.jobs.get_mut(&order.task.step.job)?;
        entry.task_mut(&order.task)?.open_run_mut(order.run)
    }

    /// Updates the executor's clock from the outcome of an order or a probe, and marks the
    /// shard as superseded if the executor has seen a higher epoch.
    pub(super) fn record_outcome(&mut self, now: Time, id: &ExecutorId, outcome: Outcome) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if let Outcome::Done(clock) | Outcome::Refused(_, Some(clock)) = outcome {
            executor.update_clock(now, clock);
            executor.last_answer = now;
        }
        if matches!(outcome, Outcome::Refused(Refusal::Fence, _)) {
            self.superseded_by.get_or_insert_with(|| id.clone());
        }
    }

    /// Returns the number of the next probe of an executor.
    fn next_probe(&self, id: &ExecutorId) -> u64 {
        self.executors.get(id).map_or(0, |executor| executor.latest_probe + 1)
    }

    fn schedule_probe(&mut self, id: &ExecutorId) {
        self.probe_candidates.insert(id.clone());
    }

    /// Marks an executor as unreachable and schedules a probe of it.
    pub(super) fn mark_unreachable(&mut self, now: Time, id: &ExecutorId) {
        if let Some(executor) = self.executors.get_mut(id)
            && executor.unreachable_since.is_none()
        {
            executor.unreachable_since = Some(now);
            executor.probe_after = executor.probe_after.max(now + self.settings.probe_retry);
            self.probe_candidates.insert(id.clone());
            self.out.push(Command::Log(Decision::Unreachable(id.clone())));
        }
    }
}
