//! Requests to entry instances.

/// HTTP method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Post,
    Delete,
}

/// A request to an entry instance.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) method: Method,
    /// Path, including the query.
    pub(super) path: String,
    /// JSON body, empty when the request has none.
    pub(super) body: Vec<u8>,
    /// Whether sending the request twice has the same effect as sending it once.
    pub(super) is_idempotent: bool,
}

impl Request {
    pub(super) fn get(path: impl Into<String>) -> Self {
        let path = path.into();
        Self { method: Method::Get, path, body: Vec::new(), is_idempotent: true }
    }

    pub(super) fn delete(path: impl Into<String>) -> Self {
        Self { method: Method::Delete, ..Self::get(path) }
    }

    pub(super) fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self { method: Method::Post, body, is_idempotent: false, ..Self::get(path) }
    }

    pub(super) fn idempotent(self) -> Self {
        Self { is_idempotent: true, ..self }
    }
}
