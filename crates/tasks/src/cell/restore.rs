//! Takeover: replay of snapshot and journal, and reconciliation with the workers.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::JobName;

use super::jobs::{self, Handover};
use super::timer::TimerAction;
use super::{Cell, Command, Ended, key};
use crate::job::Outcome;
use crate::journal::{self, Entry, Record, Snapshot, Transfer};
use crate::life::{Input, State};

impl Cell {
    /// Restores the durable state of former owners.
    ///
    /// An [`Event::Configured`](super::Event::Configured) must have been handled before.
    /// Records that the snapshot includes are skipped.
    pub fn restore(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        records: impl IntoIterator<Item = Record>,
        out: &mut Vec<Command>,
    ) {
        let mut sequence = snapshot.sequence;
        for worker in &snapshot.workers {
            self.restore_worker(now, worker);
        }
        for (name, ended) in snapshot.ended {
            let expires_at = Time::from_ms(ended.until_ms);
            self.ended.insert(name, Ended { outcome: ended.outcome, expires_at, hops: ended.hops });
        }
        for transfer in snapshot.jobs {
            self.restore_job(transfer);
        }
        for record in records.into_iter().filter(|record| record.sequence > snapshot.sequence) {
            sequence = sequence.max(record.sequence);
            self.replay(now, record.entry);
        }
        self.writer.start_after(sequence);
        self.timer.set(now + self.settings.ended_job_retention.scale(0.1), TimerAction::PurgeEnded);
        self.resume_jobs(now, out);
    }

    fn restore_worker(&mut self, now: Time, name: &sycamorerill_core::id::WorkerName) {
        let key = self.workers.add(name, now);
        if let Some(entry) = self.workers.entry_mut(key) {
            entry.recorded = true;
        }
        self.unfenced.insert(key);
        self.pending_send.insert(key);
    }

    fn restore_job(&mut self, transfer: Transfer) -> key::Job {
        let mut entry = self.new_entry(transfer.at, transfer.job.clone(), State::Accepted);
        entry.durable = true;
        entry.reconciled = false;
        entry.hops = transfer.hops;
        entry.missed = transfer.missed;
        entry.miss_durable = transfer.missed;
        entry.cancelled = transfer.cancelled;
        entry.handover = transfer.moving.map_or(Handover::NotStarted, Handover::Offered);
        entry.restore_progress(&transfer.tasks);
        self.jobs.insert(entry)
    }

    fn replay(&mut self, now: Time, entry: Entry) {
        match entry {
            Entry::Admitted(worker) => self.restore_worker(now, &worker),
            Entry::Retired(worker) => {
                if let Some(key) = self.workers.find(&worker) {
                    self.workers.remove(key);
                    self.unfenced.remove(&key);
                    self.pending_send.remove(&key);
                }
            }
            Entry::Accepted { job, at } => {
                self.restore_job(Transfer::new(job, at));
            }
            Entry::Received(transfer) => {
                let transfer = Transfer { moving: None, ..*transfer };
                self.ended.remove(&transfer.job.name);
                self.restore_job(transfer);
            }
            Entry::Finished { job, task } => self.replay_task(&job, task, |task| {
                task.state = State::Finished;
            }),
            Entry::Attempts { job, task, count, crashes, last } => {
                self.replay_task(&job, task, |task| {
                    task.attempts = count;
                    task.crashes = crashes;
                    if last {
                        task.state = State::Failed;
                    }
                })
            }
            Entry::Checkpointed { job, task, checkpoint } => {
                self.replay_task(&job, task, |task| task.checkpoint = Some(checkpoint));
            }
            Entry::Cancelled(job) => self.replay_job(&job, |entry| entry.cancelled = true),
            Entry::Missed(job) => self.replay_job(&job, |entry| {
                entry.missed = true;
                entry.miss_durable = true;
            }),
            Entry::Moving { job, to } => {
                self.replay_job(&job, |entry| entry.handover = Handover::Offered(to));
            }
            Entry::Ended { job, outcome } => self.replay_end(now, job, outcome),
        }
    }

