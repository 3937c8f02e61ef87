//! Tells callers and peers the outcome of their calls.

use stakker::{CX, call};
use sycamorerill_calls::router::{Outcome, Reason};
use sycamorerill_core::api::Kind;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;

use super::Calls;
use super::pending::{Answer, Pending, Told, Waiter};
use crate::event;
use crate::events::Code;
use crate::http::Response;
use crate::hub::control::Release;
use crate::metrics;
use crate::peer;

/// Advice to a caller whose call did not run.
const NOT_RUN_HINT: &str = "the call did not run and may be sent again";
/// Advice to a caller whose call may have run.
const UNKNOWN_HINT: &str = "the call may have run; repeat it only with its idempotency key";

impl Calls {
    /// Tells whoever waits for the call what came of it.
    pub(super) fn reply(&mut self, _: CX![], now: Time, call: CallId, outcome: Outcome) {
        let Some(mut pending) = self.pending.remove(&call) else {
            return;
        };
        let told = self.told(call, &mut pending, outcome);
        let waiter = pending.waiter.take();
        let elapsed = pending.elapsed(now);
        self.log(call, &pending, &told, elapsed);
        match waiter {
            Some(Waiter::Caller(respond)) => {
                let response = told.response(elapsed);
                let release = Release::new(respond, response);
                self.settle(call, &pending, &told, elapsed, release);
            }
            Some(Waiter::Peer(respond)) => respond(peer::Reply::Call(told.into())),
            None => {}
        }
        if pending.open > 0 {
            self.pending.insert(call, pending);
        }
    }

    fn told(&mut self, call: CallId, pending: &mut Pending, outcome: Outcome) -> Told {
        match outcome {
            Outcome::Answered { attempt } => {
                let answer = pending.answers.remove(&attempt);
                if let (Some(answer), true) = (&answer, pending.arrival.key.is_some()) {
                    self.kept.insert(call, answer.clone());
                }
                Told { outcome: metrics::Outcome::Answered, answer, reason: "" }
            }
            Outcome::Repeat { first } => {
                let answer = self.kept.get(&first).cloned();
                Told { outcome: metrics::Outcome::Repeat, answer, reason: "" }
            }
            Outcome::NotRun(reason) => Told::without_answer(metrics::Outcome::NotRun, reason),
            Outcome::Unknown(reason) => Told::without_answer(metrics::Outcome::Unknown, reason),
        }
    }

    fn log(&self, call: CallId, pending: &Pending, told: &Told, elapsed: Span) {
        event!(
            Code::CallAnswered,
            call = call,
            service = pending.arrival.service,
            outcome = told.outcome.as_str(),
            reason = told.reason,
            elapsed = elapsed,
        );
    }

    /// Counts missed targets and releases the response once the count is safe.
    fn settle(
        &self,
        call: CallId,
        pending: &Pending,
        told: &Told,
        elapsed: Span,
        release: Release,
    ) {
        let service = &pending.arrival.service;
        let shared = &self.parts.shared;
        shared.metrics.call_ended(service, told.outcome, elapsed.as_ms_f64() / 1_000.0);
        let answered = told.answer.is_some();
        let missed = self.targets.missed(service, answered, elapsed);
        if missed.is_empty() {
            release.now();
            return;
        }
        for target in &missed {
            event!(Code::TargetMissed, target = target, call = call, elapsed = elapsed);
            shared.metrics.target_missed(target.as_str());
        }
        let (service, subject) = (service.clone(), pending.subject());
        let first_sent = pending.first_sent();
        call!([self.parts.control], missed(missed, service, subject, first_sent, release));
    }
}

impl Told {
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

impl From<Told> for peer::Answer {
    fn from(told: Told) -> Self {
        let outcome = match (&told.answer, told.outcome) {
            (Some(_), _) => peer::Outcome::Answered,
            (None, metrics::Outcome::NotRun) => peer::Outcome::NotRun,
            (None, _) => peer::Outcome::Unknown,
        };
        let repeat = told.outcome == metrics::Outcome::Repeat;
        let Answer { status, media, body } = told.answer.unwrap_or_default();
        Self { outcome, status, media, body, reason: told.reason.to_owned(), repeat }
    }
}
