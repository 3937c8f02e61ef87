//! Calls in progress.

use std::collections::BTreeMap;

use bytes::Bytes;
use futures::channel::oneshot;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Attempt;
use xxhash_rust::xxh3::xxh3_64;

use super::call_request::CallRequest;
use crate::http::Response;
use crate::metrics;
use crate::peer;

/// The party that waits for the outcome of a call.
pub(super) enum Waiter {
    /// The caller that sent the call to this instance.
    Caller(oneshot::Sender<Response>),
    /// The entry instance that forwarded the call.
    Peer(peer::Respond),
}

/// A complete answer of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Answer {
    /// HTTP status code.
    pub(super) status: u16,
    /// Media type of the body.
    pub(super) media: String,
    /// Complete body.
    pub(super) body: Bytes,
}

/// A call in progress.
pub(super) struct Pending {
    /// Request of the caller or peer.
    pub(super) call_request: CallRequest,
    /// Time at which the complete request was received.
    pub(super) arrived: Time,
    /// Identity of the call; endpoints echo it with the number of the attempt appended.
    pub(super) identity: String,
    /// Waiter for the outcome, or `None` once it has been sent.
    pub(super) waiter: Option<Waiter>,
    /// Answers received, by attempt.
    pub(super) answers: BTreeMap<Attempt, Answer>,
    /// Number of attempts that have not finished.
    pub(super) open_attempts: u32,
}

/// The outcome of a call, as reported to its waiter.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    /// Kind of the outcome.
    pub(super) outcome: metrics::Outcome,
    /// Answer of the endpoint, if the call has one.
    pub(super) answer: Option<Answer>,
    /// Reason why the call did not run or why its outcome is unknown; otherwise empty.
    pub(super) reason: &'static str,
}

impl Pending {
    /// Returns a call without attempts.
    pub(super) fn new(
        call_request: CallRequest,
        arrived: Time,
        identity: String,
        waiter: Waiter,
    ) -> Self {
        let (waiter, answers) = (Some(waiter), BTreeMap::new());
        Self { call_request, arrived, identity, waiter, answers, open_attempts: 0 }
    }

    /// Returns the caller's idempotency key as text.
    pub(super) fn key_text(&self) -> Option<String> {
        let key = self.call_request.key.as_ref()?;
        Some(String::from_utf8_lossy(&key.text).into_owned())
    }

    /// Returns the time at which the caller first sent the request.
    pub(super) fn first_sent(&self) -> Time {
        self.arrived - self.call_request.elapsed
    }

    /// Returns the identity under which missed targets of the call are counted.
    ///
    /// Retries with the same `x-request-id` have the same identity.
    pub(super) fn subject(&self) -> u64 {
        let request_id = self.call_request.request_id.as_ref().unwrap_or(&self.identity);
        xxh3_64(request_id.as_bytes())
    }

    /// Returns the message that forwards the call to a peer.
    pub(super) fn to_peer_call(&self, budget: Span, hops: u8, key_recorded: bool) -> peer::Call {
        let call_request = &self.call_request;
        peer::Call {
            service: call_request.service.clone(),
            team: call_request.team.clone(),
            urgency: call_request.urgency,
            budget,
            idempotent: call_request.idempotent,
            key: call_request.key.clone(),
            key_recorded,
            identity: self.identity.clone(),
            hops,
            method: call_request.method.clone(),
            path: call_request.path.clone(),
            media: call_request.media.clone(),
            body: call_request.body.clone(),
        }
    }

    /// Returns the time since the caller first sent the request.
    pub(super) fn elapsed(&self, now: Time) -> Span {
        now.since(self.arrived) + self.call_request.elapsed
    }
}
