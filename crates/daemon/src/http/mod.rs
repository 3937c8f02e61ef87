//! The HTTP servers for callers and operators.
//!
//! Callers are served with `hyper`, which enforces the time and size limits on
//! requests. Operators are served with `tiny_http`. Both servers send each request to
//! the hub as a message and wait for its response.

mod callers;
mod message;
mod operators;

pub(crate) use callers::{Callers, Handler as CallerHandler};
pub(crate) use message::{Head, Request, Response};
pub(crate) use operators::{Handler as OperatorHandler, Operators};

/// Errors that prevent a listener from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {reason}; check that the port is free")]
    Listen {
        /// Address from the settings.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// The operating system refused to start a thread.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}
