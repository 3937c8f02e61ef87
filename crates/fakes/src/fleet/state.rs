//! All workers, what they were given, and where each task runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use sycamorerill_clients::worker::{
    Answer, Checkpoint, Command, Exchange, Outcome, Reading, Refusal, Start, State,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{JobName, TaskName};
use sycamorerill_core::size::Size;

use super::command;
use super::nature::Nature;
use super::progress::{self, Ended, Ending};
use super::task::Task;
use super::worker::Worker;
use crate::counts;
use crate::faults::Work;
use crate::store::Objects;

/// Work that a task does on a worker that fails everything before it fails.
const FAIL_AFTER_MS: f64 = 20.0;
/// Part of its work that a task of a failing job does before it fails.
const FAIL_AFTER_PART: f64 = 0.2;

/// All workers.
#[derive(Debug)]
pub(crate) struct Fleet {
    workers: BTreeMap<String, Worker>,
    nature: Nature,
    objects: Arc<Mutex<Objects>>,
    counts: counts::Workers,
    /// Workers that may still run each task.
    places: BTreeMap<TaskName, BTreeSet<String>>,
    finished: BTreeSet<TaskName>,
    resumed: BTreeSet<Checkpoint>,
}

impl Fleet {
    pub(crate) fn new(nature: Nature, objects: Arc<Mutex<Objects>>) -> Self {
        Self {
            workers: BTreeMap::new(),
            nature,
            objects,
            counts: counts::Workers::default(),
            places: BTreeMap::new(),
            finished: BTreeSet::new(),
            resumed: BTreeSet::new(),
        }
    }

    /// Adds a worker without tasks, unless it is known.
    pub(crate) fn add(&mut self, name: &str, size: Size) {
        self.workers.entry(name.to_owned()).or_insert_with(|| Worker::new(size));
    }

    /// Returns the faults of a worker, or none if there is no such worker.
    pub(crate) fn faults(&self, name: &str) -> Option<&Work> {
        self.workers.get(name).map(|worker| &worker.faults)
    }

    /// Sets the faults of a worker.
    pub(crate) fn set(&mut self, now: Time, name: &str, faults: Work) {
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
        for task in tasks.into_values().filter(Task::runs) {
            self.counts.lost += 1;
            self.may_resume_again(&task.start);
        }
    }

