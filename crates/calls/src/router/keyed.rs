//! Calls with an idempotency key: journaled before they are sent.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{CallId, InstanceName};

use super::entry::State;
use super::wake::Timer;
use super::{Command, Outcome, Reason, Refusal, Router, Why};
use crate::keys::{End, Found, Record, Shard};

impl Router {
    pub(crate) fn keys_owned(&mut self, now: Time, shard: Shard, records: Vec<Record>) {
        self.key_owners.remove(&shard);
        self.ledger.restore(now, shard, records);
    }

    pub(crate) fn keys_moved(
        &mut self,
        shard: Shard,
        owner: Option<InstanceName>,
        out: &mut Vec<Command>,
    ) {
        for call in self.ledger.release(shard) {
            out.push(Command::Forget { call });
        }
        let other = owner.filter(|owner| Some(owner) != self.settings.instance.as_ref());
        match other {
            Some(owner) => drop(self.key_owners.insert(shard, owner)),
            None => drop(self.key_owners.remove(&shard)),
        }
    }

    /// Begins a call whose key decides whether it may run.
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
            Found::New(record) => {
                self.set_state(id, State::Journaling);
                if let Some(entry) = self.calls.get_mut(&id) {
                    entry.keyed = true;
                }
                self.set_timer(id, deadline, Timer::Deadline(id));
                out.push(Command::Journal { call: id, record });
            }
            Found::Running => {
                self.set_state(id, State::Following);
                self.set_timer(id, deadline, Timer::Deadline(id));
            }
            Found::Answered(first) => self.finish(id, Outcome::Repeat { first }, out),
            Found::EndUnknown => self.finish(id, Outcome::Unknown(Reason::KeyEndUnknown), out),
            Found::Reused => self.refuse(id, Reason::KeyReused, out),
            Found::Full => self.refuse(id, Reason::KeysFull, out),
        }
    }

    /// Forwards a call to the owner of its key.
    ///
    /// Without the owner's ledger nobody can tell whether an earlier call with the
    /// key ran, so a call that does not reach it ends as unknown and not as not run.
    fn forward_to_key_owner(
        &mut self,
        now: Time,
        id: CallId,
        shard: Shard,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.calls.get(&id) else { return };
        if entry.call.hops >= self.settings.max_hops {
            // The instance that the call came from asks again.
            return self.finish(id, Outcome::NotRun(Reason::NoKeyOwner), out);
        }
        match self.key_owners.get(&shard).cloned() {
            Some(owner) => self.forward(now, id, owner, Why::KeyOwner, out),
            None => self.seek(now, id, out),
        }
    }

    fn set_state(&mut self, id: CallId, state: State) {
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.state = state;
        }
    }

    /// Sends a call whose key lasts now, if its caller still waits.
    pub(crate) fn key_durable(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let found = self.calls.get_mut(&id).filter(|entry| entry.state == State::Journaling);
        let Some(entry) = found else { return };
        entry.durable = true;
        // The shard may have been lost since, and won back with another call's record.
        if self.ledger.is_running(id) {
            self.place(now, id, Why::Ranked, out);
        } else {
            self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out);
        }
    }

    /// Ends a call whose key could not be made to last.
    ///
    /// When the shard has another owner, an earlier call with the key may have run
    /// there, so that owner is asked. When the store is down this request has not
    /// run, and an earlier one with the key has not either, unless the shard was lost
    /// unnoticed.
    pub(crate) fn key_refused(
        &mut self,
        now: Time,
        id: CallId,
        refusal: Refusal,
        out: &mut Vec<Command>,
    ) {
        let journaling = self.calls.get(&id).is_some_and(|entry| entry.state == State::Journaling);
        match refusal {
            _ if !journaling => {}
            Refusal::Down => self.refuse_unkept(id, out),
            Refusal::Fenced => self.seek_with_followers(now, id, out),
        }
    }

    /// Looks for the new owner of a key whose first record was not written.
    fn seek_with_followers(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        // Nothing was written, so the end of the key needs no record either.
        let ended = self.ledger.end(id, End::NotRun);
        let followers = ended.map(|(_, followers)| followers).unwrap_or_default();
        self.seek(now, id, out);
        for follower in followers {
            self.seek(now, follower, out);
        }
    }

    /// Ends a call whose key is not known to last.
    ///
    /// If the shard was lost since, an earlier call may have run elsewhere.
    pub(crate) fn refuse_unkept(&mut self, id: CallId, out: &mut Vec<Command>) {
        if self.ledger.is_running(id) {
            self.refuse(id, Reason::StoreDown, out);
        } else {
            self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out);
        }
    }
}
