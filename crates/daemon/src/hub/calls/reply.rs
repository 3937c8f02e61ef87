//! Replies to callers and peers with the outcomes of their calls.

use stakker::{CX, call};
use sycamorerill_calls::router::{Outcome, Reason};
use sycamorerill_core::api::Kind;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;

use super::Calls;
use super::pending::{Answer, Completion, Pending, Waiter};
use crate::event;
use crate::events::Code;
use crate::http::Response;
use crate::hub::control::DeferredResponse;
use crate::metrics;
use crate::peer;

/// Hint to a caller whose call did not run.
const NOT_RUN_HINT: &str = "the call did not run and may be sent again";
/// Hint to a caller whose call may have run.
const UNKNOWN_HINT: &str = "the call may have run; repeat it only with its idempotency key";

impl Calls {
    /// Sends the outcome of a call to its waiter.
    pub(super) fn reply(&mut self, _: CX![], now: Time, call: CallId, outcome: Outcome) {
        let Some(mut pending) = self.pending.remove(&call) else {
            return;
        };
        let completion = self.complete(call, &mut pending, outcome);
        let waiter = pending.waiter.take();
        let elapsed = pending.elapsed(now);
        self.log(call, &pending, &completion, elapsed);
        match waiter {
            Some(Waiter::Caller(respond)) => {
                let response = completion.response(elapsed);
                let deferred = DeferredResponse::new(respond, response);
                self.count_and_send(call, &pending, &completion, elapsed, deferred);
            }
            Some(Waiter::Peer(respond)) => respond(peer::Reply::Call(completion.into())),
            None => {}
        }
        if pending.open_attempts > 0 {
            self.pending.insert(call, pending);
        }
    }

    /// Returns what is reported to the waiter of a call, and keeps the answer of a call with
    /// an idempotency key for repeats.
    fn complete(&mut self, call: CallId, pending: &mut Pending, outcome: Outcome) -> Completion {
        match outcome {
            Outcome::Answered { attempt } => {
                let answer = pending.answers.remove(&attempt);
                if let (Some(answer), true) = (&answer, pending.call_request.key.is_some()) {
                    self.replay_answers.insert(call, answer.clone());
                }
                Completion { outcome: metrics::Outcome::Answered, answer, reason: "" }
            }
            Outcome::Repeat { first } => {
                let answer = self.replay_answers.get(&first).cloned();
                Completion { outcome: metrics::Outcome::Repeat, answer, reason: "" }
            }
            Outcome::NotRun(reason) => Completion::without_answer(metrics::Outcome::NotRun, reason),
            Outcome::Unknown(reason) => {
                Completion::without_answer(metrics::Outcome::Unknown, reason)
            }
        }
    }

    fn log(&self, call: CallId, pending: &Pending, completion: &Completion, elapsed: Span) {
        event!(
            Code::CallAnswered,
            call = call,
            service = pending.call_request.service,
            outcome = completion.outcome.as_str(),
            reason = completion.reason,
            elapsed = elapsed,
        );
    }

    /// Counts the targets that the call missed and sends the response.
    ///
    /// If targets were missed, the response is sent after the control actor has counted
    /// them.
    fn count_and_send(
        &self,
        call: CallId,
        pending: &Pending,
        completion: &Completion,
        elapsed: Span,
        deferred: DeferredResponse,
    ) {
        let service = &pending.call_request.service;
        let shared = &self.deps.shared;
        shared.metrics.call_ended(service, completion.outcome, elapsed.as_ms_f64() / 1_000.0);
        let answered = completion.answer.is_some();
        let missed = self.targets.missed(service, answered, elapsed);
        if missed.is_empty() {
            deferred.send();
            return;
        }
        for target in &missed {
            event!(Code::TargetMissed, target = target, call = call, elapsed = elapsed);
            shared.metrics.target_missed(target.as_str());
        }
        let (service, subject) = (service.clone(), pending.subject());
        let first_sent = pending.first_sent();
        call!(
            [self.deps.control],
            count_missed_targets(missed, service, subject, first_sent, deferred)
        );
    }
}

impl Completion {
    fn without_answer(outcome: metrics::Outcome, reason: Reason) -> Self {
        Self { outcome, answer: None, reason: reason.as_str() }
    }

    fn response(&self, elapsed: Span) -> Response {
        let response = match (&self.answer, self.outcome) {
            (Some(answer), _) => Response {
                status: answer.status,
                media: answer.media.clone(),
                outcome: None,
                elapsed: None,
                body: answer.body.clone(),
            },
            (None, metrics::Outcome::NotRun) => {
                Response::failure(Kind::NotRun, self.reason, NOT_RUN_HINT)
            }
            (None, _) => Response::failure(Kind::Unknown, self.reason, UNKNOWN_HINT),
        };
        Response { outcome: Some(self.outcome.as_str()), elapsed: Some(elapsed), ..response }
    }
}

impl From<Completion> for peer::Answer {
    fn from(completion: Completion) -> Self {
        let outcome = match (&completion.answer, completion.outcome) {
            (Some(_), _) => peer::Outcome::Answered,
            (None, metrics::Outcome::NotRun) => peer::Outcome::NotRun,
            (None, _) => peer::Outcome::Unknown,
        };
        let repeat = completion.outcome == metrics::Outcome::Repeat;
        let Answer { status, media, body } = completion.answer.unwrap_or_default();
        Self { outcome, status, media, body, reason: completion.reason.to_owned(), repeat }
    }
}
