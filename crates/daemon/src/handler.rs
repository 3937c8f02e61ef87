//! Request handlers of the listeners, which forward requests to the hub.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::bounded;
use futures::channel::oneshot;
use sycamorerill_core::api::Kind;
use sycamorerill_core::id::CallId;

use crate::http::{CallerHandler, OperatorHandler, Request, Response};
use crate::hub::{Inbox, Message};
use crate::peer;
use crate::shared::Shared;

/// Length of the hub's queue above which requests of callers are rejected.
const MAX_QUEUED_MESSAGES: usize = 20_000;
/// Maximum wait for the hub's response to an operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(30);

/// Forwards requests to the hub and waits for its responses.
#[derive(Clone)]
pub(crate) struct HubHandler {
    shared: Arc<Shared>,
    inbox: Inbox,
}

/// Notifies the hub on drop if the caller disconnected before it got a response.
struct DisconnectGuard<'a> {
    handler: &'a HubHandler,
    call: CallId,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handler.inbox.send(Message::CallerDisconnected { call: self.call });
        }
    }
}

impl HubHandler {
    /// Returns a handler that forwards requests to `inbox`.
    pub(crate) fn new(shared: Arc<Shared>, inbox: Inbox) -> Self {
        Self { shared, inbox }
    }
}

impl CallerHandler for HubHandler {
    async fn handle(&self, request: Request) -> Response {
        if let Some(response) = self.shared.answer_directly(&request) {
            return response;
        }
        if self.inbox.queue_length() > MAX_QUEUED_MESSAGES {
            let message = "too many requests wait in this instance";
            let busy = Response::failure(Kind::NotRun, message, "send it again a little later");
            return Response { outcome: Some("not-run"), ..busy };
        }
        let call = self.shared.next_call();
        let (respond, answer) = oneshot::channel();
        let mut guard = DisconnectGuard { handler: self, call, answered: false };
        self.inbox.send(Message::Caller { call, request, respond });
        let response = answer.await;
        guard.answered = true;
        response.unwrap_or_else(|_| stopped_response())
    }
}

impl OperatorHandler for HubHandler {
    fn handle(&self, request: Request) -> Response {
        if let Some(response) = self.shared.answer_directly(&request) {
            return response;
        }
        let (respond, answer) = bounded(1);
        self.inbox.send(Message::Operator { request, respond });
        answer.recv_timeout(OPERATOR_TIMEOUT).unwrap_or_else(|_| stopped_response())
    }
}

impl peer::Handler for HubHandler {
    fn handle(&self, from: Option<peer::Hello>, request: peer::Request, respond: peer::Respond) {
        self.inbox.send(Message::Peer { from, request, respond });
    }
}

fn stopped_response() -> Response {
    let message = "the instance ended before the outcome was known";
    let unknown = Response::failure(Kind::Unknown, message, "ask another instance");
    Response { outcome: Some("unknown"), ..unknown }
}
