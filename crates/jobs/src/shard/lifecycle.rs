//! Life cycle of jobs, from acceptance to their end, and the closing of runs.

use sycamorerill_core::clock::{Span, Time};

use super::entry::{Entry, Stage, Stop};
use super::message::{Closing, Decision, Order};
use super::rank::Rank;
use super::{Command, Shard};
use crate::executor::EndReason;
use crate::id::{ExecutorId, JobId, Run, StepId, TaskId};
use crate::progress::State;
use crate::record::MAX_OPEN_OCCURRENCES;
use crate::spec::{AcceptedJob, MAX_TASKS_PER_JOB};

/// Backoff before a failed task runs again; it doubles with each failure.
pub(super) const MIN_BACKOFF: Span = Span::from_ms(20);
/// Upper bound on the backoff of a task that fails repeatedly.
const MAX_BACKOFF: Span = Span::from_ms(1_000);

impl Shard {
    /// Adds an accepted job and begins it.
    pub(super) fn handle_accepted(&mut self, now: Time, id: JobId, accepted: AcceptedJob) {
        if self.jobs.contains_key(&id) || accepted.job.validate().is_err() {
            return;
        }
        self.jobs.insert(id, Entry::new(accepted));
        self.complete_settings(id);
        if self.cancelled_early.remove(&id) {
            self.cancel(now, id);
        }
        self.begin(now, id);
    }

    /// Begins the due occurrences of a job that was added or restored.
    pub(super) fn begin(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if !entry.is_active() {
            return;
        }
        if entry.job.schedule.is_some() {
            self.scheduled.insert(id);
            self.begin_due(now);
            return;
        }
        if !entry.occurrences.contains_key(&0) && !entry.finished.contains(0) {
            let occurrence = entry.occurrence(0, now);
            entry.occurrences.insert(0, occurrence);
            entry.next_occurrence = 1;
        }
        self.begin_steps(now, id, 0);
    }

    /// Begins the occurrences of scheduled jobs that are due.
    pub(super) fn begin_due(&mut self, now: Time) {
        let jobs: Vec<JobId> = self.scheduled.iter().copied().collect();
        for id in jobs {
            while let Some(number) = self.begin_next(now, id) {
                self.begin_steps(now, id, number);
            }
        }
    }

    /// Begins the next occurrence of a job if it is due, and returns its number.
    fn begin_next(&mut self, now: Time, id: JobId) -> Option<u32> {
        let wall_ms = self.wall_ms;
        let entry = self.jobs.get_mut(&id)?;
        let number = entry.next_occurrence;
        let open = entry.occurrences.len();
        let tasks = entry.job.task_count().saturating_mul(open as u64 + 1);
        if open >= MAX_OPEN_OCCURRENCES || (open > 0 && tasks > MAX_TASKS_PER_JOB) {
            return None;
        }
        if !entry.is_active() || number >= entry.job.occurrences() {
            self.scheduled.remove(&id);
            return None;
        }
        if entry.begin_ms(number) > wall_ms {
            return None;
        }
        entry.next_occurrence += 1;
        if entry.finished.contains(number) || entry.occurrences.contains_key(&number) {
            return Some(number);
        }
        let occurrence = entry.occurrence(number, now);
        entry.occurrences.insert(number, occurrence);
        Some(number)
    }

    /// Queues for placement the steps of an occurrence whose dependencies are done.
    pub(super) fn begin_steps(&mut self, now: Time, id: JobId, number: u32) {
        let Some(entry) = self.jobs.get(&id).filter(|entry| entry.is_active()) else {
            return;
        };
        let Some(occurrence) = entry.occurrences.get(&number) else {
            return;
        };
        let ready: Vec<(StepId, Rank)> = (0..occurrence.steps.len() as u32)
            .filter(|step| {
                let depends_on = &entry.job.steps[*step as usize].depends_on;
                !occurrence.steps[*step as usize].begun
                    && depends_on.iter().all(|a| occurrence.steps[*a as usize].left == 0)
            })
            .map(|step| StepId { job: id, occurrence: number, step })
            .filter_map(|step| Some((step, self.current_rank(now, step)?)))
            .collect();
        for (step, rank) in ready {
            self.begin_step(now, step, rank);
        }
    }

    fn begin_step(&mut self, now: Time, id: StepId, rank: Rank) {
        let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        else {
            return;
        };
        step.begun = true;
        step.ready_since = now;
        step.rank = Some(rank);
        let idle = |task: &super::entry::Task| !task.done && task.open_runs.is_empty();
        let waiting = step.tasks.iter().filter(|(_, task)| idle(task)).map(|(index, _)| index);
        step.waiting = waiting.collect();
        if !step.waiting.is_empty() {
            self.waiting.insert((rank, id));
            self.placement_due = true;
        }
    }

