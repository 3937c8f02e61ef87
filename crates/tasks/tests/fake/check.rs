//! Invariants that must always hold, as seen by the workers and the store.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{JobName, TaskName, WorkerName};
use sycamorerill_core::size::Size;
use sycamorerill_tasks::journal::{Entry, Record};
use sycamorerill_tasks::worker::{Phase, Token};

use super::Worker;
use super::worker::{Run, work_done};

/// Counts of violated invariants.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checks {
    /// Tasks that ran on two workers at once.
    pub(crate) doubled: u64,
    /// Workers whose tasks reserve more than their size.
    pub(crate) overfull: u64,
    /// Tasks started under a token that is not larger than an earlier one.
    pub(crate) stale_starts: u64,
    /// Starts from a state older than the last acknowledged checkpoint.
    pub(crate) wrong_resumes: u64,
    /// Tasks that ended more than once.
    pub(crate) ended_twice: u64,
    /// Jobs that ended before all of their tasks had.
    pub(crate) ended_early: u64,
    /// Starts of jobs that were answered "not run".
    pub(crate) ran_not_run: u64,
    /// Descriptions of the first 8 violations.
    pub(crate) messages: Vec<String>,
    tokens: BTreeMap<TaskName, Token>,
    checkpoints: BTreeMap<TaskName, Span>,
    ends: BTreeMap<TaskName, u32>,
    jobs: BTreeMap<JobName, (u32, bool)>,
    /// Jobs that were answered "not run".
    not_run: BTreeMap<JobName, ()>,
}

impl Checks {
    /// Returns the total number of violations.
    pub(crate) fn total(&self) -> u64 {
        let runs = self.doubled + self.overfull + self.stale_starts + self.wrong_resumes;
        runs + self.ended_twice + self.ended_early + self.ran_not_run
    }

    fn add_violation(&mut self, text: String) {
        if self.messages.len() < 8 {
            self.messages.push(text);
        }
    }

    /// Checks the tasks that run on all workers at one instant.
    pub(crate) fn check_invariants(&mut self, workers: &BTreeMap<WorkerName, Worker>) {
        let mut running_on: BTreeMap<&TaskName, &WorkerName> = BTreeMap::new();
        for worker in workers.values() {
            if !worker.reserved().fits(worker.size) {
                self.overfull += 1;
                self.add_violation(format!(
                    "tasks on {} reserve {}, more than its size",
                    worker.name,
                    worker.reserved()
                ));
            }
            for (_, run) in worker.active() {
                if let Some(other) = running_on.insert(&run.task, &worker.name) {
                    self.doubled += 1;
                    self.add_violation(format!("{} runs on {other} and {}", run.task, worker.name));
                }
            }
        }
    }

    /// Records that a job was answered "not run".
    pub(crate) fn answered_not_run(&mut self, job: &JobName) {
        let of = |task: &TaskName| task.as_str().rsplit_once('/').map(|(of, _)| of.to_owned());
        if self.tokens.keys().any(|task| of(task).as_deref() == Some(job.as_str())) {
            self.ran_not_run += 1;
            self.add_violation(format!(
                "{job} was started before its caller was told that it did not run"
            ));
        }
        self.not_run.insert(job.clone(), ());
    }

    /// Records the start of a task on a worker.
    pub(crate) fn started(&mut self, token: Token, run: &Run) {
        if self.tokens.get(&run.task).is_some_and(|last| *last >= token) {
            self.stale_starts += 1;
            self.add_violation(format!(
                "{} started under {token}, which is not newer than the last token",
                run.task
            ));
        }
        self.tokens.insert(run.task.clone(), token);
        let known = self.checkpoints.get(&run.task).copied().unwrap_or_default();
        if run.done < known {
            self.wrong_resumes += 1;
            self.add_violation(format!(
                "{} resumed at {}, but its acknowledged checkpoint is at {known}",
                run.task, run.done
            ));
        }
        let job = run.task.as_str().rsplit_once('/').map(|(job, _)| job.parse().unwrap());
        if job.is_some_and(|job: JobName| self.not_run.contains_key(&job)) {
            self.ran_not_run += 1;
            self.add_violation(format!(
                "{} started after its caller was told that the job did not run",
                run.task
            ));
        }
    }

    /// Records a task that a worker drops after an acknowledgement.
    ///
    /// A checkpoint counts only under the newest token: one written after the task was started
    /// elsewhere is fenced.
    pub(crate) fn acknowledged(&mut self, token: Token, run: &Run) {
        if self.tokens.get(&run.task) != Some(&token) {
            return;
        }
        if let Phase::Checkpointed(checkpoint) = &run.phase {
            let done = work_done(checkpoint);
            let known = self.checkpoints.entry(run.task.clone()).or_default();
            *known = done.max(*known);
        }
    }

    /// Records that a journal record became durable.
    pub(crate) fn durable(&mut self, record: &Record) {
        match &record.entry {
            Entry::Accepted { job, .. } => {
                self.jobs.insert(job.name.clone(), (job.tasks, false));
            }
            Entry::Finished { job, task } | Entry::Attempts { job, task, last: true, .. } => {
                let name: TaskName = format!("{job}/{task}").parse().unwrap();
                let ends = self.ends.entry(name.clone()).or_default();
                *ends += 1;
                if *ends > 1 {
                    self.ended_twice += 1;
                    self.add_violation(format!("{name} ended twice"));
                }
            }
            Entry::Cancelled(job) => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.1 = true;
                }
            }
            Entry::Ended { job, .. } => self.job_ended(job),
            _ => {}
        }
    }

    fn job_ended(&mut self, job: &JobName) {
        let Some((tasks, cancelled)) = self.jobs.remove(job) else {
            self.ended_twice += 1;
            return self.add_violation(format!("{job} ended twice"));
        };
        if !cancelled && self.ended_tasks(job, tasks) < tasks {
            self.ended_early += 1;
            self.add_violation(format!("{job} ended before its tasks"));
        }
    }

    fn ended_tasks(&self, job: &JobName, tasks: u32) -> u32 {
        let names = (0..tasks).map(|task| format!("{job}/{task}").parse::<TaskName>().unwrap());
        names.filter(|name| self.ends.contains_key(name)).count() as u32
    }

    /// Returns the number of accepted jobs that have not ended.
    pub(crate) fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the total size reserved by running tasks.
    pub(crate) fn reserved(workers: &BTreeMap<WorkerName, Worker>) -> Size {
        workers.values().fold(Size::ZERO, |sum, worker| sum + worker.reserved())
    }
}
