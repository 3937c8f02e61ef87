//! How calls come to an end.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::CallId;

use super::entry::State;
use super::{Choice, Command, Decision, Outcome, Reason, Router, Why};
use crate::keys::End;

impl Router {
    /// Ends a call that has not run and has no request out.
    pub(crate) fn refuse(&mut self, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        if entry.may_have_run {
            return self.finish(id, Outcome::Unknown(Reason::AnswerLost), out);
        }
        let reason = entry.refusal.unwrap_or(reason);
        let choice = Choice::Refuse(reason);
        out.push(Command::Decision(Decision { call: id, choice, why: Why::Refused }));
        self.finish(id, Outcome::NotRun(reason), out);
    }

    /// Tells the caller the outcome, once, and records the end of the call's key.
    pub(crate) fn finish(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Command>) {
        self.clear_timer(id);
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if entry.state != State::Told {
            entry.state = State::Told;
            out.push(Command::Reply { call: id, outcome });
        }
        let (keyed, open) = (entry.keyed, entry.open);
        if keyed {
            self.end_key(id, outcome, open, out);
        }
        if open == 0 {
            self.calls.remove(&id);
        }
    }

    fn end_key(&mut self, id: CallId, outcome: Outcome, open: u32, out: &mut Vec<Command>) {
        let end = match outcome {
            Outcome::Answered { .. } | Outcome::Repeat { .. } => End::Answered,
            Outcome::NotRun(_) => End::NotRun,
            Outcome::Unknown(_) if open > 0 => return,
            Outcome::Unknown(_) => End::Unknown,
        };
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.keyed = false;
        let durable = entry.durable;
        let Some((record, followers)) = self.ledger.end(id, end) else { return };
        // An end without its beginning could be taken for that of another call.
        if durable {
            out.push(Command::Journal { call: id, record });
        }
        for follower in followers {
            self.end_follower(follower, id, outcome, out);
        }
        while let Some(call) = self.ledger.surplus_answer() {
            out.push(Command::Forget { call });
        }
    }

    fn end_follower(
        &mut self,
        id: CallId,
        first: CallId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let following = self.calls.get(&id).is_some_and(|entry| entry.state == State::Following);
        if !following {
            return;
        }
        let outcome = match outcome {
            Outcome::Answered { .. } | Outcome::Repeat { .. } => Outcome::Repeat { first },
            Outcome::NotRun(reason) => Outcome::NotRun(reason),
            Outcome::Unknown(_) => Outcome::Unknown(Reason::KeyEndUnknown),
        };
        self.finish(id, outcome, out);
    }

    /// Ends a call whose caller went away: nothing is told, what is out stays counted.
    pub(crate) fn abandoned(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if entry.state == State::Told {
            return;
        }
        let state = std::mem::replace(&mut entry.state, State::Told);
        match state {
            State::Told => {}
            State::Sent => self.clear_timer(id),
            State::Following | State::Seeking => {
                self.finish(id, Outcome::NotRun(Reason::Deadline), out);
            }
            State::Journaling => self.finish(id, Outcome::NotRun(Reason::StoreDown), out),
            State::Waiting { flow, seq } => {
                let name = entry.call.service.clone();
                if let Some(service) = self.services.get_mut(&name) {
                    service.queue.remove(now, flow, seq);
                }
                self.finish(id, Outcome::NotRun(Reason::Deadline), out);
            }
        }
    }
}
