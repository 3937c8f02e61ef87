//! End of calls: replies to callers and records of keys.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::CallId;

use super::entry::State;
use super::{Cause, Choice, Command, Decision, Outcome, Reason, Router};
use crate::keys::End;

impl Router {
    /// Refuses a call that has no request in flight.
    ///
    /// The outcome is unknown if an earlier attempt may have run.
    pub(crate) fn refuse(&mut self, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        if entry.may_have_run {
            return self.finish(id, Outcome::Unknown(Reason::AnswerLost), out);
        }
        let reason = entry.not_run_reason.unwrap_or(reason);
        let choice = Choice::Refuse(reason);
        out.push(Command::Decision(Decision { call: id, choice, cause: Cause::Refused }));
        self.finish(id, Outcome::NotRun(reason), out);
    }

    /// Reports the outcome to the caller, once, and records the end of the key of the call.
    pub(crate) fn finish(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Command>) {
        self.clear_timer(id);
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if entry.state != State::Replied {
            entry.state = State::Replied;
            out.push(Command::Reply { call: id, outcome });
        }
        let (holds_key, in_flight) = (entry.holds_key, entry.in_flight);
        if holds_key {
            self.end_key(id, outcome, in_flight, out);
        }
        if in_flight == 0 {
            self.calls.remove(&id);
        }
    }

    fn end_key(&mut self, id: CallId, outcome: Outcome, in_flight: u32, out: &mut Vec<Command>) {
        let end = match outcome {
            Outcome::Answered { .. } | Outcome::Repeat { .. } => End::Answered,
            Outcome::NotRun(_) => End::NotRun,
            Outcome::Unknown(_) if in_flight > 0 => return,
            Outcome::Unknown(_) => End::Unknown,
        };
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.holds_key = false;
        let durable = entry.durable;
        let Some((record, waiters)) = self.ledger.end(id, end) else { return };
        // Without the record that begins it, the end could be taken for that of another call.
        if durable {
            out.push(Command::Journal { call: id, record });
        }
        for waiter in waiters {
            self.end_waiter(waiter, id, outcome, out);
        }
        while let Some(call) = self.ledger.evict_answer() {
            out.push(Command::DropAnswer { call });
        }
    }

    fn end_waiter(&mut self, id: CallId, first: CallId, outcome: Outcome, out: &mut Vec<Command>) {
        let awaiting = self.calls.get(&id).is_some_and(|entry| entry.state == State::AwaitingFirst);
        if !awaiting {
            return;
        }
        let outcome = match outcome {
            Outcome::Answered { .. } | Outcome::Repeat { .. } => Outcome::Repeat { first },
            Outcome::NotRun(reason) => Outcome::NotRun(reason),
            Outcome::Unknown(_) => Outcome::Unknown(Reason::KeyEndUnknown),
        };
        self.finish(id, outcome, out);
    }

    /// Ends a call whose caller disconnected; requests in flight remain counted.
    pub(crate) fn abandoned(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if entry.state == State::Replied {
            return;
        }
        let state = std::mem::replace(&mut entry.state, State::Replied);
        match state {
            State::Replied => {}
            State::Sent => self.clear_timer(id),
            State::AwaitingFirst | State::AwaitingKeyOwner => {
                self.finish(id, Outcome::NotRun(Reason::Deadline), out);
            }
            State::Journaling => self.finish(id, Outcome::NotRun(Reason::StoreDown), out),
            State::Queued { flow, seq } => {
                let name = entry.call.service.clone();
                if let Some(service) = self.services.get_mut(&name) {
                    service.queue.remove(now, flow, seq);
                }
                self.finish(id, Outcome::NotRun(Reason::Deadline), out);
            }
        }
    }
}
