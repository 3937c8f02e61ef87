//! Requests to executors and peers.

use std::sync::Arc;

use sycamorerill_clients::endpoint::{self, Method};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, CallId, ExecutorName, InstanceName};

use super::Calls;
use crate::hub::message::Message;
use crate::peer;

/// Path of the health probe of an endpoint.
const PROBE_PATH: &str = "/health";
/// Timeout of a probe.
const PROBE_TIMEOUT: Span = Span::from_ms(500);
/// Time that is added to the caller's deadline for the peer's reply to arrive.
const PEER_REPLY_MARGIN: Span = Span::from_ms(250);

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
        pending.open_attempts += 1;
        let inbox = self.deps.inbox.clone();
        let Some(client) = self.endpoints.get(executor).cloned() else {
            let reason = "the executor has no known address".to_owned();
            let outcome = endpoint::Outcome::NotSent { reason };
            inbox.send(Message::EndpointAnswered { call, attempt, outcome });
            return;
        };
        let request = endpoint::Call {
            method: Method::from_bytes(pending.call_request.method.as_bytes()).unwrap_or_default(),
            path: pending.call_request.path.clone(),
            body: pending.call_request.body.clone(),
            content_type: Some(pending.call_request.media.clone())
                .filter(|media| !media.is_empty()),
            identity: format!("{}-{}", pending.identity, attempt.0),
            key: pending.key_text(),
            budget,
            timeout: Some(timeout),
        };
        let shared = Arc::clone(&self.deps.shared);
        shared.metrics.message_sent("call");
        self.send_pool.run(move || {
            let outcome = if shared.is_alive() {
                client.call(&request)
            } else {
                let reason = "the instance has stopped".to_owned();
                endpoint::Outcome::NotSent { reason }
            };
            inbox.send(Message::EndpointAnswered { call, attempt, outcome });
        });
    }

    pub(super) fn forward(
        &mut self,
        call: CallId,
        attempt: Attempt,
        peer: &InstanceName,
        budget: Span,
        hops: u8,
        key_recorded: bool,
    ) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        pending.open_attempts += 1;
        let inbox = self.deps.inbox.clone();
        let Some(address) = self.peer_addresses.get(peer).copied() else {
            let reply = Err(peer::Error::NotSent("the peer has no known address".to_owned()));
            inbox.send(Message::ForwardFinished { call, attempt, reply });
            return;
        };
        let request = peer::Request::Call(pending.to_peer_call(budget, hops, key_recorded));
        self.deps.shared.metrics.message_sent("forward");
        self.deps.peers.send(address, request, budget + PEER_REPLY_MARGIN, move |reply| {
            inbox.send(Message::ForwardFinished { call, attempt, reply });
        });
    }

    pub(super) fn probe(&mut self, executor: ExecutorName) {
        let Some(client) = self.endpoints.get(&executor).cloned() else {
            return;
        };
        let shared = Arc::clone(&self.deps.shared);
        let inbox = self.deps.inbox.clone();
        let request = endpoint::Call {
            method: Method::GET,
            path: PROBE_PATH.to_owned(),
            identity: format!("{}-probe-{}", self.deps.prefix, shared.next_call().0),
            budget: PROBE_TIMEOUT,
            ..endpoint::Call::default()
        };
        shared.metrics.message_sent("probe");
        self.send_pool.run(move || {
            let before = shared.clock.now();
            let outcome = shared.is_alive().then(|| client.call(&request));
            let latency = shared.clock.now().since(before);
            let healthy =
                matches!(outcome, Some(endpoint::Outcome::Complete { status, .. }) if status < 500);
            inbox.send(Message::ProbeFinished { executor, healthy, latency });
        });
    }
}
