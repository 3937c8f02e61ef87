//! A call and its outcomes.

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use ureq::http::Method;

use crate::error::UnknownCause;

/// Names of the headers between an entry instance and an endpoint.
pub mod headers {
    /// Identity of the request, which the endpoint repeats in its response.
    pub const IDENTITY: &str = "x-request-id";
    /// Time left until the deadline of the response, in milliseconds.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// Idempotency key of the request.
    pub const KEY: &str = "x-idempotency-key";
    /// Is `1` in a 503 response if the endpoint refused the call without running it.
    pub const NOT_RUN: &str = "x-not-run";
}

/// A call to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// HTTP method of the request.
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
    /// Time left for the complete response, which the request states to the endpoint.
    pub budget: Span,
    /// Maximum time to wait for the complete response; defaults to `budget`.
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

/// Outcome of sending a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent a complete response, and it belongs to this request.
    Complete {
        /// HTTP status of the response.
        status: u16,
        /// Complete body of the response.
        body: Bytes,
        /// Content type of the body.
        content_type: Option<String>,
    },
    /// The endpoint refused the call without running it.
    Refused,
    /// No byte of the request was sent.
    NotSent {
        /// Error of opening the connection or of building the request.
        reason: String,
    },
    /// It is unknown whether the call ran.
    Unknown(UnknownCause),
}
