//! Requests, replies and errors of the protocol between entry instances.

use std::net::SocketAddr;

use bytes::Bytes;
use sycamorerill_calls::keys::Key;
use sycamorerill_calls::router;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, ServiceName, TeamName};
use sycamorerill_core::model::Urgency;
use sycamorerill_core::{data, value};

data! {
    /// Identity of an entry instance.
    pub(crate) struct Hello {
        /// Name of the instance, unique in the deployment.
        pub(crate) instance: InstanceName,
        /// Incarnation of the instance's process.
        pub(crate) incarnation: Incarnation,
        /// Failure domain of the instance.
        pub(crate) domain: DomainName,
        /// Address at which the instance listens for peers.
        pub(crate) address: SocketAddr,
    }
}

data! {
    /// Load of the sender.
    #[derive(Default)]
    pub(crate) struct Load {
        /// Load of the call router, by service.
        pub(crate) calls: router::Status,
        /// Number of running tasks in the cells that the sender owns.
        pub(crate) running_tasks: u32,
    }
}

data! {
    /// A call that is forwarded to a peer.
    pub(crate) struct Call {
        /// Called service.
        pub(crate) service: ServiceName,
        /// Team to which the call is charged.
        pub(crate) team: TeamName,
        /// Urgency of the call.
        pub(crate) urgency: Urgency,
        /// Time left until the caller's deadline.
        pub(crate) budget: Span,
        /// Whether the call may safely run more than once.
        pub(crate) idempotent: bool,
        /// Idempotency key, if the caller gave one.
        pub(crate) key: Option<Key>,
        /// Whether the owner of the idempotency key has journaled the key for this call.
        pub(crate) key_recorded: bool,
        /// Identity of the call, which the endpoint echoes.
        pub(crate) identity: String,
        /// Number of times that the call has been forwarded.
        pub(crate) hops: u8,
        /// Method of the request.
        pub(crate) method: String,
        /// Path below the service, with the query.
        pub(crate) path: String,
        /// Media type of the body.
        pub(crate) media: String,
        /// Complete body of the request.
        pub(crate) body: Bytes,
    }
}

value! {
    /// What is known about the outcome of a call.
    pub(crate) enum Outcome {
        /// The endpoint answered.
        Answered,
        /// The call did not run.
        NotRun,
        /// The call may have run.
        Unknown,
    }
}

data! {
    /// Outcome of a call with the endpoint's answer.
    pub(crate) struct Answer {
        /// What is known about the outcome.
        pub(crate) outcome: Outcome,
        /// HTTP status code of the endpoint's answer, or zero without an answer.
        pub(crate) status: u16,
        /// Media type of the endpoint's answer.
        pub(crate) media: String,
        /// Complete body of the endpoint's answer.
        pub(crate) body: Bytes,
        /// Reason why the call did not run or why its outcome is unknown; otherwise empty.
        pub(crate) reason: String,
        /// Whether the answer is a replay for a repeated idempotency key.
        pub(crate) repeat: bool,
    }
}

impl Answer {
    /// Returns the answer to a call that this instance sent to no endpoint.
    pub(crate) fn not_sent() -> Self {
        Self {
            outcome: Outcome::NotRun,
            status: 0,
            media: String::new(),
            body: Bytes::new(),
            reason: router::Reason::NotSent.to_string(),
            repeat: false,
        }
    }
}

data! {
    /// A request to another entry instance.
    pub(crate) enum Request {
        /// Requests the identity of the instance that listens at the address.
        Hello,
        /// Carries a message of the control protocol.
        Control(Bytes),
        /// Reports the load of the sender.
        Load(Load),
        /// Forwards a call.
        Call(Call),
        /// Forwards an operator's request to the instance that can answer it.
        Operate {
            /// Method of the request.
            method: String,
            /// Path of the request.
            path: String,
            /// Query of the request.
            query: String,
            /// Complete body of the request.
            body: Bytes,
            /// Number of times that the request has been forwarded.
            hops: u8,
        },
    }
}

data! {
    /// The reply to a request.
    pub(crate) enum Reply {
        /// Identity of the instance that answered.
        Hello(Hello),
        /// The message was received.
        Received,
        /// Outcome of the call.
        Call(Answer),
        /// Response to the operator.
        Operate {
            /// HTTP status code.
            status: u16,
            /// Media type of the body.
            media: String,
            /// Complete body.
            body: Bytes,
        },
    }
}

/// Errors of requests to other entry instances.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing listens at the address, so the process that did has ended.
    #[error("the connection was refused")]
    Refused,
    /// The request was not sent.
    #[error("the peer cannot be reached: {0}")]
    NotSent(String),
    /// The request was sent, but no reply arrived.
    #[error("the peer did not reply: {0}")]
    Lost(String),
    /// A message does not follow the schema.
    #[error("the peer sent a malformed message: {0}")]
    Malformed(String),
}
