//! What came of requests to executors and peers.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Attempt, CallId, ServiceName};

use super::entry::{State, Target};
use super::wake::Timer;
use super::{Answer, Command, Outcome, PeerAnswer, Reason, Router, Why};
use crate::fleet::{Evidence, Index};

/// Lowest status that counts as an error of the executor.
const FIRST_ERROR_STATUS: u16 = 500;

impl Router {
    pub(crate) fn answered(
        &mut self,
        now: Time,
        id: CallId,
        attempt: Attempt,
        answer: Answer,
        out: &mut Vec<Command>,
    ) {
        let Some(flight) = self.flights.remove(&(id, attempt)) else { return };
        let Target::Executor(index) = flight.target else { return };
        let service = self.fleet.executor(index).and_then(|executor| executor.service.clone());
        self.free_slot(now, index, &service, answer);
        let latency = now.since(flight.sent);
        let evidence = match answer {
            Answer::Whole { status } if status >= FIRST_ERROR_STATUS => Evidence::Error(latency),
            Answer::Whole { .. } => Evidence::Good(latency),
            Answer::Refused | Answer::NotSent => Evidence::Refused,
            Answer::Unknown | Answer::Expired => Evidence::Lost,
        };
        let timed = matches!(evidence, Evidence::Good(_) | Evidence::Error(_));
        if !timed || flight.sent >= self.resumed {
            self.learn(now, index, &service, evidence);
        }
        self.end_attempt(now, id, attempt, answer, out);
        self.finish_release(index, out);
        if let Some(service) = service {
            self.pump(now, &service, out);
            self.refuse_stuck(now, &service, out);
            self.announce_free(now, &service, out);
        }
    }

    /// Gives the slot of an ended request free, unless the request may still be running.
    fn free_slot(
        &mut self,
        now: Time,
        index: Index,
        service: &Option<ServiceName>,
        answer: Answer,
    ) {
        let may_run_until = match answer {
            Answer::Unknown => Some(self.longest_end(now, service.as_ref())),
            Answer::Whole { .. } | Answer::Refused | Answer::NotSent | Answer::Expired => None,
        };
        self.fleet.change(index, |executor| {
            executor.in_flight = executor.in_flight.saturating_sub(1);
            executor.held += u32::from(may_run_until.is_some());
        });
        if let Some(until) = may_run_until {
            let timer = Timer::hold(index, 1, self.next_timer());
            self.timers.insert((until, timer));
        }
    }

    fn learn(
        &mut self,
        now: Time,
        index: Index,
        service: &Option<ServiceName>,
        evidence: Evidence,
    ) {
        let kept = service.as_ref().and_then(|name| self.services.get_mut(name));
        let mut mean_ms = 0.0;
        if let Some(kept) = kept {
            if let Evidence::Good(latency) = evidence {
                kept.latency.add(latency);
            }
            mean_ms = kept.latency.mean().as_ms_f64();
        }
        if let Some(next) = self.fleet.learn(now, index, evidence, mean_ms) {
            self.timers.insert((next, Timer::Check(index)));
        }
    }

    fn end_attempt(
        &mut self,
        now: Time,
        id: CallId,
        attempt: Attempt,
        answer: Answer,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.open = entry.open.saturating_sub(1);
        match answer {
            Answer::Whole { .. } => self.finish(id, Outcome::Answered { attempt }, out),
            Answer::Refused => self.not_run(now, id, Reason::Refused, out),
            Answer::NotSent => self.not_run(now, id, Reason::NotSent, out),
            Answer::Unknown | Answer::Expired => self.lost(now, id, Reason::AnswerLost, out),
        }
    }

    pub(crate) fn peer_answered(
        &mut self,
        now: Time,
        id: CallId,
        attempt: Attempt,
        answer: PeerAnswer,
        out: &mut Vec<Command>,
    ) {
        let Some(flight) = self.flights.remove(&(id, attempt)) else { return };
        let Target::Peer(peer) = flight.target else { return };
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.open = entry.open.saturating_sub(1);
        let service = entry.call.service.clone();
        self.peers.answered(&peer, &service);
        match answer {
            PeerAnswer::Answered { .. } | PeerAnswer::Repeat { .. } => {
                self.finish(id, Outcome::Answered { attempt }, out);
            }
            PeerAnswer::NotRun(reason) => {
                self.peers.full(&peer, &service);
                self.not_run_by_peer(now, id, reason, out);
            }
            PeerAnswer::NotSent => {
                self.peers.full(&peer, &service);
                self.not_run_by_peer(now, id, Reason::NotSent, out);
            }
            PeerAnswer::Unknown => self.lost(now, id, Reason::PeerUnknown, out),
        }
    }

    /// Goes on with a call after an attempt that is proved not to have run.
    fn not_run(&mut self, now: Time, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if entry.open > 0 {
            return;
        }
        if entry.state == State::Told {
            return self.finish(id, Outcome::NotRun(reason), out);
        }
        let nowhere = matches!(reason, Reason::NotSent | Reason::NoKeyOwner);
        if entry.needs_key() && !entry.keyed && nowhere {
            return self.seek(now, id, out);
        }
        entry.refusal = Some(reason);
        if self.may_retry(now, id) {
            return self.place(now, id, Why::Retry, out);
        }
        self.refuse(id, reason, out);
    }

    /// Goes on with a call that a peer did not run, which cost no executor anything.
    fn not_run_by_peer(&mut self, now: Time, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let elsewhere = matches!(reason, Reason::NoExecutor | Reason::NotSent);
        let key_owner_said_so = entry.needs_key() && !entry.keyed;
        let waits = entry.open == 0 && entry.state != State::Told;
        let again = entry.attempts < self.settings.max_attempts;
        if elsewhere && !key_owner_said_so && waits && again {
            return self.place(now, id, Why::Retry, out);
        }
        self.not_run(now, id, reason, out);
    }

    /// Goes on with a call after an attempt that may have run.
    fn lost(&mut self, now: Time, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.may_have_run = true;
        if entry.open > 0 {
            return;
        }
        let idempotent = entry.call.idempotent && entry.state != State::Told;
        if idempotent && self.may_retry(now, id) {
            return self.place(now, id, Why::Retry, out);
        }
        self.finish(id, Outcome::Unknown(reason), out);
    }

    fn may_retry(&mut self, now: Time, id: CallId) -> bool {
        let Some(entry) = self.calls.get(&id) else { return false };
        let (name, may_have_run) = (entry.call.service.clone(), entry.may_have_run);
        let keyed_elsewhere = entry.needs_key() && !entry.keyed;
        let refusal = entry.refusal;
        if keyed_elsewhere || entry.attempts >= self.settings.max_attempts {
            return false;
        }
        let Some(service) = self.services.get_mut(&name) else { return false };
        let is_load = may_have_run || refusal == Some(Reason::Overload);
        if is_load && service.queue.is_saturated(now) || refusal == Some(Reason::Deadline) {
            return false;
        }
        service.retries.spend()
    }
}
