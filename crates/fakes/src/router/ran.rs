//! Answers how often a request ran.

use hyper::StatusCode;

use super::Router;
use crate::executor::Ran;
use crate::server::{Incoming, Reply};

impl Router {
    /// Answers how often the identity or the key in the query ran.
    pub(super) fn run_count(&self, request: &Incoming) -> Reply {
        let identity = request.query("identity").map(|text| Ran::Identity(text.to_owned()));
        let key = request.query("key").map(|text| Ran::Key(text.to_owned()));
        match identity.or(key) {
            Some(ran) => Reply::json(StatusCode::OK, &self.runs(&ran)),
            None => Reply::error(StatusCode::BAD_REQUEST, "expected identity=... or key=..."),
        }
    }
}
