//! HTTP requests over `ureq`, each sent at most once.

mod channel;
mod transport;

pub(crate) use channel::{Channel, Failure, Request, Response};
