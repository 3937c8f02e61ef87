//! Tasks that crash the workers on which they start.
//!
//! A crash of a worker is attributed to each task that had started there shortly before the
//! worker's last report. All of them are suspects, since any may be the cause. A suspect is placed
//! on a worker without other new tasks, so that a second crash tells the cause from tasks that
//! started beside it.

use sycamorerill_core::clock::{Span, Time};

use super::placement::Demand;
use super::writer::Effect;
use super::{Cell, Command, Decision, key};
use crate::journal;
use crate::life::Input;
use crate::worker::{Assignment, Entry};

/// Longest time from the first report of a task to the worker's last report at which a crash is
/// attributed to the task.
const ATTRIBUTION_WINDOW: Span = Span::from_ms(1_000);
/// Time before and after the placement of a suspect in which its worker gets no other task. It is
/// longer than `ATTRIBUTION_WINDOW`, so that one crash is not attributed to both.
const ISOLATION: Span = Span::from_ms(2_000);
/// Time for which a suspect waits for a worker without new tasks.
const MAX_ISOLATION_WAIT: Span = Span::from_secs(10);
/// Minimum number of crashes under a task after which it is given up: one may have another cause.
const MIN_CRASHES: u32 = 2;
/// Number of crashes after which a task is given up however many attempts its class allows.
const MAX_CRASHES: u32 = 3;

impl Assignment {
    /// Returns whether a crash after a last report at `last_report_at` is attributed to the task.
    fn may_have_crashed_worker(&self, last_report_at: Option<Time>) -> bool {
        let age = self.first_reported_at.zip(last_report_at).map(|(first, last)| last.since(first));
        !self.is_inactive() && age.is_some_and(|age| age <= ATTRIBUTION_WINDOW)
    }
}

impl Entry {
    /// Returns whether the worker may be assigned the task with regard to crashes.
    pub(super) fn allows_start(&self, now: Time, demand: &Demand) -> bool {
        let is_quiet = || now.since(self.last_placed_at) >= ISOLATION;
        now >= self.isolated_until && (!demand.needs_isolation || is_quiet())
    }

    /// Records the placement of a task, which is a suspect if it has crashed a worker.
    pub(super) fn record_placement(&mut self, now: Time, is_suspect: bool) {
        self.last_placed_at = now;
        if is_suspect {
            self.isolated_until = now + ISOLATION;
        }
    }
}

impl Cell {
    /// Returns when the last report of a worker was received.
    pub(super) fn last_report_at(&self, worker: key::Worker) -> Option<Time> {
        self.workers.entry(worker).and_then(|entry| entry.session.last_report_at())
    }

    /// Returns the tasks that had just started on a worker at its last report.
    pub(super) fn recent_starts(
        &self,
        worker: key::Worker,
        last_report_at: Option<Time>,
    ) -> Vec<key::Task> {
        let Some(entry) = self.workers.entry(worker) else { return Vec::new() };
        let assignments = entry.assignments.values();
        assignments
            .filter(|assignment| assignment.may_have_crashed_worker(last_report_at))
            .map(|assignment| assignment.task)
            .collect()
    }

    /// Attributes the crash of a worker, of which its restart or its removal is the evidence, to
    /// the tasks that had just started at its last report, and to those whose leases lapsed since.
    ///
    /// The assignments are removed later.
    pub(super) fn attribute_crash(
        &mut self,
        now: Time,
        worker: key::Worker,
        last_report_at: Option<Time>,
        out: &mut Vec<Command>,
    ) {
        let starts = self.recent_starts(worker, last_report_at);
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let lapsed = std::mem::take(&mut entry.lapsed_starts);
        if entry.leaving {
            return;
        }
        for task in lapsed {
            if self.record_crash(worker, task, out) {
                self.give_up_queued(now, task, out);
            }
        }
        for task in starts {
            if self.record_crash(worker, task, out) {
                self.give_up_assigned(worker, task);
            }
        }
    }

    /// Counts a crash of a worker under a task; returns whether the task is given up.
    fn record_crash(
        &mut self,
        worker: key::Worker,
        key: key::Task,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(class) = self.jobs.entry(key.job()).map(|job| job.class) else { return false };
        let limit = match self.classes.get(&class) {
            Some(class) if !class.service => class.attempts.clamp(MIN_CRASHES, MAX_CRASHES),
            _ => MAX_CRASHES,
        };
        let Some(name) = self.workers.entry(worker).map(|entry| entry.name.clone()) else {
            return false;
        };
        let Some(task) = self.jobs.task_mut(key).filter(|task| !task.state.is_final()) else {
            return false;
        };
        task.crashes += 1;
        task.last_failed_worker = Some(worker);
        let (count, crashes) = (task.attempts, task.crashes);
        let runs_elsewhere = task.worker.is_some_and(|at| at != worker);
        let last = crashes >= limit && !runs_elsewhere;
        let Some(job) = self.jobs.entry(key.job()) else { return false };
        let Some(task) = job.task_name(key.index()) else { return false };
        let job = job.job.name.clone();
        out.push(Command::Decision(Decision::Crashed { task, worker: name, crashes, last }));
        let entry = journal::Entry::Attempts { job, task: key.index(), count, crashes, last };
        self.journal(entry, Effect::None, out);
        last
    }

    /// Gives up a task that has left the worker it crashed.
    fn give_up_queued(&mut self, now: Time, key: key::Task, out: &mut Vec<Command>) {
        let queued = self.jobs.task(key).filter(|task| task.state.is_queued());
        if let Some(token) = queued.and_then(|task| task.token) {
            self.task_left_worker(now, key, token, Input::Exhausted, out);
        }
    }

    /// Lets a task end as failed when it leaves the worker it crashed.
    fn give_up_assigned(&mut self, worker: key::Worker, key: key::Task) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let assignments = entry.assignments.values_mut();
        for assignment in assignments.filter(|assignment| assignment.task == key) {
            assignment.is_given_up = true;
        }
    }

    /// Returns the next task of a job to place: suspects follow all others.
    pub(super) fn next_ready(&self, job: key::Job) -> Option<u32> {
        let job = self.jobs.entry(job)?;
        let crashes = |index: &u32| job.tasks.get(*index as usize).map_or(0, |task| task.crashes);
        let harmless = job.ready.iter().find(|index| crashes(index) == 0);
        harmless.or_else(|| job.ready.first()).copied()
    }

    /// Returns whether a task that is placed now needs a worker without other new tasks.
    pub(super) fn needs_isolation(&self, now: Time, key: key::Task) -> bool {
        self.jobs.task(key).is_some_and(|task| {
            task.crashes > 0 && now.since(task.waiting_since) < MAX_ISOLATION_WAIT
        })
    }
}
