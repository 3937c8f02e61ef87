//! What must always hold, seen from the workers and the store.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{JobName, TaskName, WorkerName};
use sycamorerill_core::size::Size;
use sycamorerill_tasks::journal::{Entry, Record};
use sycamorerill_tasks::worker::{Phase, Token};

use super::Worker;
use super::worker::{Run, done_of};

/// Counts of what must never happen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checks {
    /// Tasks that ran on two workers at once.
    pub(crate) doubled: u64,
    /// Workers that were given more than they hold.
    pub(crate) overfull: u64,
    /// Tasks started under a token that is not newer than an earlier one.
    pub(crate) stale_starts: u64,
    /// Starts that did not go on from the last acknowledged checkpoint.
    pub(crate) wrong_resumes: u64,
    /// Tasks that ended more than once.
    pub(crate) ended_twice: u64,
    /// Jobs that ended before all of their tasks had.
    pub(crate) ended_early: u64,
    /// Starts of jobs that were answered "not run".
    pub(crate) ran_not_run: u64,
    /// First few violations in words.
    pub(crate) words: Vec<String>,
    tokens: BTreeMap<TaskName, Token>,
    checkpoints: BTreeMap<TaskName, Span>,
    ends: BTreeMap<TaskName, u32>,
    jobs: BTreeMap<JobName, (u32, bool)>,
    /// Jobs that were answered "not run".
    not_run: BTreeMap<JobName, ()>,
}

impl Checks {
    /// Returns the sum of all violations.
    pub(crate) fn total(&self) -> u64 {
        let runs = self.doubled + self.overfull + self.stale_starts + self.wrong_resumes;
        runs + self.ended_twice + self.ended_early + self.ran_not_run
    }

    fn note(&mut self, text: String) {
        if self.words.len() < 8 {
            self.words.push(text);
        }
    }

    /// Checks what runs on all workers at one instant.
    pub(crate) fn look(&mut self, workers: &BTreeMap<WorkerName, Worker>) {
        let mut places: BTreeMap<&TaskName, &WorkerName> = BTreeMap::new();
        for worker in workers.values() {
            if !worker.reserved().fits(worker.size) {
                self.overfull += 1;
                self.note(format!("{} holds {}", worker.name, worker.reserved()));
            }
            for (_, run) in worker.active() {
                if let Some(other) = places.insert(&run.task, &worker.name) {
                    self.doubled += 1;
                    self.note(format!("{} runs on {other} and {}", run.task, worker.name));
                }
            }
        }
    }

    /// Takes the answer "not run" to a job.
    pub(crate) fn told_not_run(&mut self, job: &JobName) {
        let of = |task: &TaskName| task.as_str().rsplit_once('/').map(|(of, _)| of.to_owned());
        if self.tokens.keys().any(|task| of(task).as_deref() == Some(job.as_str())) {
            self.ran_not_run += 1;
            self.note(format!("the caller of {job} was told that it did not run, it was started"));
        }
        self.not_run.insert(job.clone(), ());
    }

    /// Takes a start on a worker.
    pub(crate) fn started(&mut self, token: Token, run: &Run) {
        if self.tokens.get(&run.task).is_some_and(|last| *last >= token) {
            self.stale_starts += 1;
            self.note(format!("{} started under {token}, not newer", run.task));
        }
        self.tokens.insert(run.task.clone(), token);
        let known = self.checkpoints.get(&run.task).copied().unwrap_or_default();
        if run.done < known {
            self.wrong_resumes += 1;
            self.note(format!("{} resumed at {}, {known} was kept", run.task, run.done));
        }
        let job = run.task.as_str().rsplit_once('/').map(|(job, _)| job.parse().unwrap());
        if job.is_some_and(|job: JobName| self.not_run.contains_key(&job)) {
            self.ran_not_run += 1;
            self.note(format!("{} started, its caller was told that it did not run", run.task));
        }
    }

    /// Takes a task that a worker forgets after an acknowledgement.
    ///
    /// A checkpoint counts only under the newest token: what a holder wrote after its task
    /// was started elsewhere is fenced.
    pub(crate) fn forgotten(&mut self, token: Token, run: &Run) {
        if self.tokens.get(&run.task) != Some(&token) {
            return;
        }
        if let Phase::Checkpointed(checkpoint) = &run.phase {
            let done = done_of(checkpoint);
            let known = self.checkpoints.entry(run.task.clone()).or_default();
            *known = done.max(*known);
        }
    }

    /// Takes a record that became durable.
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
                    self.note(format!("{name} ended twice"));
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
            return self.note(format!("{job} ended twice"));
        };
        if !cancelled && self.ended(job, tasks) < tasks {
            self.ended_early += 1;
            self.note(format!("{job} ended before its tasks"));
        }
    }

    fn ended(&self, job: &JobName, tasks: u32) -> u32 {
        let names = (0..tasks).map(|task| format!("{job}/{task}").parse::<TaskName>().unwrap());
        names.filter(|name| self.ends.contains_key(name)).count() as u32
    }

    /// Returns the accepted jobs that have not ended.
    pub(crate) fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the sum of what running tasks reserve.
    pub(crate) fn reserved(workers: &BTreeMap<WorkerName, Worker>) -> Size {
        workers.values().fold(Size::ZERO, |sum, worker| sum + worker.reserved())
    }
}
