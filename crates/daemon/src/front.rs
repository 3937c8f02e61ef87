//! Hands the requests of the listeners to the hub.

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

/// Messages that may wait for the hub before callers are turned away.
const MAX_WAITING: usize = 20_000;
/// Longest wait for the answer to an operator.
const OPERATOR_TIME: Duration = Duration::from_secs(30);

/// The hub as the listeners see it.
#[derive(Clone)]
pub(crate) struct Front {
    shared: Arc<Shared>,
    inbox: Inbox,
}

/// Tells the hub when the caller goes away before its answer.
struct Watch<'a> {
    front: &'a Front,
    call: CallId,
    answered: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.front.inbox.send(Message::CallerGone { call: self.call });
        }
    }
}

impl Front {
    /// Returns a front of the hub behind `inbox`.
    pub(crate) fn new(shared: Arc<Shared>, inbox: Inbox) -> Self {
        Self { shared, inbox }
    }
}

impl CallerHandler for Front {
    async fn handle(&self, request: Request) -> Response {
        if let Some(response) = self.shared.answer(&request) {
            return response;
        }
        if self.inbox.waiting() > MAX_WAITING {
            let message = "too many requests wait in this instance";
            let busy = Response::failure(Kind::NotRun, message, "send it again a little later");
            return Response { outcome: Some("not-run"), ..busy };
        }
        let call = self.shared.next_call();
        let (respond, answer) = oneshot::channel();
        let mut watch = Watch { front: self, call, answered: false };
        self.inbox.send(Message::Caller { call, request, respond });
        let response = answer.await;
        watch.answered = true;
        response.unwrap_or_else(|_| stopped())
    }
}

impl OperatorHandler for Front {
    fn handle(&self, request: Request) -> Response {
        if let Some(response) = self.shared.answer(&request) {
            return response;
        }
        let (respond, answer) = bounded(1);
        self.inbox.send(Message::Operator { request, respond });
        answer.recv_timeout(OPERATOR_TIME).unwrap_or_else(|_| stopped())
    }
}

impl peer::Handler for Front {
    fn handle(&self, from: Option<peer::Hello>, request: peer::Request, respond: peer::Respond) {
        self.inbox.send(Message::Peer { from, request, respond });
    }
}

fn stopped() -> Response {
    let message = "the instance ended before the outcome was known";
    let unknown = Response::failure(Kind::Unknown, message, "ask another instance");
    Response { outcome: Some("unknown"), ..unknown }
}
