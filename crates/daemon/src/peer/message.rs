//! Requests, replies and failures between entry instances.

use std::net::SocketAddr;

use bytes::Bytes;
use sycamorerill_calls::keys::Key;
use sycamorerill_calls::router;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, ServiceName, TeamName};
use sycamorerill_core::model::Urgency;
use sycamorerill_core::{data, value};

data! {
    /// Who speaks.
    pub(crate) struct Hello {
        /// Name of the instance.
        pub(crate) instance: InstanceName,
        /// Incarnation of its process.
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
        /// Calls and slots.
        pub(crate) calls: router::Status,
        /// Tasks that run in the cells of the sender.
        pub(crate) running_tasks: u32,
    }
}

data! {
    /// A call that is forwarded.
    pub(crate) struct Call {
        /// Service that is called.
        pub(crate) service: ServiceName,
        /// Team that is charged.
        pub(crate) team: TeamName,
        /// Urgency of the call.
        pub(crate) urgency: Urgency,
        /// Time left until the caller's deadline.
        pub(crate) budget: Span,
        /// Whether running the call twice is harmless.
        pub(crate) idempotent: bool,
        /// Idempotency key, if the caller gave one.
        pub(crate) key: Option<Key>,
        /// Whether the owner of the key has journaled it for this very call.
        pub(crate) claimed: bool,
        /// Identity that the endpoint echoes.
        pub(crate) identity: String,
        /// Number of times that the call has been forwarded.
        pub(crate) hops: u8,
        /// Method of the request.
        pub(crate) method: String,
        /// Path below the service.
        pub(crate) path: String,
        /// Media type of the body.
        pub(crate) media: String,
        /// Whole body of the request.
        pub(crate) body: Bytes,
    }
}

value! {
    /// What can be said of a call.
    pub(crate) enum Outcome {
        /// The endpoint answered.
        Answered,
        /// The call certainly did not run.
        NotRun,
        /// The call may have run.
        Unknown,
    }
}

data! {
    /// Outcome of a call with the endpoint's answer.
    pub(crate) struct Answer {
        /// What can be said of the call.
        pub(crate) outcome: Outcome,
        /// Status code of the endpoint's answer.
        pub(crate) status: u16,
        /// Media type of the endpoint's answer.
        pub(crate) media: String,
        /// Whole body of the endpoint's answer.
        pub(crate) body: Bytes,
        /// Why the call did not run, or why its outcome is unknown.
        pub(crate) reason: String,
        /// Whether the answer was given earlier to the same idempotency key.
        pub(crate) repeat: bool,
    }
}

impl Answer {
    /// Returns the answer to a call that was sent nowhere from here.
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
        /// Asks who answers at the address.
        Hello,
        /// Carries one message of the control protocol.
        Control(Bytes),
        /// Tells the load of the sender.
        Load(Load),
        /// Forwards a call.
        Call(Call),
        /// Passes an operator's request to the owner of its subject.
        Operate {
            /// Method of the request.
            method: String,
            /// Path of the request.
            path: String,
            /// Query of the request.
            query: String,
            /// Whole body of the request.
            body: Bytes,
            /// Number of times that the request has been passed on.
            hops: u8,
        },
    }
}

data! {
    /// The reply to a request.
    pub(crate) enum Reply {
        /// Who answered.
        Hello(Hello),
        /// The message has arrived.
        Received,
        /// Outcome of the call.
        Call(Answer),
        /// Response to the operator.
        Operate {
            /// Status code.
            status: u16,
            /// Media type of the body.
            media: String,
            /// Whole body.
            body: Bytes,
        },
    }
}

/// The ways in which a request to another entry instance can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing listens at the address: the process that did is gone.
    #[error("the connection was refused")]
    Refused,
    /// The request was not sent.
    #[error("the peer cannot be reached: {0}")]
    NotSent(String),
    /// The request was sent, and no reply came.
    #[error("the peer did not reply: {0}")]
    Lost(String),
    /// A message does not follow the schema.
    #[error("the peer sent a malformed message: {0}")]
    Malformed(String),
}
