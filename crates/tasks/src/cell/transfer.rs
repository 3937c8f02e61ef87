//! Handover of jobs from one cell to another.
//!
//! The sender journals the handover before it offers the job and never withdraws an
//! offer. The receiver journals the job before it confirms. Each handover increases
//! the number of hops, by which the receiver detects a repeated offer of an earlier
//! handover.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, JobName};

use super::jobs::Handover;
use super::timer::TimerAction;
use super::writer::Effect;
use super::{Cell, Command, key};
use crate::journal::{Entry, Transfer};
use crate::life::{Input, State};

impl Cell {
    /// Starts the handover of a job none of whose tasks can be on a worker.
    pub(super) fn start_handover(
        &mut self,
        name: &JobName,
        to: &DomainName,
        out: &mut Vec<Command>,
    ) {
        let Some(key) = self.jobs.find(name) else { return };
        let down = self.writer.is_store_down();
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        let not_ending =
            entry.handover == Handover::NotStarted && !entry.cancelling && !entry.cancelled;
        let movable = entry.durable && entry.reconciled && entry.unfinished > 0 && entry.is_idle();
        if down || !not_ending || !movable || *to == self.domain {
            return;
        }
        entry.handover = Handover::Recording(to.clone());
        entry.ready.clear();
        self.dequeue(key);
        let record = Entry::Moving { job: name.clone(), to: to.clone() };
        self.journal(record, Effect::Offer(key), out);
    }

    /// Offers a job whose handover is durable.
    pub(super) fn offer(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        if let Some(entry) = self.jobs.entry_mut(key)
            && let Handover::Recording(to) = entry.handover.clone()
        {
            entry.handover = Handover::Offered(to);
        }
        self.repeat_offer(now, key, out);
    }

    pub(super) fn repeat_offer(&mut self, now: Time, key: key::Job, out: &mut Vec<Command>) {
        let Some(entry) = self.jobs.entry(key) else { return };
        let Handover::Offered(to) = entry.handover.clone() else { return };
        let mut transfer = entry.transfer();
        transfer.moving = None;
        transfer.hops += 1;
        out.push(Command::OfferHandover { to, transfer: Box::new(transfer) });
        self.timer.set(now + self.settings.heartbeat_interval, TimerAction::RepeatOffer(key));
    }

    /// Cancels a handover whose record was not written.
    pub(super) fn cancel_handover(&mut self, now: Time, key: key::Job) {
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        entry.handover = Handover::NotStarted;
        self.for_each_task(key, |cell, task| cell.make_ready(now, task));
    }

    /// Ends a job whose receiver has confirmed the handover.
    pub(super) fn handover_confirmed(&mut self, now: Time, name: &JobName, out: &mut Vec<Command>) {
        let Some(key) = self.jobs.find(name) else { return };
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        if !matches!(entry.handover, Handover::Offered(_)) || entry.ending {
            return;
        }
        entry.ending = true;
        self.for_each_task(key, |cell, task| cell.apply_input(now, task, Input::Cancel));
        self.end_job(now, key, out);
    }

    /// Handles the offer of a job by another cell.
    pub(super) fn receive_offer(
        &mut self,
        from: DomainName,
        transfer: Transfer,
        out: &mut Vec<Command>,
    ) {
        let name = transfer.job.name.clone();
        if self.ended.get(&name).is_some_and(|ended| transfer.hops <= ended.hops) {
            out.push(Command::ConfirmHandover { to: from, job: name });
            return;
        }
        if let Some(entry) = self.jobs.find(&name).and_then(|key| self.jobs.entry(key)) {
            if entry.durable && entry.hops >= transfer.hops {
                out.push(Command::ConfirmHandover { to: from, job: name });
            }
            return;
        }
        if self.writer.is_store_down() {
            return;
        }
        let mut entry = self.new_entry(transfer.at, transfer.job.clone(), State::Submitted);
        entry.hops = transfer.hops;
        entry.missed = transfer.missed;
        entry.miss_durable = transfer.missed;
        entry.restore_progress(&transfer.tasks);
        let key = self.jobs.insert(entry);
        let record = Entry::Received(Box::new(transfer));
        self.journal(record, Effect::Receive(key, from), out);
    }

    /// Accepts a received job whose record is durable and confirms it to the sender.
    pub(super) fn transfer_durable(
        &mut self,
        now: Time,
        key: key::Job,
        from: DomainName,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.jobs.entry_mut(key) else { return };
        let name = entry.job.name.clone();
        self.ended.remove(&name);
        self.accept(now, key, out);
        out.push(Command::ConfirmHandover { to: from, job: name });
        self.end_if_done(now, key, out);
    }
}
