//! Handling of worker reports.

use std::collections::BTreeSet;

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::WorkerName;
use sycamorerill_core::size::Size;

use super::timer::TimerAction;
use super::writer::Effect;
use super::{Cell, Command, Decision, key};
use crate::journal::Entry;
use crate::life::{Input, State};
use crate::worker::{Freshness, Phase, Report, TaskReport, Token};

impl Cell {
    /// Handles a report of a worker.
    ///
    /// A report of a higher epoch supersedes the cell; one of a lower epoch or an outdated one
    /// is ignored.
    pub(super) fn handle_report(
        &mut self,
        now: Time,
        name: &WorkerName,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        if report.epoch > self.epoch {
            self.superseded = true;
            out.push(Command::Superseded(report.epoch));
            return;
        }
        let Some(key) = self.workers.find(name) else { return };
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let last_report_at = entry.session.last_report_at();
        if report.epoch != self.epoch || entry.session.receive(&report, now) == Freshness::Outdated
        {
            return;
        }
        entry.fenced = true;
        let incarnation = Some(report.at.incarnation());
        let previous = std::mem::replace(&mut entry.incarnation, incarnation);
        let restarted = previous != incarnation;
        entry.leases_lapsed = false;
        entry.size = report.size;
        entry.stale_commands.clear();
        entry.stale_reserved = Size::ZERO;
        if restarted {
            self.request_admission(key, out);
        }
        if restarted && previous.is_some() {
            self.attribute_crash(now, key, last_report_at, out);
        } else if let Some(entry) = self.workers.entry_mut(key) {
            // The worker was out of reach and has not crashed.
            entry.lapsed_starts.clear();
        }
        self.process_task_reports(now, key, &report, out);
        self.unfenced.remove(&key);
        self.refresh_worker(now, key);
        self.reconcile(now, out);
        self.handle_measurements(now, key, out);
        self.pending_send.insert(key);
        self.schedule_exchange(now, key);
    }

    /// Schedules the next exchange with a worker that has just reported.
    fn schedule_exchange(&mut self, now: Time, key: key::Worker) {
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let after = match entry.is_removing_task() {
            true => self.settings.removal_poll_interval,
            false => self.settings.heartbeat_interval,
        };
        let at = entry.session.renew_at().min(now + after);
        entry.session.set_renew_at(at);
        self.timer.set(at, TimerAction::CheckWorker(key));
    }

    /// Handles the tasks that a report lists and removes assignments that it no longer lists.
    fn process_task_reports(
        &mut self,
        now: Time,
        worker: key::Worker,
        report: &Report,
        out: &mut Vec<Command>,
    ) {
        let mut listed = BTreeSet::new();
        for task_report in &report.tasks {
            listed.insert(task_report.token);
            self.process_task_report(now, worker, task_report, out);
        }
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        entry.recompute_reserved();
        let answered = report.answers;
        let missing = entry.assignments.iter().filter(|(token, assignment)| {
            let sent = assignment.first_exchange != 0 && assignment.first_exchange <= answered;
            !listed.contains(token) && (assignment.phase.is_some() || sent)
        });
        let missing: Vec<Token> = missing.map(|(token, _)| *token).collect();
        for token in missing {
            self.remove_unlisted(now, worker, token, out);
        }
    }

    /// Removes an assignment that the worker no longer reports.
    fn remove_unlisted(
        &mut self,
        now: Time,
        worker: key::Worker,
        token: Token,
        out: &mut Vec<Command>,
    ) {
        self.release(worker, token);
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(assignment) = entry.assignments.remove(&token) else { return };
        if assignment.is_inactive() {
            return;
        }
        let input = match assignment.phase {
            _ if assignment.is_given_up => Input::Exhausted,
            Some(_) => Input::Lost,
            None => Input::Refused,
        };
        self.task_left_worker(now, assignment.task, token, input, out);
    }

    /// Handles one reported task: updates its assignment, adopts it, or answers it as stale.
    fn process_task_report(
        &mut self,
        now: Time,
        worker: key::Worker,
        task_report: &TaskReport,
        out: &mut Vec<Command>,
    ) {
        let known = self
            .workers
            .entry(worker)
            .is_some_and(|entry| entry.assignments.contains_key(&task_report.token));
        if !known && !self.adopt(now, worker, task_report) {
            self.counts.stale += 1;
            self.answer_stale(worker, task_report);
            return;
        }
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(assignment) = entry.assignments.get_mut(&task_report.token) else { return };
        assignment.usage.clone_from(&task_report.usage);
        let before = assignment.phase.replace(task_report.phase.clone());
        if before.is_none() && !assignment.adopted {
            assignment.first_reported_at = Some(now);
        }
        let (task, was_active) =
            (assignment.task, !before.as_ref().is_some_and(Phase::is_inactive));
        if before.as_ref() != Some(&task_report.phase) && was_active {
            assignment.command_sent = false;
            self.apply_phase(now, worker, task, task_report, out);
        }
    }

