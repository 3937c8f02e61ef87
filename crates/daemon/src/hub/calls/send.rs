//! Sends calls to executors and to peers.

use std::sync::Arc;

use sycamorerill_clients::endpoint::{self, Method};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, CallId, ExecutorName, InstanceName};

use super::Calls;
use crate::hub::message::Message;
use crate::peer;

/// Path that an endpoint answers when it is healthy.
const PROBE_PATH: &str = "/health";
/// Longest wait for the answer to a probe.
const PROBE_TIME: Span = Span::from_ms(500);
/// Time for a peer's reply on top of the caller's deadline.
const PEER_MARGIN: Span = Span::from_ms(250);

impl Calls {
    pub(super) fn send(
        &mut self,
        call: CallId,
        attempt: Attempt,
        executor: &ExecutorName,
        budget: Span,
        timeout: Span,
    ) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        pending.open += 1;
        let inbox = self.parts.inbox.clone();
        let Some(client) = self.executors.get(executor).cloned() else {
            let reason = "the executor has no known address".to_owned();
            let answer = endpoint::Answer::NotSent { reason };
            inbox.send(Message::Endpoint { call, attempt, answer });
            return;
        };
        let request = endpoint::Call {
            method: Method::from_bytes(pending.arrival.method.as_bytes()).unwrap_or_default(),
            path: pending.arrival.path.clone(),
            body: pending.arrival.body.clone(),
            content_type: Some(pending.arrival.media.clone()).filter(|media| !media.is_empty()),
            identity: format!("{}-{}", pending.identity, attempt.0),
            key: pending.key_text(),
            budget,
            timeout: Some(timeout),
        };
        let shared = Arc::clone(&self.parts.shared);
        shared.metrics.sent("call");
        self.sends.run(move || {
            let answer = if shared.is_alive() {
                client.call(&request)
            } else {
                let reason = "the instance has stopped".to_owned();
                endpoint::Answer::NotSent { reason }
            };
            inbox.send(Message::Endpoint { call, attempt, answer });
        });
    }

    pub(super) fn forward(
        &mut self,
        call: CallId,
        attempt: Attempt,
        peer: &InstanceName,
        budget: Span,
        hops: u8,
        claimed: bool,
    ) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        pending.open += 1;
        let inbox = self.parts.inbox.clone();
        let Some(address) = self.members.get(peer).copied() else {
            let reply = Err(peer::Error::NotSent("the peer has no known address".to_owned()));
            inbox.send(Message::Forwarded { call, attempt, reply });
            return;
        };
        let request = peer::Request::Call(pending.forwarded(budget, hops, claimed));
        self.parts.shared.metrics.sent("forward");
        self.parts.peers.send(address, request, budget + PEER_MARGIN, move |reply| {
            inbox.send(Message::Forwarded { call, attempt, reply });
        });
    }

    pub(super) fn probe(&mut self, executor: ExecutorName) {
        let Some(client) = self.executors.get(&executor).cloned() else {
            return;
        };
        let shared = Arc::clone(&self.parts.shared);
        let inbox = self.parts.inbox.clone();
        let request = endpoint::Call {
            method: Method::GET,
            path: PROBE_PATH.to_owned(),
            identity: format!("{}-probe-{}", self.parts.prefix, shared.next_call().0),
            budget: PROBE_TIME,
            ..endpoint::Call::default()
        };
        shared.metrics.sent("probe");
        self.sends.run(move || {
            let before = shared.clock.now();
            let answer = shared.is_alive().then(|| client.call(&request));
            let latency = shared.clock.now().since(before);
            let healthy =
                matches!(answer, Some(endpoint::Answer::Whole { status, .. }) if status < 500);
            inbox.send(Message::Probed { executor, healthy, latency });
        });
    }
}
