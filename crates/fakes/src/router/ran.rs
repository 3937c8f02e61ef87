//! Answers how often a request ran.

use hyper::StatusCode;

use super::Router;
use crate::executor::RunKey;
use crate::server::{Incoming, Reply};

impl Router {
    /// Answers how often the identity or the key in the query ran.
    pub(super) fn run_count_reply(&self, request: &Incoming) -> Reply {
        let identity = request.query("identity").map(|text| RunKey::Identity(text.to_owned()));
        let key = request.query("key").map(|text| RunKey::Key(text.to_owned()));
        match identity.or(key) {
            Some(key) => Reply::json(StatusCode::OK, &self.run_count(&key)),
            None => Reply::error(StatusCode::BAD_REQUEST, "expected identity=... or key=..."),
        }
    }
}
