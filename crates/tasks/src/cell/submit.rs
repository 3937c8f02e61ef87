//! Submission, cancellation and completion of jobs.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::JobName;
use sycamorerill_core::model::Urgency;

use super::jobs::{self, Handover, Task};
use super::timer::TimerAction;
use super::writer::Effect;
use super::{Cell, Command, DeadlineMiss, Decision, Ended, Event, Reply, key};
use crate::job::{Job, Outcome, Reason, RequestId};
use crate::journal::Entry;
use crate::life::{Input, State};

impl Cell {
    pub(super) fn submit(
        &mut self,
        now: Time,
        job: Job,
        request: RequestId,
        out: &mut Vec<Command>,
    ) {
        if let Some(reply) = self.existing_reply(&job, &request) {
            out.extend(reply.map(|reply| Command::Reply { request, reply }));
            return;
        }
        if let Err(reason) = self.check_submission(&job) {
            self.counts.refused += 1;
            let reply = Reply::NotRun(reason);
            out.push(Command::Reply { request, reply });
            return;
        }
        let mut entry = self.new_entry(now, job.clone(), State::Submitted);
        entry.requests.push(request);
        let key = self.jobs.insert(entry);
        self.journal(Entry::Accepted { job, at: now }, Effect::Accept(key), out);
    }

    /// Returns the reply to a job whose name exists already, if it does.
    ///
    /// The inner value is `None` while the record of the job is not durable; the request is
    /// then answered together with the first one.
    fn existing_reply(&mut self, job: &Job, request: &RequestId) -> Option<Option<Reply>> {
        if let Some(ended) = self.ended.get(&job.name) {
            return Some(Some(Reply::Ended(ended.outcome)));
        }
        let key = self.jobs.find(&job.name)?;
        let entry = self.jobs.entry_mut(key)?;
        if entry.job != *job {
            return Some(Some(Reply::NotRun(Reason::Conflict(job.name.clone()))));
        }
        if !entry.durable {
            entry.requests.push(request.clone());
            return Some(None);
        }
        Some(Some(accepted(entry)))
    }

    fn check_submission(&self, job: &Job) -> Result<(), Reason> {
        if self.writer.is_store_down() {
            return Err(Reason::StoreDown);
        }
        self.check_declared(job)?;
        self.check_runnable(job)?;
        let waiting = self.counts.waiting_of(job.urgency);
        let most = self.settings.max_waiting_tasks;
        if waiting + u64::from(job.tasks) > most {
            return Err(Reason::QueueFull { waiting, most });
        }
        Ok(())
    }

    fn check_declared(&self, job: &Job) -> Result<(), Reason> {
        let most = self.settings.max_tasks_per_job;
        if job.tasks == 0 || job.tasks > most {
            return Err(Reason::Tasks { found: job.tasks, most });
        }
        if !self.config.classes.contains_key(&job.class) {
            return Err(Reason::Class(job.class.clone()));
        }
        if !self.config.teams.contains_key(&job.team) {
            return Err(Reason::Team(job.team.clone()));
        }
        Ok(())
    }

    /// Returns an entry for a job with all tasks in `state`.
    pub(super) fn new_entry(&mut self, at: Time, job: Job, state: State) -> jobs::Entry {
        let class = self.config.classes.get(&job.class);
        let size = job.size.or(class.map(|class| class.size)).unwrap_or_default();
        let run_time = job.run_time().or(class.map(|class| class.run_time)).unwrap_or_default();
        let service = class.is_some_and(|class| class.service);
        let declared = class.map(|class| at + class.deadline).filter(|_| !service);
        let deadline = job.deadline.or(declared).unwrap_or(Time::MAX);
        jobs::Entry {
            submitted_at: at,
            deadline,
            class: self.class_of(&job.class),
            team: self.team_of(&job.team),
            size,
            run_time,
            tasks: vec![Task::new(state, at); job.tasks as usize],
            ready: BTreeSet::new(),
            unfinished: job.tasks,
            durable: false,
            reconciled: true,
            cancelling: false,
            cancelled: false,
            missed: false,
            miss_durable: false,
            ending: false,
            hops: 0,
            handover: Handover::NotStarted,
            parked: None,
            requests: Vec::new(),
            spread: BTreeMap::new(),
            queue_position: None,
            last_reclaim_at: None,
            pending_reclaims: Vec::new(),
            job,
        }
    }

