//! Messages that other threads send to the hub.

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

/// A message to the hub.
pub(crate) enum Message {
    /// A complete request of a caller was received.
    Caller { call: CallId, request: Request, respond: oneshot::Sender<Response> },
    /// The caller disconnected before it got a response.
    CallerDisconnected { call: CallId },
    /// A complete request of an operator was received.
    Operator { request: Request, respond: Sender<Response> },
    /// A request of another entry instance was received.
    Peer { from: Option<peer::Hello>, request: peer::Request, respond: peer::Respond },
    /// A request to an endpoint finished.
    EndpointAnswered { call: CallId, attempt: Attempt, outcome: endpoint::Outcome },
    /// The peer to which a call was forwarded replied, or the request failed.
    ForwardFinished { call: CallId, attempt: Attempt, reply: Result<peer::Reply, peer::Error> },
    /// A probe of an executor finished.
    ProbeFinished { executor: ExecutorName, healthy: bool, latency: Span },
    /// An exchange with a worker finished.
    ExchangeFinished {
        domain: DomainName,
        worker: WorkerName,
        epoch: Epoch,
        number: u64,
        response: Result<worker::Response, Error>,
    },
    /// The store answered a request.
    StoreAnswered { id: store::RequestId, response: store::Response },
    /// There is evidence that the process behind a session has ended.
    SessionEvidence { session: session::Name, evidence: Evidence },
    /// A peer answered a hello request.
    PeerIdentified { hello: peer::Hello },
    /// A cell offers to hand a job over to the cell of another failure domain.
    HandoverOffered { from: DomainName, to: DomainName, transfer: Transfer },
    /// The receiving cell made a job that was handed over durable.
    HandoverConfirmed { to: DomainName, job: JobName },
    /// The platform's instance list was read.
    InstancesListed { list: Result<Vec<instances::Instance>, Error> },
    /// An operator requested a graceful shutdown of this instance.
    DrainRequested,
    /// The graceful shutdown starts.
    Drain,
    /// The hub stops immediately.
    Stop,
}

/// Sending half of the hub's message queue.
#[derive(Clone)]
pub(crate) struct Inbox(Sender<Message>);

impl Inbox {
    /// Returns an inbox that sends through `sender`.
    pub(crate) fn new(sender: Sender<Message>) -> Self {
        Self(sender)
    }

    /// Queues a message for the hub.
    pub(crate) fn send(&self, message: Message) {
        // Messages sent after the hub has stopped are dropped.
        let _ = self.0.send(message);
    }

    /// Returns the number of queued messages.
    pub(crate) fn queue_length(&self) -> usize {
        self.0.len()
    }
}
