//! All workers with their tasks and counters.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use sycamorerill_clients::worker::{
    Checkpoint, ClockReading, Command, Exchange, Outcome, Refusal, Response, Start, State,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{JobName, TaskName};
use sycamorerill_core::size::Size;

use super::command;
use super::model::TaskModel;
use super::progress::{self, EndedTask, Ending};
use super::task::Task;
use super::worker::Worker;
use crate::counts;
use crate::faults::WorkerFaults;
use crate::store::Objects;

/// Work that a task does on a worker that fails everything before the task fails.
const FAIL_AFTER_MS: f64 = 20.0;
/// Fraction of its work that a task of a failing job does before it fails.
const FAIL_AFTER_FRACTION: f64 = 0.2;

/// All workers, by name.
#[derive(Debug)]
pub(crate) struct WorkerPool {
    workers: BTreeMap<String, Worker>,
    model: TaskModel,
    objects: Arc<Mutex<Objects>>,
    counts: counts::Workers,
    /// Workers on which each task was started and may still be running.
    locations: BTreeMap<TaskName, BTreeSet<String>>,
    finished: BTreeSet<TaskName>,
    resumed: BTreeSet<Checkpoint>,
}

impl WorkerPool {
    pub(crate) fn new(model: TaskModel, objects: Arc<Mutex<Objects>>) -> Self {
        Self {
            workers: BTreeMap::new(),
            model,
            objects,
            counts: counts::Workers::default(),
            locations: BTreeMap::new(),
            finished: BTreeSet::new(),
            resumed: BTreeSet::new(),
        }
    }

    /// Adds a worker without tasks, unless it is present already.
    pub(crate) fn add(&mut self, name: &str, size: Size) {
        self.workers.entry(name.to_owned()).or_insert_with(|| Worker::new(size));
    }

    /// Returns the faults of a worker, or none if there is no such worker.
    pub(crate) fn faults(&self, name: &str) -> Option<&WorkerFaults> {
        self.workers.get(name).map(|worker| &worker.faults)
    }