    fn replay_job(&mut self, name: &JobName, act: impl FnOnce(&mut jobs::Entry)) {
        let Some(key) = self.jobs.find(name) else { return };
        if let Some(entry) = self.jobs.entry_mut(key) {
            act(entry);
        }
    }

    fn replay_task(&mut self, name: &JobName, index: u32, act: impl FnOnce(&mut jobs::Task)) {
        self.replay_job(name, |entry| {
            if let Some(task) = entry.tasks.get_mut(index as usize)
                && !task.state.is_final()
            {
                act(task);
                entry.unfinished -= u32::from(task.state.is_final());
            }
        });
    }

    fn replay_end(&mut self, now: Time, job: JobName, outcome: Outcome) {
        let entry = self.jobs.find(&job).and_then(|key| self.jobs.remove(key));
        let hops = entry.map_or(0, |entry| entry.hops) + u32::from(outcome == Outcome::Moved);
        self.record_end(now, job, outcome, hops);
    }

    fn resume_jobs(&mut self, now: Time, out: &mut Vec<Command>) {
        for key in self.jobs.keys() {
            self.resume_job(now, key, out);
        }
        self.reconcile(now, out);
        self.send_pending(now, out);
    }

    fn resume_job(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry(key) else { return };
        for task in &entry.tasks {
            *self.counts.states.entry(task.state).or_default() += 1;
        }
        let (cancelled, handover) = (entry.cancelled, entry.handover.clone());
        if cancelled {
            self.for_each_task(key, |cell, task| cell.apply_input(now, task, Input::Cancel));
        }
        if handover != Handover::NotStarted {
            self.repeat_offer(now, key, out);
        } else {
            self.admit_job(now, key, out);
        }
        self.end_if_done(now, key, out);
    }

    /// Releases the jobs of former owners for placement once no worker can hold an unknown
    /// task.
    pub(super) fn reconcile(&mut self, now: Time, out: &mut Vec<Command>) {
        if !self.is_reconciled() || std::mem::replace(&mut self.reconciled, true) {
            return;
        }
        for key in self.jobs.keys() {
            if let Some(entry) = self.jobs.entry_mut(key) {
                entry.reconciled = true;
            }
            self.park_or_queue(now, key, out);
            self.for_each_task(key, |cell, task| cell.make_ready(now, task));
        }
    }

    /// Sets the instant at which leases of the former owner lapse, as its process is gone and
    /// renews none.
    pub(super) fn predecessor_gone(&mut self, now: Time) {
        let lapse_at = now + self.lease();
        for key in self.unfenced.clone() {
            let Some(entry) = self.workers.entry_mut(key) else { continue };
            entry.session.set_lapse_at(lapse_at);
            self.timer.set(lapse_at + self.settings.lease_margin, TimerAction::CheckWorker(key));
        }
    }

    /// Returns the durable state up to the last durable record.
    ///
    /// It may already include facts reported by workers whose records are in flight; replaying
    /// those records is idempotent.
    pub fn snapshot(&self) -> Snapshot {
        let admitted = self.workers.iter().filter(|(_, entry)| entry.recorded);
        let ended = self.ended.iter().filter(|(name, _)| self.jobs.find(name).is_none());
        let ended = ended.map(|(name, ended)| {
            let until_ms = ended.expires_at.as_ms();
            let Ended { outcome, hops, .. } = *ended;
            (name.clone(), journal::Ended { outcome, until_ms, hops })
        });
        let jobs = self.jobs.iter().filter(|(_, entry)| entry.durable);
        Snapshot {
            sequence: self.writer.durable,
            workers: admitted.map(|(_, entry)| entry.name.clone()).collect(),
            jobs: jobs.map(|(_, entry)| entry.transfer()).collect(),
            ended: ended.collect::<BTreeMap<_, _>>(),
        }
    }
}
