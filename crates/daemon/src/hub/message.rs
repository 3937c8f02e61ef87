//! What the hub is told by the threads around it.

use crossbeam_channel::Sender;
use futures::channel::oneshot;
use sycamorerill_clients::{Error, endpoint, instances, worker};
use sycamorerill_control::membership::Evidence;
use sycamorerill_control::{session, store};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{
    Attempt, CallId, DomainName, Epoch, ExecutorName, JobName, WorkerName,
};
use sycamorerill_tasks::journal::Transfer;

use crate::http::{Request, Response};
use crate::peer;

/// One message to the hub.
pub(crate) enum Message {
    /// A caller's request is here whole.
    Caller { call: CallId, request: Request, respond: oneshot::Sender<Response> },
    /// The caller has closed its connection.
    CallerGone { call: CallId },
    /// An operator's request is here whole.
    Operator { request: Request, respond: Sender<Response> },
    /// Another entry instance has a request.
    Peer { from: Option<peer::Hello>, request: peer::Request, respond: peer::Respond },
    /// A request to an endpoint has ended.
    Endpoint { call: CallId, attempt: Attempt, answer: endpoint::Answer },
    /// A forwarded call has ended.
    Forwarded { call: CallId, attempt: Attempt, reply: Result<peer::Reply, peer::Error> },
    /// A probe of an executor has ended.
    Probed { executor: ExecutorName, healthy: bool, latency: Span },
    /// An exchange with a worker has ended.
    Exchanged {
        domain: DomainName,
        worker: WorkerName,
        epoch: Epoch,
        number: u64,
        answer: Result<worker::Answer, Error>,
    },
    /// The store has answered a request.
    Stored { id: store::RequestId, response: store::Response },
    /// The process of an incarnation is gone.
    Evidence { session: session::Name, evidence: Evidence },
    /// A peer has told its name.
    Greeted { hello: peer::Hello },
    /// A cell offers a job to the cell of another failure domain.
    Offered { from: DomainName, to: DomainName, transfer: Transfer },
    /// A job that was handed over is durable at its receiver.
    Taken { to: DomainName, job: JobName },
    /// The platform's list was read.
    Listed { list: Result<Vec<instances::Instance>, Error> },
    /// An operator asks for a graceful shutdown of this instance.
    DrainAsked,
    /// The graceful shutdown begins.
    Drain,
    /// The hub ends at once.
    Stop,
}

/// Way into the hub.
#[derive(Clone)]
pub(crate) struct Inbox(Sender<Message>);

impl Inbox {
    /// Returns the way into the hub that receives from the other end of `sender`.
    pub(crate) fn new(sender: Sender<Message>) -> Self {
        Self(sender)
    }

    /// Hands a message to the hub.
    pub(crate) fn send(&self, message: Message) {
        // The hub ends last; what comes after its end has no reader.
        let _ = self.0.send(message);
    }

    /// Returns the number of messages that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.0.len()
    }
}