    /// Accepts a job whose record is durable and answers the requests for it.
    pub(super) fn accept(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        entry.durable = true;
        for task in &mut entry.tasks {
            task.apply(Input::Durable);
        }
        self.counts.accepted += 1;
        self.admit_job(now, key, out);
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        let reply = accepted(entry);
        for request in std::mem::take(&mut entry.requests) {
            out.push(Command::Reply { request, reply: reply.clone() });
        }
    }

    /// Queues or parks the tasks of a durable job and sets a timer for its deadline.
    pub(super) fn admit_job(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry(key) else { return };
        if entry.deadline < Time::MAX && !entry.missed {
            self.timer.set(entry.deadline, TimerAction::CheckDeadline(key));
        }
        self.park_or_queue(now, key, out);
    }

    /// Queues the tasks of a job, or parks them if they can't run on any worker.
    pub(super) fn park_or_queue(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry(key) else { return };
        if !entry.durable
            || !entry.reconciled
            || entry.cancelled
            || entry.handover != Handover::NotStarted
        {
            return;
        }
        let check = self.check_declared(&entry.job).and_then(|()| self.check_runnable(&entry.job));
        let input = if check.is_ok() { Input::Queue } else { Input::Park };
        let name = entry.job.name.clone();
        self.report_parked(key, check.err(), name, out);
        self.for_each_task(key, |cell, task| cell.apply_input(now, task, input));
    }

    fn report_parked(
        &mut self,
        key: key::Job,
        reason: Option<Reason>,
        job: JobName,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        let before = std::mem::replace(&mut entry.parked, reason.clone());
        match (before, reason) {
            (None, Some(reason)) => {
                self.counts.parked_jobs += 1;
                out.push(Command::Decision(Decision::Parked { job, reason }));
            }
            (Some(_), None) => {
                self.counts.parked_jobs -= 1;
                out.push(Command::Decision(Decision::Unparked { job }));
            }
            _ => {}
        }
    }

    pub(super) fn for_each_task(
        &mut self,
        key: key::Job,
        mut act: impl FnMut(&mut Self, key::Task),
    ) {
        let count = self.jobs.entry(key).map_or(0, |entry| entry.tasks.len() as u32);
        for index in 0..count {
            act(self, key::Task::new(key, index));
        }
    }

    pub(super) fn reject_job(&mut self, key: key::Job, reason: &Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.remove(key) else { return };
        for request in entry.requests {
            out.push(Command::Reply { request, reply: Reply::NotRun(reason.clone()) });
        }
    }

    pub(super) fn cancel(&mut self, job: &JobName, request: RequestId, out: &mut Vec<Command>) {
        let reply = match self.check_cancel(job) {
            Ok(key) => {
                if let Some(entry) = self.jobs.entry_mut(key) {
                    entry.cancelling = true;
                }
                let effect = Effect::Cancel(key, request);
                self.journal(Entry::Cancelled(job.clone()), effect, out);
                return;
            }
            Err(reply) => reply,
        };
        out.push(Command::Reply { request, reply });
    }

    fn check_cancel(&self, job: &JobName) -> Result<key::Job, Reply> {
        if let Some(ended) = self.ended.get(job) {
            return Err(Reply::Ended(ended.outcome));
        }
        let Some(key) = self.jobs.find(job) else { return Err(Reply::Unknown) };
        let Some(entry) = self.jobs.entry(key) else { return Err(Reply::Unknown) };
        if entry.cancelled {
            return Err(Reply::Cancelled);
        }
        if entry.handover != Handover::NotStarted {
            return Err(Reply::Ended(Outcome::Moved));
        }
        if self.writer.is_store_down() {
            return Err(Reply::NotCancelled(Reason::StoreDown));
        }
        Ok(key)
    }

