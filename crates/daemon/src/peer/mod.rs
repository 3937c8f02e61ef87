//! Messages between entry instances over `capnp-rpc`.
//!
//! The futures of `capnp-rpc` are local to a thread, so one thread of its own
//! holds all connections. It gets requests as messages and hands each reply to
//! the function that came with the request.

mod codec;
mod connection;
mod message;
mod server;
mod transport;

pub(crate) use message::{Answer, Call, Error, Hello, Load, Outcome, Reply, Request};
pub(crate) use transport::{Handler, Peers, Respond};
