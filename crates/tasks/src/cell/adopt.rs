//! Adoption of tasks that only their worker reports, and reports under superseded tokens.

use sycamorerill_core::clock::Time;
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Size;

use super::jobs::{Handover, Task};
use super::{Cell, key};
use crate::worker::{self, Assignment, Intent, Phase, TaskReport, Token};

impl Cell {
    /// Adds an assignment for a task that is known only from the report of its worker.
    ///
    /// Returns false if the report doesn't count, as its token is superseded, the job isn't
    /// durable or is being handed over, or the task is unknown or has ended.
    pub(super) fn adopt(
        &mut self,
        now: Time,
        worker: key::Worker,
        task_report: &TaskReport,
    ) -> bool {
        let Some(task_key) = self.jobs.find_task(&task_report.task) else { return false };
        let Some(job) = self.jobs.entry(task_key.job()) else { return false };
        let handing_over = job.handover != Handover::NotStarted;
        let Some(task) = self.jobs.task(task_key) else { return false };
        let last = match self.is_unsent(task) {
            true => task.previous_token,
            false => task.token,
        };
        let newest = last.is_none_or(|token| task_report.token >= token);
        if !newest || handing_over || task.state.is_final() || !job.durable {
            return false;
        }
        let (before, team) = (task.worker.zip(task.token), job.team);
        let size = if task_report.phase.is_inactive() { Size::ZERO } else { task_report.size };
        let intent = match task_report.phase {
            Phase::Throttled(share) => Intent::Run(share),
            Phase::Checkpointing => Intent::Checkpoint,
            _ => Intent::Run(Share::new(1.0)),
        };
        let assignment = Assignment {
            task: task_key,
            name: task_report.task.clone(),
            class: self.class_of(&task_report.class),
            team,
            class_name: task_report.class.clone(),
            attempt: task_report.attempt,
            size,
            cpu: size.cpu(),
            resume_from: None,
            first_exchange: 1,
            adopted: true,
            is_reserved: false,
            phase: None,
            first_reported_at: None,
            is_given_up: false,
            intent,
            command_sent: false,
            placed_at: now,
            usage: None,
            acknowledge_allowed: false,
        };
        if let Some((other, token)) = before {
            self.stop_superseded(other, token);
            self.withdraw_unsent(other, token);
        }
        self.dequeue_task(task_key);
        if let Some(task) = self.jobs.task_mut(task_key) {
            task.token = Some(task_report.token);
            task.worker = Some(worker);
        }
        self.add_assignment(now, worker, task_report.token, assignment);
        true
    }

    /// Returns whether the last placement of a task has not been sent yet.
    fn is_unsent(&self, task: &Task) -> bool {
        let placed = task.worker.zip(task.token);
        let assignment = placed.and_then(|(worker, token)| self.assignment_at(worker, token));
        assignment.is_some_and(|assignment| assignment.first_exchange == 0)
    }

    fn assignment_at(&self, worker: key::Worker, token: Token) -> Option<&Assignment> {
        self.workers.entry(worker)?.assignments.get(&token)
    }

    /// Removes a placement that was never sent.
    fn withdraw_unsent(&mut self, worker: key::Worker, token: Token) {
        if self.assignment_at(worker, token).is_none_or(|assignment| assignment.first_exchange != 0)
        {
            return;
        }
        self.release(worker, token);
        if let Some(entry) = self.workers.entry_mut(worker) {
            entry.assignments.remove(&token);
        }
    }

    /// Stops a placement that a newer one on another worker has superseded.
    fn stop_superseded(&mut self, worker: key::Worker, token: Token) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        if let Some(assignment) = entry.assignments.get_mut(&token) {
            assignment.intent = Intent::Stop;
            assignment.acknowledge_allowed = true;
            assignment.command_sent = false;
            self.pending_send.insert(worker);
        }
    }

    /// Stops a task under a superseded token, or acknowledges it if it is inactive.
    pub(super) fn answer_stale(&mut self, worker: key::Worker, task_report: &TaskReport) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let (task, token) = (task_report.task.clone(), task_report.token);
        entry.stale_commands.push(if task_report.phase.is_inactive() {
            worker::Command::Acknowledge { task, token }
        } else {
            entry.stale_reserved += task_report.size;
            worker::Command::Stop { task, token, checkpoint: false }
        });
    }
}
