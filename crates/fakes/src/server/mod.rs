//! HTTP server on `hyper` whose replies can be truncated or dropped on purpose.

mod connection;
mod listener;
mod reply;

pub(crate) use connection::{Connection, Incoming};
pub(crate) use listener::{Handler, Server};
pub(crate) use reply::Reply;
