//! HTTP requests and responses, independent of the server library.

use bytes::Bytes;
use serde::Serialize;
use sycamorerill_core::api::{Failure, Kind};
use sycamorerill_core::clock::Span;

/// Media type of JSON bodies.
const JSON: &str = "application/json";

/// The head of a request: everything but the body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    /// Method in upper case.
    pub(crate) method: String,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without its question mark.
    pub(crate) query: String,
    /// Header fields in the order received, with names in lower case.
    pub(crate) fields: Vec<(String, Bytes)>,
}

impl Head {
    /// Returns the first value of a header field, or `None` if it is missing or not UTF-8.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name)?;
        std::str::from_utf8(&found.1).ok()
    }

    /// Returns the first value of a query parameter, without percent-decoding.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A complete request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    /// Method, path, query and header fields.
    pub(crate) head: Head,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Media type of the body.
    pub(crate) media: String,
    /// Outcome of a call, sent as the header field `x-outcome`.
    pub(crate) outcome: Option<&'static str>,
    /// Duration of a call, sent as the header field `x-elapsed-ms`.
    pub(crate) elapsed: Option<Span>,
    /// Complete body.
    pub(crate) body: Bytes,
}

impl Response {
    /// Returns a response with a JSON body.
    pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, media: JSON.to_owned(), outcome: None, elapsed: None, body: body.into() }
    }

    /// Returns a response with a plain-text body.
    pub(crate) fn text(status: u16, text: impl Into<Bytes>) -> Self {
        let media = "text/plain; charset=utf-8".to_owned();
        Self { status, media, outcome: None, elapsed: None, body: text.into() }
    }

    /// Returns an error response; `kind` determines the status code.
    pub(crate) fn failure(kind: Kind, message: impl ToString, hint: impl Into<String>) -> Self {
        Self::json(kind.status(), &Failure::new(kind, message.to_string(), hint))
    }
}
