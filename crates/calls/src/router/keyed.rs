//! Calls with an idempotency key, which is recorded in the journal before they are sent.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{CallId, InstanceName};

use super::entry::State;
use super::timer::Timer;
use super::{Cause, Command, KeyRecordError, Outcome, Reason, Router};
use crate::keys::{End, KeyStatus, Record, Shard};

impl Router {
    pub(crate) fn key_shard_owned(&mut self, now: Time, shard: Shard, records: Vec<Record>) {
        self.key_owners.remove(&shard);
        self.ledger.restore(now, shard, records);
    }

    pub(crate) fn key_owner_changed(
        &mut self,
        shard: Shard,
        owner: Option<InstanceName>,
        out: &mut Vec<Command>,
    ) {
        for call in self.ledger.release(shard) {
            out.push(Command::DropAnswer { call });
        }
        let other = owner.filter(|owner| Some(owner) != self.settings.instance.as_ref());
        match other {
            Some(owner) => drop(self.key_owners.insert(shard, owner)),
            None => drop(self.key_owners.remove(&shard)),
        }
    }

    /// Looks up the key of a call, which decides whether the call may run.
    pub(crate) fn begin_key(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let Some(key) = entry.call.key.clone() else { return };
        let (service, deadline) = (entry.call.service.clone(), entry.call.deadline);
        let shard = key.shard(self.settings.keys.shards);
        if !self.ledger.owns(shard) {
            return self.forward_to_key_owner(now, id, shard, out);
        }
        let declared = self.config.services.get(&service);
        let retention = declared.map(|service| service.key_retention).unwrap_or_default();
        match self.ledger.begin(now, id, &service, &key, retention) {
            KeyStatus::New(record) => {
                self.set_state(id, State::Journaling);
                if let Some(entry) = self.calls.get_mut(&id) {
                    entry.holds_key = true;
                }
                self.set_timer(id, deadline, Timer::Deadline(id));
                out.push(Command::Journal { call: id, record });
            }
            KeyStatus::Running => {
                self.set_state(id, State::AwaitingFirst);
                self.set_timer(id, deadline, Timer::Deadline(id));
            }
            KeyStatus::Answered(first) => self.finish(id, Outcome::Repeat { first }, out),
            KeyStatus::EndUnknown => self.finish(id, Outcome::Unknown(Reason::KeyEndUnknown), out),
            KeyStatus::Reused => self.refuse(id, Reason::KeyReused, out),
            KeyStatus::Full => self.refuse(id, Reason::KeysFull, out),
        }
    }

    /// Forwards a call to the owner of its key.
    ///
    /// Only the ledger of the owner records whether an earlier call with the key ran. The
    /// outcome of a call that does not reach the owner is therefore unknown, not "not run".
    fn forward_to_key_owner(
        &mut self,
        now: Time,
        id: CallId,
        shard: Shard,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.calls.get(&id) else { return };
        if entry.call.hops >= self.settings.max_hops {
            // The instance that forwarded the call looks for the owner again.
            return self.finish(id, Outcome::NotRun(Reason::NoKeyOwner), out);
        }
        match self.key_owners.get(&shard).cloned() {
            Some(owner) => self.forward(now, id, owner, Cause::KeyOwner, out),
            None => self.await_key_owner(now, id, out),
        }
    }

    fn set_state(&mut self, id: CallId, state: State) {
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.state = state;
        }
    }

    /// Routes a call whose key is now durable, if its caller still waits.
    pub(crate) fn key_durable(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let found = self.calls.get_mut(&id).filter(|entry| entry.state == State::Journaling);
        let Some(entry) = found else { return };
        entry.durable = true;
        // The shard may have been lost in the meantime, and regained with the record of
        // another call.
        if self.ledger.is_running(id) {
            self.route(now, id, Cause::Ranked, out);
        } else {
            self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out);
        }
    }

    /// Handles a call whose key could not be recorded in the journal.
    ///
    /// If the shard has another owner, an earlier call with the key may have run there, so
    /// the call is forwarded to that owner. If the store is down, this call has not run, and
    /// no earlier call with the key has run either, unless the shard was lost unnoticed.
    pub(crate) fn key_not_durable(
        &mut self,
        now: Time,
        id: CallId,
        error: KeyRecordError,
        out: &mut Vec<Command>,
    ) {
        let journaling = self.calls.get(&id).is_some_and(|entry| entry.state == State::Journaling);
        match error {
            _ if !journaling => {}
            KeyRecordError::Unavailable => self.refuse_not_durable(id, out),
            KeyRecordError::Fenced => self.await_key_owner_with_waiters(now, id, out),
        }
    }

    /// Waits for the new owner of a key whose first record was not written, together with the
    /// calls that wait for this one.
    fn await_key_owner_with_waiters(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        // No record begins the call, so none may end it.
        let ended = self.ledger.end(id, End::NotRun);
        let waiters = ended.map(|(_, waiters)| waiters).unwrap_or_default();
        self.await_key_owner(now, id, out);
        for waiter in waiters {
            self.await_key_owner(now, waiter, out);
        }
    }

    /// Ends a call whose key is not known to be durable.
    ///
    /// If the shard was lost in the meantime, an earlier call with the key may have run
    /// elsewhere, so the outcome is unknown.
    pub(crate) fn refuse_not_durable(&mut self, id: CallId, out: &mut Vec<Command>) {
        if self.ledger.is_running(id) {
            self.refuse(id, Reason::StoreDown, out);
        } else {
            self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out);
        }
    }
}