    /// Cancels the tasks of a job whose cancellation is durable.
    pub(super) fn apply_cancellation(
        &mut self,
        now: Time,
        key: key::Job,
        request: RequestId,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::Reply { request, reply: Reply::Cancelled });
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        entry.cancelled = true;
        self.for_each_task(key, |cell, task| cell.cancel_task(now, task));
        self.end_if_done(now, key, out);
    }

    pub(super) fn deadline_passed(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        if entry.missed || entry.cancelled || entry.unfinished == 0 || now < entry.deadline {
            return;
        }
        if entry.handover != Handover::NotStarted {
            // The receiver of the job counts the miss.
            return;
        }
        entry.missed = true;
        let miss = DeadlineMiss {
            job: entry.job.name.clone(),
            class: entry.job.class.clone(),
            team: entry.job.team.clone(),
            deadline: entry.deadline,
        };
        self.counts.missed += 1;
        let record = Entry::Missed(miss.job.clone());
        out.push(Command::DeadlineMissed(miss));
        self.journal(record, Effect::Miss(key), out);
    }

    /// Ends a job if all of its tasks have ended.
    pub(super) fn end_if_done(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        if entry.unfinished > 0 || entry.ending {
            return;
        }
        entry.ending = true;
        self.end_job(now, key, out);
    }

    pub(super) fn end_job(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry(key) else { return };
        let failed = entry.tasks.iter().any(|task| task.state == State::Failed);
        let outcome = match (&entry.handover, entry.cancelled, failed) {
            (Handover::Offered(_), _, _) => Outcome::Moved,
            (_, true, _) => Outcome::Cancelled,
            (_, false, true) => Outcome::Failed,
            (_, false, false) => Outcome::Finished,
        };
        let (job, hops) =
            (entry.job.name.clone(), entry.hops + u32::from(outcome == Outcome::Moved));
        self.record_end(now, job.clone(), outcome, hops);
        out.push(Command::Decision(Decision::Ended { job: job.clone(), outcome }));
        self.journal(Entry::Ended { job, outcome }, Effect::RemoveJob(key), out);
    }

    pub(super) fn record_end(&mut self, now: Time, job: JobName, outcome: Outcome, hops: u32) {
        let expires_at = now + self.settings.ended_job_retention;
        if self.ended.is_empty() {
            self.timer.set(expires_at, TimerAction::PurgeEnded);
        }
        self.ended.insert(job, Ended { outcome, expires_at, hops });
    }

    pub(super) fn purge_ended(&mut self, now: Time) {
        self.ended.retain(|_, ended| ended.expires_at > now);
        if !self.ended.is_empty() {
            self.timer
                .set(now + self.settings.ended_job_retention.scale(0.1), TimerAction::PurgeEnded);
        }
    }

    /// Removes a job whose end is durable.
    pub(super) fn remove_job(&mut self, key: key::Job) {
        if let Some(entry) = self.jobs.remove(key)
            && entry.parked.is_some()
        {
            self.counts.parked_jobs -= 1;
        }
    }

    /// Refuses a request that arrives after the cell was superseded.
    pub(super) fn refuse_superseded(&self, event: Event, out: &mut Vec<Command>) {
        let (request, reply) = match event {
            Event::Submit { request, .. } => (request, Reply::NotRun(Reason::Superseded)),
            Event::Cancel { request, .. } => (request, Reply::NotCancelled(Reason::Superseded)),
            _ => return,
        };
        out.push(Command::Reply { request, reply });
    }
}

fn accepted(entry: &jobs::Entry) -> Reply {
    match &entry.parked {
        Some(reason) => Reply::Parked(reason.clone()),
        None => Reply::Accepted,
    }
}

impl super::Counts {
    fn waiting_of(&self, urgency: Urgency) -> u64 {
        self.waiting.get(&urgency).copied().unwrap_or(0)
    }
}