    /// Cancels a job: its waiting tasks are dropped and its runs are stopped.
    pub(super) fn cancel(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            // The acceptance may still follow: a write to the store without an answer may take
            // effect late.
            self.cancelled_early.insert(id);
            return;
        };
        if !entry.is_active() {
            return;
        }
        entry.cancelled = true;
        self.finish(now, id, State::Cancelled);
    }

    /// Moves a job to a terminal state and stops its runs.
    pub(super) fn finish(&mut self, now: Time, id: JobId, state: State) {
        self.remove_job_advice(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.state = state;
        let accepted_ms = entry.accepted_ms;
        self.estimator.model.remove_job(id);
        self.scheduled.remove(&id);
        let mut steps = Vec::new();
        let mut dropped = Vec::new();
        for (number, occurrence) in &mut entry.occurrences {
            for (index, step) in (0..).zip(&mut occurrence.steps) {
                let step_id = StepId { job: id, occurrence: *number, step: index };
                step.waiting.clear();
                if let Some(rank) = step.rank {
                    steps.push((rank, step_id));
                }
                for (task, found) in step.tasks.changed_mut() {
                    for open in &mut found.open_runs {
                        match open.stage {
                            Stage::Recording => dropped.push((step_id.task(task), open.run)),
                            _ if open.stop == Stop::NotRequested => open.stop = Stop::Requested,
                            _ => {}
                        }
                    }
                }
            }
        }
        for (rank, step) in steps {
            self.waiting.remove(&(rank, step));
            self.unschedulable.remove(step);
        }
        for (task, run) in dropped {
            self.close(now, &task, run, Closing::NotRecorded);
        }
        self.mark_job_changed(id);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.occurrences.retain(|_, occurrence| occurrence.has_open_runs());
        }
        let took = Span::from_ms(self.wall_ms.saturating_sub(accepted_ms));
        self.out.push(Command::Log(Decision::Finished { job: id, state, took }));
        self.send_requested_stops(now, id);
    }

    /// Closes a run on evidence, and queues its task again if the task is not done.
    pub(super) fn close(&mut self, now: Time, task: &TaskId, run: Run, by: Closing) {
        let crash = self.crash_involvement(task, run, by);
        let Some(order) = self.end_run(now, task, run, by) else {
            return;
        };
        let executor = order.executor.clone();
        self.mark_changed(task);
        self.placement_due = true;
        match by {
            Closing::Ended(EndReason::Done) => self.task_done(now, task, run, &executor),
            Closing::Ended(EndReason::Failed) => self.task_failed(now, task, &executor),
            _ => {
                if let Some(involvement) = crash {
                    self.attribute_end(now, &order, by, involvement);
                }
                self.requeue(now, task);
            }
        }
        self.remove_finished_occurrence(task.step.job, task.step.occurrence);
    }

    /// Removes a run that is closed on evidence, and logs it.
    fn end_run(&mut self, now: Time, task: &TaskId, run: Run, by: Closing) -> Option<Order> {
        let open = self.remove_run(task, run)?;
        let knowledge = self.knowledge_of(now, &open);
        let order = Order { executor: open.executor, task: *task, run };
        self.out.push(Command::Log(Decision::Closed { order: order.clone(), by, knowledge }));
        Some(order)
    }

    /// Removes a run from its task and releases its resources.
    pub(super) fn remove_run(&mut self, task: &TaskId, run: Run) -> Option<super::entry::OpenRun> {
        let entry = self.jobs.get_mut(&task.step.job)?;
        let found = entry.task_mut(task)?;
        let at = found.open_runs.iter().position(|open| open.run == run)?;
        let open = found.open_runs.swap_remove(at);
        let has_other_run = found.open_runs.iter().any(|other| other.executor == open.executor);
        let step = entry.job.steps.get(task.step.step as usize)?;
        self.shares.close(&entry.queue, step);
        if let Some(executor) = self.executors.get_mut(&open.executor) {
            executor.release(step);
            if !has_other_run {
                executor.open_tasks.remove(task);
            }
            self.probe_candidates.insert(open.executor.clone());
            self.released.insert(open.executor.clone());
        }
        Some(open)
    }

    /// Handles the reported end of a run that has finished the work of its task.
    pub(super) fn task_done(&mut self, now: Time, id: &TaskId, run: Run, executor: &ExecutorId) {
        if let Some(executor) = self.executors.get_mut(executor) {
            executor.health.succeeded();
        }
        let Some(entry) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let gang = entry.job.steps[id.step.step as usize].gang;
        let Some(step) = entry.step_mut(id.step.occurrence, id.step.step) else {
            return;
        };
        let mut others = Vec::new();
        let mut done = Vec::new();
        for (index, task) in step.tasks.changed_mut() {
            let member = index == id.index || gang;
            if !member || task.done {
                continue;
            }
            task.done = true;
            step.left -= 1;
            step.waiting.remove(&index);
            done.push(id.step.task(index));
            others.extend(task.open_runs.iter().map(|open| (id.step.task(index), open.run)));
        }
        for task in &done {
            self.mark_changed(task);
        }
        for (task, other) in others {
            if gang && other == run {
                // The members of a gang end together, so one reported end counts for all.
                self.end_run(now, &task, other, Closing::GangDone);
            } else {
                self.request_stop(now, &task, other);
            }
        }
        let steps = self.jobs.get(&id.step.job).and_then(|e| e.step(id.step));
        if steps.is_some_and(|step| step.left == 0) {
            self.step_done(now, id.step);
        }
    }

    fn step_done(&mut self, now: Time, id: StepId) {
        self.remove_step_advice(id);
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let Some(step) = entry.step_mut(id.occurrence, id.step)
            && let Some(rank) = step.rank
        {
            self.waiting.remove(&(rank, id));
            self.unschedulable.remove(id);
        }
        let Some(occurrence) = entry.occurrences.get(&id.occurrence) else {
            return;
        };
        if occurrence.steps.iter().any(|step| step.left > 0) {
            self.begin_steps(now, id.job, id.occurrence);
            return;
        }
        entry.finished.insert(id.occurrence, id.occurrence);
        self.remove_finished_occurrence(id.job, id.occurrence);
        self.complete_if_done(now, id.job);
    }

    /// Removes an occurrence that is finished, or whose job has ended, and that has no open runs.
    pub(super) fn remove_finished_occurrence(&mut self, id: JobId, number: u32) {
        let is_over =
            |entry: &&mut Entry| entry.finished.contains(number) || entry.state.is_terminal();
        let Some(entry) = self.jobs.get_mut(&id).filter(is_over) else {
            return;
        };
        if entry.occurrences.get(&number).is_some_and(|found| !found.has_open_runs()) {
            entry.occurrences.remove(&number);
            self.mark_occurrence_changed(id, number);
        }
    }

    /// Completes a job of which all occurrences are finished.
    pub(super) fn complete_if_done(&mut self, now: Time, id: JobId) {
        let is_done = self.jobs.get(&id).is_some_and(|entry| {
            entry.is_active() && entry.finished.len() >= u64::from(entry.job.occurrences())
        });
        if is_done {
            self.finish(now, id, State::Completed);
        }
    }

    fn task_failed(&mut self, now: Time, id: &TaskId, executor: &ExecutorId) {
        if let Some(found) = self.executors.get_mut(executor)
            && let Some(pause) = found.health.failed(now, id.step.job)
        {
            self.out.push(Command::Log(Decision::Quarantined(executor.clone(), pause)));
        }
        let Some(entry) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let long_running = entry.job.steps[id.step.step as usize].long_running;
        let queue = entry.queue_in(&self.config);
        let max_attempts = queue.map(|queue| queue.max_attempts);
        let Some(task) = entry.task_mut(id) else {
            return;
        };
        task.failed = task.failed.saturating_add(1);
        task.avoided_executor = Some(executor.clone());
        let factor = 1_u64 << task.failed.min(6).saturating_sub(1);
        let pause = if long_running { Span::ZERO } else { MIN_BACKOFF.saturating_mul(factor) };
        task.not_before = now + pause.min(MAX_BACKOFF);
        let exhausted =
            max_attempts.is_some_and(|most| task.failed >= most.max(1)) && !long_running;
        if exhausted && entry.is_active() {
            self.finish(now, id.step.job, State::Failed);
        } else {
            self.requeue(now, id);
        }
    }

    /// Queues a task for placement, unless it is done, still has an open run, or its job has
    /// ended.
    fn requeue(&mut self, now: Time, id: &TaskId) {
        let Some(entry) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let active = entry.is_active();
        let Some(step) = entry.step_mut(id.step.occurrence, id.step.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(id.index) else {
            return;
        };
        if !active || task.done || !task.open_runs.is_empty() || !step.begun {
            return;
        }
        task.waiting_since = now;
        step.waiting.insert(id.index);
        if let Some(rank) = step.rank {
            self.waiting.insert((rank, id.step));
        }
        if entry.job.steps[id.step.step as usize].long_running {
            self.promotions.insert((now + self.settings.restart_promotion, id.step));
        }
    }
}
