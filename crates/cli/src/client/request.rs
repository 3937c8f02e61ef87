//! One request to an entry instance.

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Post,
    Delete,
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) method: Method,
    /// Path with its query.
    pub(super) path: String,
    /// Body in JSON, empty when the request has none.
    pub(super) body: Vec<u8>,
    /// Whether having the effect twice is the same as having it once.
    pub(super) is_repeatable: bool,
}

impl Request {
    pub(super) fn get(path: impl Into<String>) -> Self {
        let path = path.into();
        Self { method: Method::Get, path, body: Vec::new(), is_repeatable: true }
    }

    pub(super) fn delete(path: impl Into<String>) -> Self {
        Self { method: Method::Delete, ..Self::get(path) }
    }

    pub(super) fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self { method: Method::Post, body, is_repeatable: false, ..Self::get(path) }
    }

    pub(super) fn repeatable(self) -> Self {
        Self { is_repeatable: true, ..self }
    }
}
