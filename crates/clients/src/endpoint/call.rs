//! A call and its outcomes.

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use ureq::http::Method;

use crate::error::Doubt;

/// Names of the headers between an entry instance and an endpoint.
pub mod headers {
    /// Identity of the request, echoed by the endpoint.
    pub const IDENTITY: &str = "x-request-id";
    /// Time left for the answer, in milliseconds.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// Idempotency key of the request.
    pub const KEY: &str = "x-idempotency-key";
    /// Says `1` on a 503 when the endpoint refused before running.
    pub const NOT_RUN: &str = "x-not-run";
}

/// A call to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path with its query, starting with `/`.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Identity of the request, never used twice.
    pub identity: String,
    /// Idempotency key given by the caller.
    pub key: Option<String>,
    /// Time left for the whole answer, told to the endpoint.
    pub budget: Span,
    /// Longest wait for the whole answer, the budget when not given.
    pub timeout: Option<Span>,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            method: Method::POST,
            path: "/".to_owned(),
            body: Bytes::new(),
            content_type: None,
            identity: String::new(),
            key: None,
            budget: Span::from_secs(1),
            timeout: None,
        }
    }
}

/// What is known of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer to this very request.
    Whole {
        /// HTTP status.
        status: u16,
        /// Whole body.
        body: Bytes,
        /// Content type of the body.
        content_type: Option<String>,
    },
    /// The endpoint said that it refused before running.
    Refused,
    /// No byte of the request was sent.
    NotSent {
        /// What the connection failed with.
        reason: String,
    },
    /// The call may have run.
    Unknown(Doubt),
}
