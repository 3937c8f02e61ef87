//! Calls in progress with their bodies.

use std::collections::BTreeMap;

use bytes::Bytes;
use futures::channel::oneshot;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Attempt;
use xxhash_rust::xxh3::xxh3_64;

use super::arrival::Arrival;
use crate::http::Response;
use crate::metrics;
use crate::peer;

/// Whoever waits for the outcome of a call.
pub(super) enum Waiter {
    /// A caller.
    Caller(oneshot::Sender<Response>),
    /// The entry instance that forwarded the call.
    Peer(peer::Respond),
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Answer {
    /// Status code.
    pub(super) status: u16,
    /// Media type of the body.
    pub(super) media: String,
    /// Whole body.
    pub(super) body: Bytes,
}

/// A call in progress.
pub(super) struct Pending {
    /// The request.
    pub(super) arrival: Arrival,
    /// Instant at which the whole request was here.
    pub(super) arrived: Time,
    /// Identity that endpoints echo, without the attempt.
    pub(super) identity: String,
    /// Who waits, until it has been told.
    pub(super) waiter: Option<Waiter>,
    /// Answers by the attempt that got them.
    pub(super) answers: BTreeMap<Attempt, Answer>,
    /// Attempts that have not come to an end.
    pub(super) open: u32,
}

/// What is told of a call.
#[derive(Clone, Debug)]
pub(super) struct Told {
    /// Kind of the outcome.
    pub(super) outcome: metrics::Outcome,
    /// Answer to pass on, if there is one.
    pub(super) answer: Option<Answer>,
    /// Why the call did not run, or why its outcome is unknown.
    pub(super) reason: &'static str,
}

impl Pending {
    /// Returns a call that has just arrived.
    pub(super) fn new(arrival: Arrival, arrived: Time, identity: String, waiter: Waiter) -> Self {
        let (waiter, answers) = (Some(waiter), BTreeMap::new());
        Self { arrival, arrived, identity, waiter, answers, open: 0 }
    }

    /// Returns the caller's idempotency key as text.
    pub(super) fn key_text(&self) -> Option<String> {
        let key = self.arrival.key.as_ref()?;
        Some(String::from_utf8_lossy(&key.text).into_owned())
    }

    /// Returns the instant at which the caller first sent the request.
    pub(super) fn first_sent(&self) -> Time {
        self.arrived - self.arrival.elapsed
    }

    /// Returns the identity under which a missed target of the call is counted.
    pub(super) fn subject(&self) -> u64 {
        let origin = self.arrival.origin.as_ref().unwrap_or(&self.identity);
        xxh3_64(origin.as_bytes())
    }

    /// Returns the call as it is forwarded to a peer.
    pub(super) fn forwarded(&self, budget: Span, hops: u8, claimed: bool) -> peer::Call {
        let arrival = &self.arrival;
        peer::Call {
            service: arrival.service.clone(),
            team: arrival.team.clone(),
            urgency: arrival.urgency,
            budget,
            idempotent: arrival.idempotent,
            key: arrival.key.clone(),
            claimed,
            identity: self.identity.clone(),
            hops,
            method: arrival.method.clone(),
            path: arrival.path.clone(),
            media: arrival.media.clone(),
            body: arrival.body.clone(),
        }
    }

    /// Returns the time since the caller first sent the request.
    pub(super) fn elapsed(&self, now: Time) -> Span {
        now.since(self.arrived) + self.arrival.elapsed
    }
}
