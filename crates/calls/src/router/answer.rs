//! Results of requests to executors and peers.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Attempt, CallId, ServiceName};

use super::entry::{State, Target};
use super::timer::Timer;
use super::{Cause, Command, Outcome, PeerAnswer, Reason, Router, SendOutcome};
use crate::fleet::{Index, Observation};

/// Lowest status that counts as an error of the executor.
const FIRST_ERROR_STATUS: u16 = 500;

impl Router {
    pub(crate) fn answered(
        &mut self,
        now: Time,
        id: CallId,
        attempt: Attempt,
        answer: SendOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.remove(&(id, attempt)) else { return };
        let Target::Executor(index) = request.target else { return };
        let service = self.fleet.executor(index).and_then(|executor| executor.service.clone());
        self.free_slot(now, index, &service, answer);
        let latency = now.since(request.sent);
        let observation = match answer {
            SendOutcome::Complete { status } if status >= FIRST_ERROR_STATUS => {
                Observation::Error(latency)
            }
            SendOutcome::Complete { .. } => Observation::Success(latency),
            SendOutcome::Refused | SendOutcome::NotSent => Observation::Refused,
            SendOutcome::Unknown | SendOutcome::TimedOut => Observation::Lost,
        };
        let timed = matches!(observation, Observation::Success(_) | Observation::Error(_));
        if !timed || request.sent >= self.last_pause_end {
            self.record_observation(now, index, &service, observation);
        }
        self.end_attempt(now, id, attempt, answer, out);
        self.finish_release(index, out);
        if let Some(service) = service {
            self.dispatch(now, &service, out);
            self.refuse_unservable(now, &service, out);
            self.announce_free(now, &service, out);
        }
    }

    /// Frees the slot of an ended request, or holds it if the request may still be running.
    fn free_slot(
        &mut self,
        now: Time,
        index: Index,
        service: &Option<ServiceName>,
        answer: SendOutcome,
    ) {
        let may_run_until = match answer {
            SendOutcome::Unknown => Some(self.latest_run_end(now, service.as_ref())),
            SendOutcome::Complete { .. }
            | SendOutcome::Refused
            | SendOutcome::NotSent
            | SendOutcome::TimedOut => None,
        };
        self.fleet.change(index, |executor| {
            executor.in_flight = executor.in_flight.saturating_sub(1);
            executor.held += u32::from(may_run_until.is_some());
        });
        if let Some(until) = may_run_until {
            let timer = Timer::hold(index, 1, self.next_timer_serial());
            self.timers.insert((until, timer));
        }
    }

    fn record_observation(
        &mut self,
        now: Time,
        index: Index,
        service: &Option<ServiceName>,
        observation: Observation,
    ) {
        let service_state = service.as_ref().and_then(|name| self.services.get_mut(name));
        let mut mean_ms = 0.0;
        if let Some(service_state) = service_state {
            if let Observation::Success(latency) = observation {
                service_state.latency.add(latency);
            }
            mean_ms = service_state.latency.mean().as_ms_f64();
        }
        if let Some(next) = self.fleet.observe(now, index, observation, mean_ms) {
            self.timers.insert((next, Timer::Check(index)));
        }
    }

    fn end_attempt(
        &mut self,
        now: Time,
        id: CallId,
        attempt: Attempt,
        answer: SendOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match answer {
            SendOutcome::Complete { .. } => self.finish(id, Outcome::Answered { attempt }, out),
            SendOutcome::Refused => self.attempt_not_run(now, id, Reason::Refused, out),
            SendOutcome::NotSent => self.attempt_not_run(now, id, Reason::NotSent, out),
            SendOutcome::Unknown | SendOutcome::TimedOut => {
                self.attempt_lost(now, id, Reason::AnswerLost, out)
            }
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
        let Some(request) = self.requests.remove(&(id, attempt)) else { return };
        let Target::Peer(peer) = request.target else { return };
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        let service = entry.call.service.clone();
        self.peers.record_answer(&peer, &service);
        match answer {
            PeerAnswer::Answered { .. } | PeerAnswer::Repeat { .. } => {
                self.finish(id, Outcome::Answered { attempt }, out);
            }
            PeerAnswer::NotRun(reason) => {
                self.peers.mark_full(&peer, &service);
                self.peer_did_not_run(now, id, reason, out);
            }
            PeerAnswer::NotSent => {
                self.peers.mark_full(&peer, &service);
                self.peer_did_not_run(now, id, Reason::NotSent, out);
            }
            PeerAnswer::Unknown => self.attempt_lost(now, id, Reason::PeerUnknown, out),
        }
    }

    /// Retries or ends a call after an attempt that provably did not run.
    fn attempt_not_run(&mut self, now: Time, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if entry.in_flight > 0 {
            return;
        }
        if entry.state == State::Replied {
            return self.finish(id, Outcome::NotRun(reason), out);
        }
        let not_delivered = matches!(reason, Reason::NotSent | Reason::NoKeyOwner);
        if entry.needs_key() && !entry.holds_key && not_delivered {
            return self.await_key_owner(now, id, out);
        }
        entry.not_run_reason = Some(reason);
        if self.may_retry(now, id) {
            return self.route(now, id, Cause::Retry, out);
        }
        self.refuse(id, reason, out);
    }

    /// Retries or ends a call that a peer did not run.
    ///
    /// Such a retry needs no retry budget, as the attempt put no load on any executor.
    fn peer_did_not_run(&mut self, now: Time, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let retry_elsewhere = matches!(reason, Reason::NoExecutor | Reason::NotSent);
        let refused_by_key_owner = entry.needs_key() && !entry.holds_key;
        let awaits_reply = entry.in_flight == 0 && entry.state != State::Replied;
        let attempts_left = entry.attempts < self.settings.max_attempts;
        if retry_elsewhere && !refused_by_key_owner && awaits_reply && attempts_left {
            return self.route(now, id, Cause::Retry, out);
        }
        self.attempt_not_run(now, id, reason, out);
    }

    /// Retries or ends a call after an attempt that may have run.
    fn attempt_lost(&mut self, now: Time, id: CallId, reason: Reason, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.may_have_run = true;
        if entry.in_flight > 0 {
            return;
        }
        let idempotent = entry.call.idempotent && entry.state != State::Replied;
        if idempotent && self.may_retry(now, id) {
            return self.route(now, id, Cause::Retry, out);
        }
        self.finish(id, Outcome::Unknown(reason), out);
    }

    /// Returns whether the call may be tried again, and withdraws the retry from the budget.
    fn may_retry(&mut self, now: Time, id: CallId) -> bool {
        let Some(entry) = self.calls.get(&id) else { return false };
        let (name, may_have_run) = (entry.call.service.clone(), entry.may_have_run);
        let key_held_elsewhere = entry.needs_key() && !entry.holds_key;
        let refusal = entry.not_run_reason;
        if key_held_elsewhere || entry.attempts >= self.settings.max_attempts {
            return false;
        }
        let Some(service) = self.services.get_mut(&name) else { return false };
        let adds_load = may_have_run || refusal == Some(Reason::Overload);
        if adds_load && service.queue.is_saturated(now) || refusal == Some(Reason::Deadline) {
            return false;
        }
        service.retries.withdraw()
    }
}
