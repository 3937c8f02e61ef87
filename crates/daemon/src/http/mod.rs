//! HTTP towards callers and operators.
//!
//! Callers are served by `hyper`, which holds slow and greedy callers to the
//! limits. Operators are served by `tiny_http`. Both pass each request to the
//! hub as a message and wait for its reply.

mod callers;
mod message;
mod operators;

pub(crate) use callers::{Callers, Handler as CallerHandler};
pub(crate) use message::{Head, Request, Response};
pub(crate) use operators::{Handler as OperatorHandler, Operators};

/// The ways in which a listener can fail to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {reason}; check that the port is free")]
    Listen {
        /// Address as given.
        address: std::net::SocketAddr,
        /// Reason as given by the system.
        reason: std::io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}
