//! Journal records in flight and the effects that wait for them.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, Incarnation};

use super::{Cell, Command, Reply, key};
use crate::job::{Reason, RequestId};
use crate::journal::{Entry, Record};
use crate::worker::{Admission, Token};

/// The effect of a record once it is durable.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    None,
    Accept(key::Job),
    Admit(key::Worker, Option<Incarnation>),
    AllowAck(key::Worker, Token),
    Cancel(key::Job, RequestId),
    RemoveJob(key::Job),
    Miss(key::Job),
    Offer(key::Job),
    Receive(key::Job, DomainName),
}

/// Assigns sequence numbers to records and keeps their effects until they are durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writer {
    pub(crate) sequence: u64,
    pub(crate) durable: u64,
    waiting: BTreeMap<u64, Effect>,
    store_down: bool,
}

impl Writer {
    pub(crate) const fn set_available(&mut self, up: bool) {
        self.store_down = !up;
    }

    pub(crate) const fn is_store_down(&self) -> bool {
        self.store_down
    }

    pub(crate) const fn start_after(&mut self, sequence: u64) {
        self.sequence = sequence;
        self.durable = sequence;
    }

    fn next(&mut self, effect: Effect) -> u64 {
        self.sequence += 1;
        self.waiting.insert(self.sequence, effect);
        self.sequence
    }

    fn pop_durable(&mut self) -> Option<Effect> {
        let ready = self.waiting.first_key_value().is_some_and(|(at, _)| *at <= self.durable);
        if !ready {
            return None;
        }
        self.waiting.pop_first().map(|(_, effect)| effect)
    }
}

impl Cell {
    pub(super) fn journal(&mut self, entry: Entry, effect: Effect, out: &mut Vec<Command>) {
        let sequence = self.writer.next(effect);
        out.push(Command::Journal(Record { sequence, entry }));
    }

    pub(super) fn records_durable(&mut self, now: Time, sequence: u64, out: &mut Vec<Command>) {
        self.writer.durable = self.writer.durable.max(sequence);
        while let Some(effect) = self.writer.pop_durable() {
            self.apply_effect(now, effect, out);
        }
    }

    fn apply_effect(&mut self, now: Time, effect: Effect, out: &mut Vec<Command>) {
        match effect {
            Effect::None => {}
            Effect::Accept(job) => self.accept(now, job, out),
            Effect::Admit(worker, incarnation) => self.admit(now, worker, incarnation),
            Effect::AllowAck(worker, token) => self.allow_ack_and_send(worker, token),
            Effect::Cancel(job, request) => self.apply_cancellation(now, job, request, out),
            Effect::RemoveJob(job) => self.remove_job(job),
            Effect::Miss(job) => self.miss_is_durable(job),
            Effect::Offer(job) => self.offer(now, job, out),
            Effect::Receive(job, from) => self.transfer_durable(now, job, from, out),
        }
    }

    pub(super) fn record_not_durable(&mut self, now: Time, sequence: u64, out: &mut Vec<Command>) {
        let Some(effect) = self.writer.waiting.remove(&sequence) else { return };
        match effect {
            Effect::Accept(job) => self.reject_job(job, &Reason::NotWritten, out),
            Effect::Cancel(job, request) => self.not_cancelled(job, request, out),
            Effect::Receive(job, _) => {
                self.jobs.remove(job);
            }
            // The other records state facts and are written again.
            Effect::Admit(worker, _) => self.admission_failed(worker),
            Effect::AllowAck(worker, token) => self.rejournal_phase(now, worker, token, out),
            Effect::RemoveJob(job) => self.end_job(now, job, out),
            Effect::Miss(job) => self.rejournal_miss(job, out),
            Effect::Offer(job) => self.cancel_handover(now, job),
            Effect::None => {}
        }
    }

    fn miss_is_durable(&mut self, job: key::Job) {
        if let Some(entry) = self.jobs.entry_mut(job) {
            entry.miss_durable = true;
        }
    }

    fn rejournal_miss(&mut self, job: key::Job, out: &mut Vec<Command>) {
        if let Some(entry) = self.jobs.entry(job) {
            let record = Entry::Missed(entry.job.name.clone());
            self.journal(record, Effect::Miss(job), out);
        }
    }

    fn admit(&mut self, now: Time, worker: key::Worker, incarnation: Option<Incarnation>) {
        if let Some(entry) = self.workers.entry_mut(worker) {
            entry.recorded = true;
            if entry.incarnation == incarnation {
                entry.admission = Admission::Durable;
            }
        }
        self.workers.reindex(worker, now, self.settings.max_report_age);
        self.capacity_freed = true;
    }

    /// Clears the incarnation, so that the next report requests the admission again.
    fn admission_failed(&mut self, worker: key::Worker) {
        if let Some(entry) = self.workers.entry_mut(worker) {
            entry.admission = Admission::None;
            entry.incarnation = None;
        }
    }

    pub(super) fn request_admission(&mut self, worker: key::Worker, out: &mut Vec<Command>) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        entry.admission = Admission::Pending;
        let (name, incarnation) = (entry.name.clone(), entry.incarnation);
        self.journal(Entry::Admitted(name), Effect::Admit(worker, incarnation), out);
    }

    fn allow_ack_and_send(&mut self, worker: key::Worker, token: Token) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        if let Some(assignment) = entry.assignments.get_mut(&token) {
            assignment.acknowledge_allowed = true;
            assignment.command_sent = false;
            self.pending_send.insert(worker);
        }
    }

    fn not_cancelled(&mut self, job: key::Job, request: RequestId, out: &mut Vec<Command>) {
        if let Some(entry) = self.jobs.entry_mut(job) {
            entry.cancelling = false;
        }
        let reply = Reply::NotCancelled(Reason::NotWritten);
        out.push(Command::Reply { request, reply });
    }
}