    /// Notes that a worker is leaving from now on, or that it stays after all.
    pub(crate) fn set_leaving(&mut self, name: &str, since: Option<Time>) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.leaving = since;
        }
    }

    /// Sets whether every task of a job fails; tasks that run now are left alone.
    pub(crate) fn set_job(&mut self, job: JobName, fails: bool) {
        if fails {
            self.nature.failing_jobs.insert(job);
        } else {
            self.nature.failing_jobs.remove(&job);
        }
    }

    /// Sets whether the object store can be reached from the workers.
    pub(crate) fn set_objects_up(&mut self, up: bool) {
        self.nature.objects_up = up;
    }

    /// Returns the jobs whose tasks fail.
    pub(crate) fn failing_jobs(&self) -> &BTreeSet<JobName> {
        &self.nature.failing_jobs
    }

    /// Returns how long a worker stands still yet.
    pub(crate) fn pause_left(&self, now: Time, name: &str) -> Span {
        self.workers.get(name).map_or(Span::ZERO, |worker| worker.paused_until.since(now))
    }

    /// Uses up one lost answer of a worker and reports whether there was one.
    pub(crate) fn loses_answer(&mut self, name: &str) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let loses = worker.faults.lose_next > 0;
        worker.faults.lose_next = worker.faults.lose_next.saturating_sub(1);
        loses
    }

    /// Returns what was counted, with every task carried on up to `now`.
    pub(crate) fn counts(&mut self, now: Time) -> counts::Workers {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance(&name, now);
        }
        let tasks = self.workers.values().flat_map(|worker| worker.tasks.values());
        let running = tasks.filter(|task| task.runs()).count();
        self.counts.running = u64::try_from(running).unwrap_or(u64::MAX);
        self.counts.clone()
    }

    /// Carries out an exchange, or returns none if there is no such worker.
    pub(crate) fn exchange(
        &mut self,
        now: Time,
        name: &str,
        exchange: &Exchange,
    ) -> Option<Answer> {
        self.advance(name, now);
        let worker = self.workers.get_mut(name)?;
        let clock = Reading(now.as_ms());
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
                commands.map(|command| self.carry_out(now, name, command)).collect()
            }
        };
        let worker = self.workers.get(name)?;
        let report = worker.report(now, self.nature.report_lag);
        Some(Answer { epoch: worker.epoch, clock, fenced, results, report })
    }

    fn carry_out(&mut self, now: Time, name: &str, command: &Command) -> Outcome {
        if let Command::Start(start) = command {
            return match self.start(now, name, start) {
                Ok(()) => Outcome::Accepted,
                Err(refusal) => Outcome::Refused(refusal),
            };
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return Outcome::Refused(Refusal::NotHeld);
        };
        match command::carry_out(worker, now, self.nature.checkpoint_time, command) {
            Ok(None) => Outcome::Accepted,
            Ok(Some(start)) => {
                self.counts.stopped += 1;
                self.may_resume_again(&start);
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
        let free = worker.size.less(worker.given());
        if !start.size.fits(free) {
            self.counts.overcommitted += 1;
            return Err(Refusal::NoRoom { free });
        }
        self.check_places(now, name, &start.task);
        let task = self.task(now, name, start);
        let Some(worker) = self.workers.get_mut(name) else {
            return Err(Refusal::NotHeld);
        };
        worker.tokens.insert(start.task.clone(), start.token);
        worker.tasks.insert(start.task.clone(), task);
        self.counts.started += 1;
        let grace = self.nature.leave_grace;
        let late = worker.leaving.is_some_and(|at| now.since(at) > grace);
        self.counts.after_leaving += u64::from(late);
        self.guard(now, name);
        Ok(())
    }

    /// Counts a task that runs on another worker at this moment.
    fn check_places(&mut self, now: Time, name: &str, task: &TaskName) {
        let places = self.places.remove(task).unwrap_or_default();
        let mut still = BTreeSet::from([name.to_owned()]);
        for place in places.into_iter().filter(|place| place != name) {
            self.advance(&place, now);
            let held = self.workers.get(&place).and_then(|worker| worker.tasks.get(task));
            if held.is_some_and(Task::runs) {
                self.counts.doubled += 1;
                still.insert(place);
            }
        }
        self.places.insert(task.clone(), still);
    }

    fn task(&mut self, now: Time, name: &str, start: &Start) -> Task {
        let truth = self.nature.truth(start);
        let mut task = Task::new(now, start.clone(), truth, truth.work_ms);
        if let Some(checkpoint) = &start.resume_from {
            match self.resume(checkpoint) {
                Some(progress) => task.left_ms *= 1.0 - progress,
                None => fail(&mut task, 0.0, "the checkpoint can't be read"),
            }
        }
        if self.workers.get(name).is_some_and(|worker| worker.faults.fails_everything) {
            fail(&mut task, FAIL_AFTER_MS, "the worker is faulty");
        } else if self.nature.always_fails(&start.task) {
            let after = task.left_ms * FAIL_AFTER_PART;
            fail(&mut task, after, "the task exited with status 1");
        }
        task
    }

    /// Notes that a placement came to nothing, so its checkpoint may be resumed from again.
    fn may_resume_again(&mut self, start: &Start) {
        if let Some(checkpoint) = &start.resume_from {
            self.resumed.remove(checkpoint);
        }
    }

    /// Returns the progress kept in a checkpoint.
    fn resume(&mut self, checkpoint: &Checkpoint) -> Option<f64> {
        if !self.nature.objects_up {
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

    /// Ends tasks until those left fit into the worker's memory.
    fn guard(&mut self, now: Time, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        while worker.used().memory() > worker.size.memory() {
            let running = worker.tasks.values_mut().filter(|task| task.runs());
            let excess =
                |task: &Task| task.truth.size.memory().0.saturating_sub(task.start.size.memory().0);
            let Some(worst) = running.max_by_key(|task| excess(task)) else {
                return;
            };
            let reason = "the guard ended the task: memory above its size".to_owned();
            worst.end(now, State::Failed { reason });
            if let Some(checkpoint) = &worst.start.resume_from {
                self.resumed.remove(checkpoint);
            }
            worker.guard_ended += 1;
            self.counts.guarded += 1;
            self.counts.failed += 1;
        }
    }

    /// Carries the tasks of a worker on.
    fn advance(&mut self, name: &str, now: Time) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let mut ended = Vec::new();
        progress::advance(worker, &mut self.nature, now, &mut ended);
        for ended in ended {
            self.count(ended);
        }
    }

    fn count(&mut self, ended: Ended) {
        match ended.ending {
            Ending::Finished => {
                self.counts.finished += 1;
                if !self.finished.insert(ended.start.task) {
                    self.counts.finished_twice += 1;
                }
            }
            Ending::Failed => {
                self.counts.failed += 1;
                self.may_resume_again(&ended.start);
            }
            Ending::LeaseLapsed => {
                self.counts.lease_lapsed += 1;
                self.may_resume_again(&ended.start);
            }
            Ending::Checkpointed(checkpoint, progress) => {
                self.counts.checkpointed += 1;
                let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
                objects.put(checkpoint.as_str(), Bytes::from(progress.to_string()), false);
            }
        }
    }
}

/// Reports whether a start is a new one, neither a repeat nor refused.
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

fn fail(task: &mut Task, after_ms: f64, reason: &str) {
    task.left_ms = after_ms;
    task.fails = Some(reason.to_owned());
}
