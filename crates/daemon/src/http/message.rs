//! Requests and responses, independent of the library that carries them.

use bytes::Bytes;
use serde::Serialize;
use sycamorerill_core::api::{Failure, Kind};
use sycamorerill_core::clock::Span;

/// Media type of answers that the entry instance makes itself.
const JSON: &str = "application/json";

/// Head of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    /// Method in capitals.
    pub(crate) method: String,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without its question mark.
    pub(crate) query: String,
    /// Names in lower case with their values, in the order received.
    pub(crate) fields: Vec<(String, Bytes)>,
}

impl Head {
    /// Returns the first value of a field, as text.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name)?;
        std::str::from_utf8(&found.1).ok()
    }

    /// Returns the value of a query parameter.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A whole request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    /// Head of the request.
    pub(crate) head: Head,
    /// Whole body.
    pub(crate) body: Bytes,
}

/// A whole response.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    /// Status code.
    pub(crate) status: u16,
    /// Media type of the body.
    pub(crate) media: String,
    /// Outcome of a call, for the `x-outcome` field.
    pub(crate) outcome: Option<&'static str>,
    /// Time that the call took, for the `x-elapsed-ms` field.
    pub(crate) elapsed: Option<Span>,
    /// Whole body.
    pub(crate) body: Bytes,
}

impl Response {
    /// Returns a response with a JSON body.
    pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, media: JSON.to_owned(), outcome: None, elapsed: None, body: body.into() }
    }

    /// Returns a response with a body of plain text.
    pub(crate) fn text(status: u16, text: impl Into<Bytes>) -> Self {
        let media = "text/plain; charset=utf-8".to_owned();
        Self { status, media, outcome: None, elapsed: None, body: text.into() }
    }

    /// Returns an error answer.
    pub(crate) fn failure(kind: Kind, message: impl ToString, hint: impl Into<String>) -> Self {
        Self::json(kind.status(), &Failure::new(kind, message.to_string(), hint))
    }
}
