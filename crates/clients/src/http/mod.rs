//! One request and its whole answer over `ureq`, sent at most once.

mod channel;
mod transport;

pub(crate) use channel::{Channel, Failure, Reply, Request};
