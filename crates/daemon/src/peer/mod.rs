//! The protocol between entry instances, over `capnp-rpc`.
//!
//! The futures of `capnp-rpc` are not `Send`, so one dedicated thread holds all
//! connections. It receives requests over a channel and passes each reply to the
//! callback of its request.

mod codec;
mod connection;
mod message;
mod server;
mod transport;

pub(crate) use message::{Answer, Call, Error, Hello, Load, Outcome, Reply, Request};
pub(crate) use transport::{Handler, Peers, Respond};