    /// Applies a changed phase of a task.
    fn apply_phase(
        &mut self,
        now: Time,
        worker: key::Worker,
        task: key::Task,
        task_report: &TaskReport,
        out: &mut Vec<Command>,
    ) {
        if task_report.phase.is_inactive() {
            self.release(worker, task_report.token);
        }
        let current =
            self.jobs.task(task).is_some_and(|task| task.token == Some(task_report.token));
        if !current {
            self.allow_acknowledge(worker, task_report.token);
            return;
        }
        match &task_report.phase {
            Phase::Running => self.apply_input(now, task, Input::Running),
            Phase::Throttled(_) => self.apply_input(now, task, Input::Throttled),
            Phase::Checkpointing => self.apply_input(now, task, Input::Checkpointing),
            Phase::Stopped => {
                self.task_ended_unrecorded(now, worker, task_report, task, Input::Stopped, out)
            }
            Phase::Lapsed => {
                self.task_ended_unrecorded(now, worker, task_report, task, Input::Lapsed, out)
            }
            Phase::Checkpointed(_) | Phase::Finished | Phase::Failed(_) => {
                self.apply_durable_phase(now, worker, task, task_report, out);
            }
        }
    }

    /// Handles a task that was stopped or whose lease lapsed, which needs no record.
    fn task_ended_unrecorded(
        &mut self,
        now: Time,
        worker: key::Worker,
        task_report: &TaskReport,
        task: key::Task,
        input: Input,
        out: &mut Vec<Command>,
    ) {
        self.allow_acknowledge(worker, task_report.token);
        self.task_left_worker(now, task, task_report.token, input, out);
    }

    /// Allows a task to be acknowledged once it is inactive.
    fn allow_acknowledge(&mut self, worker: key::Worker, token: Token) {
        if let Some(entry) = self.workers.entry_mut(worker)
            && let Some(assignment) = entry.assignments.get_mut(&token)
        {
            assignment.acknowledge_allowed = true;
            assignment.command_sent = false;
        }
    }

    /// Handles a phase that must be durable before the task is acknowledged.
    fn apply_durable_phase(
        &mut self,
        now: Time,
        worker: key::Worker,
        key: key::Task,
        task_report: &TaskReport,
        out: &mut Vec<Command>,
    ) {
        let is_final = self.jobs.task(key).is_none_or(|task| task.state.is_final());
        if is_final {
            self.allow_acknowledge(worker, task_report.token);
            return self.task_left_worker(now, key, task_report.token, Input::Stopped, out);
        }
        let input = match &task_report.phase {
            Phase::Checkpointed(checkpoint) => {
                if let Some(task) = self.jobs.task_mut(key) {
                    task.checkpoint = Some(checkpoint.clone());
                }
                Input::Checkpointed
            }
            Phase::Failed(fault) => self.task_failed(now, worker, key, task_report, *fault, out),
            _ => self.task_finished(now, worker, key, task_report, out),
        };
        self.journal_phase(worker, key, task_report.token, &task_report.phase, input, out);
        self.task_left_worker(now, key, task_report.token, input, out);
    }

    fn journal_phase(
        &mut self,
        worker: key::Worker,
        key: key::Task,
        token: Token,
        phase: &Phase,
        input: Input,
        out: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.entry(key.job()) else { return };
        let (job, task) = (job.job.name.clone(), key.index());
        let (count, crashes) =
            self.jobs.task(key).map_or((0, 0), |task| (task.attempts, task.crashes));
        let entry = match phase {
            Phase::Checkpointed(checkpoint) => {
                Entry::Checkpointed { job, task, checkpoint: checkpoint.clone() }
            }
            Phase::Failed(_) => {
                Entry::Attempts { job, task, count, crashes, last: input == Input::Exhausted }
            }
            _ => Entry::Finished { job, task },
        };
        self.journal(entry, Effect::AllowAck(worker, token), out);
    }

    /// Journals the reported phase of a task again after its record was not written.
    pub(super) fn rejournal_phase(
        &mut self,
        _now: Time,
        worker: key::Worker,
        token: Token,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.workers.entry(worker) else { return };
        let Some(assignment) = entry.assignments.get(&token) else { return };
        let (key, Some(phase)) = (assignment.task, assignment.phase.clone()) else { return };
        let failed = self.jobs.task(key).is_some_and(|task| task.state == State::Failed);
        let input = if failed { Input::Exhausted } else { Input::Fault };
        self.journal_phase(worker, key, token, &phase, input, out);
    }

    fn task_finished(
        &mut self,
        now: Time,
        worker: key::Worker,
        key: key::Task,
        task_report: &TaskReport,
        out: &mut Vec<Command>,
    ) -> Input {
        let (task, token) = (task_report.task.clone(), task_report.token);
        out.push(Command::Decision(Decision::Finished { task, token }));
        let Some(job) = self.jobs.entry(key.job()) else { return Input::Finished };
        let (class, declared) = (job.class, job.run_time);
        let Some(entry) = self.workers.entry_mut(worker) else { return Input::Finished };
        self.failure_rates.finished(class, &mut entry.fault_evidence);
        if let Some(assignment) = entry.assignments.get(&task_report.token)
            && assignment.resume_from.is_none()
            && !assignment.adopted
        {
            self.estimates.observe_run_time(class, declared, now.since(assignment.placed_at));
        }
        Input::Finished
    }

    /// Applies the input for a task that no longer runs on its worker.
    pub(super) fn task_left_worker(
        &mut self,
        now: Time,
        key: key::Task,
        token: Token,
        input: Input,
        out: &mut Vec<Command>,
    ) {
        let Some(task) = self.jobs.task_mut(key) else { return };
        if task.token != Some(token) {
            return;
        }
        task.worker = None;
        if input == Input::Lost {
            self.counts.lost += 1;
        }
        let before = task.state;
        self.apply_input(now, key, input);
        if before.is_queued() && before == before.next(input) {
            // An adopted task that is already inactive stays queued.
            self.queue_after_backoff(now, key, input);
        }
        self.end_if_done(now, key.job(), out);
    }
}