    /// Replaces the faults of a worker.
    pub(crate) fn set_faults(&mut self, now: Time, name: &str, faults: WorkerFaults) {
        self.advance(name, now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.paused_until = now + faults.pause;
        let tasks = match faults.gone {
            true => std::mem::take(&mut worker.tasks),
            false => BTreeMap::new(),
        };
        worker.faults = faults;
        for task in tasks.into_values().filter(Task::is_running) {
            self.counts.lost += 1;
            self.allow_resume(&task.start);
        }
    }

    /// Sets since when a worker has been leaving, or none if it stays.
    pub(crate) fn set_leaving(&mut self, name: &str, since: Option<Time>) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.leaving_since = since;
        }
    }

    /// Sets whether tasks of a job fail that start from now on; running tasks are not affected.
    pub(crate) fn set_job_fails(&mut self, job: JobName, fails: bool) {
        if fails {
            self.model.failing_jobs.insert(job);
        } else {
            self.model.failing_jobs.remove(&job);
        }
    }

    /// Sets whether the object store can be reached from the workers.
    pub(crate) fn set_objects_up(&mut self, up: bool) {
        self.model.objects_up = up;
    }

    /// Returns the jobs whose tasks fail.
    pub(crate) fn failing_jobs(&self) -> &BTreeSet<JobName> {
        &self.model.failing_jobs
    }

    /// Returns the remaining time of a worker's pause.
    pub(crate) fn remaining_pause(&self, now: Time, name: &str) -> Span {
        self.workers.get(name).map_or(Span::ZERO, |worker| worker.paused_until.since(now))
    }

    /// Returns whether the next answer of a worker is to be lost, and counts it as lost.
    pub(crate) fn take_lost_answer(&mut self, name: &str) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let loses = worker.faults.lose_next > 0;
        worker.faults.lose_next = worker.faults.lose_next.saturating_sub(1);
        loses
    }

    /// Advances all tasks to `now` and returns the counters.
    pub(crate) fn counts(&mut self, now: Time) -> counts::Workers {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance(&name, now);
        }
        let tasks = self.workers.values().flat_map(|worker| worker.tasks.values());
        let running = tasks.filter(|task| task.is_running()).count();
        self.counts.running = u64::try_from(running).unwrap_or(u64::MAX);
        self.counts.clone()
    }

    /// Executes the commands of an exchange; returns none if there is no such worker.
    pub(crate) fn exchange(
        &mut self,
        now: Time,
        name: &str,
        exchange: &Exchange,
    ) -> Option<Response> {
        self.advance(name, now);
        let worker = self.workers.get_mut(name)?;
        let clock = ClockReading(now.as_ms());
        let fenced = exchange.epoch < worker.epoch;
        let refused = if fenced {
            self.counts.fenced += 1;
            Some(Refusal::Fenced)
        } else {
            exchange.not_after.filter(|last| clock > *last).map(|_| Refusal::Expired)
        };
        let commands = exchange.commands.iter();
        let results = match refused {
            Some(refusal) => commands.map(|_| Outcome::Refused(refusal)).collect(),
            None => {
                worker.epoch = exchange.epoch;
                self.counts.exchanges += 1;
                commands.map(|command| self.execute(now, name, command)).collect()
            }
        };
        let worker = self.workers.get(name)?;
        let report = worker.report(now, self.model.report_lag);
        Some(Response { epoch: worker.epoch, clock, fenced, results, report })
    }

    fn execute(&mut self, now: Time, name: &str, command: &Command) -> Outcome {
        if let Command::Start(start) = command {
            return match self.start(now, name, start) {
                Ok(()) => Outcome::Accepted,
                Err(refusal) => Outcome::Refused(refusal),
            };
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return Outcome::Refused(Refusal::NotHeld);
        };
        match command::execute(worker, now, self.model.checkpoint_time, command) {
            Ok(None) => Outcome::Accepted,
            Ok(Some(start)) => {
                self.counts.stopped += 1;
                self.allow_resume(&start);
                Outcome::Accepted
            }
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    fn start(&mut self, now: Time, name: &str, start: &Start) -> Result<(), Refusal> {
        let worker = self.workers.get(name).ok_or(Refusal::NotHeld)?;
        if !is_new(worker, start)? {
            return Ok(());
        }
        let free = worker.size.saturating_sub(worker.allocated());
        if !start.size.fits(free) {
            self.counts.overcommitted += 1;
            return Err(Refusal::NoRoom { free });
        }
        self.count_doubled(now, name, &start.task);
        let task = self.build_task(now, name, start);
        let Some(worker) = self.workers.get_mut(name) else {
            return Err(Refusal::NotHeld);
        };
        worker.tokens.insert(start.task.clone(), start.token);
        worker.tasks.insert(start.task.clone(), task);
        self.counts.started += 1;
        let grace = self.model.leave_grace;
        let late = worker.leaving_since.is_some_and(|at| now.since(at) > grace);
        self.counts.after_leaving += u64::from(late);
        self.enforce_memory(now, name);
        Ok(())
    }

    /// Counts the other workers that run the task at this moment.
    fn count_doubled(&mut self, now: Time, name: &str, task: &TaskName) {
        let locations = self.locations.remove(task).unwrap_or_default();
        let mut running_on = BTreeSet::from([name.to_owned()]);
        for location in locations.into_iter().filter(|location| location != name) {
            self.advance(&location, now);
            let held = self.workers.get(&location).and_then(|worker| worker.tasks.get(task));
            if held.is_some_and(Task::is_running) {
                self.counts.doubled += 1;
                running_on.insert(location);
            }
        }
        self.locations.insert(task.clone(), running_on);
    }

    fn build_task(&mut self, now: Time, name: &str, start: &Start) -> Task {
        let actual = self.model.actual_demand(start);
        let mut task = Task::new(now, start.clone(), actual, actual.work_ms);
        if let Some(checkpoint) = &start.resume_from {
            match self.resume(checkpoint) {
                Some(progress) => task.remaining_work_ms *= 1.0 - progress,
                None => schedule_failure(&mut task, 0.0, "the checkpoint can't be read"),
            }
        }
        if self.workers.get(name).is_some_and(|worker| worker.faults.fails_everything) {
            schedule_failure(&mut task, FAIL_AFTER_MS, "the worker is faulty");
        } else if self.model.always_fails(&start.task) {
            let after = task.remaining_work_ms * FAIL_AFTER_FRACTION;
            schedule_failure(&mut task, after, "the task exited with status 1");
        }
        task
    }

    /// Allows another resume from the checkpoint of a start whose task did not finish.
    fn allow_resume(&mut self, start: &Start) {
        if let Some(checkpoint) = &start.resume_from {
            self.resumed.remove(checkpoint);
        }
    }

    /// Returns the progress stored in a checkpoint, and counts the resume.
    fn resume(&mut self, checkpoint: &Checkpoint) -> Option<f64> {
        if !self.model.objects_up {
            return None;
        }
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let body = objects.get(checkpoint.as_str())?;
        drop(objects);
        let progress = std::str::from_utf8(&body).ok()?.parse().ok()?;
        self.counts.resumed += 1;
        if !self.resumed.insert(checkpoint.clone()) {
            self.counts.resumed_twice += 1;
        }
        Some(progress)
    }

    /// Ends the tasks that exceed their memory the most until the rest fit into the worker.
    fn enforce_memory(&mut self, now: Time, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        while worker.used().memory() > worker.size.memory() {
            let running = worker.tasks.values_mut().filter(|task| task.is_running());
            let excess = |task: &Task| {
                task.actual.size.memory().0.saturating_sub(task.start.size.memory().0)
            };
            let Some(largest_excess) = running.max_by_key(|task| excess(task)) else {
                return;
            };
            let reason = "the guard ended the task: memory above its size".to_owned();
            largest_excess.end(now, State::Failed { reason });
            if let Some(checkpoint) = &largest_excess.start.resume_from {
                self.resumed.remove(checkpoint);
            }
            worker.ended_by_guard += 1;
            self.counts.guarded += 1;
            self.counts.failed += 1;
        }
    }

    /// Advances the tasks of a worker to `now`.
    fn advance(&mut self, name: &str, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let mut ended = Vec::new();
        progress::advance(worker, &mut self.model, now, &mut ended);
        for ended in ended {
            self.record_end(ended);
        }
    }

    /// Counts the end of a task and stores its checkpoint, if any.
    fn record_end(&mut self, ended: EndedTask) {
        match ended.ending {
            Ending::Finished => {
                self.counts.finished += 1;
                if !self.finished.insert(ended.start.task) {
                    self.counts.finished_twice += 1;
                }
            }
            Ending::Failed => {
                self.counts.failed += 1;
                self.allow_resume(&ended.start);
            }
            Ending::LeaseLapsed => {
                self.counts.lease_lapsed += 1;
                self.allow_resume(&ended.start);
            }
            Ending::Checkpointed(checkpoint, progress) => {
                self.counts.checkpointed += 1;
                let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
                objects.put(checkpoint.as_str(), Bytes::from(progress.to_string()), false);
            }
        }
    }
}

/// Returns whether a start is new rather than a repeat; returns the refusal of an invalid one.
fn is_new(worker: &Worker, start: &Start) -> Result<bool, Refusal> {
    if let Some(held) = worker.tasks.get(&start.task) {
        if held.start.token == start.token {
            return Ok(false);
        }
        return Err(Refusal::Held { token: held.start.token });
    }
    match worker.tokens.get(&start.task) {
        Some(seen) if *seen >= start.token => Err(Refusal::Stale { token: *seen }),
        _ => Ok(true),
    }
}

/// Makes a task fail with `reason` after the given work, in milliseconds.
fn schedule_failure(task: &mut Task, after_ms: f64, reason: &str) {
    task.remaining_work_ms = after_ms;
    task.failure = Some(reason.to_owned());
}
