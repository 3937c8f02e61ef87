//! HTTP over `hyper`: connections, whole requests and replies that may be cut.

mod connection;
mod listener;
mod reply;

pub(crate) use connection::{Connection, Incoming};
pub(crate) use listener::{Handler, Server};
pub(crate) use reply::Reply;
