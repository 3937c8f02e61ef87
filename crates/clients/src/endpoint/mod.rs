//! Endpoints: one call and what is known of its outcome.

mod call;
mod client;

pub use call::{Answer, Call, headers};
pub use client::Client;
pub use ureq::http::Method;
