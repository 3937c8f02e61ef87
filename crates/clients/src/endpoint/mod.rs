//! Client of an endpoint, for one call and its outcome.

mod call;
mod client;

pub use call::{Call, Outcome, headers};
pub use client::Client;
pub use ureq::http::Method;
