//! Which requests ran, and how often.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest body that is remembered, in bytes.
const MAX_BODY_BYTES: usize = 256;

/// What a run is looked up by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Identity of the request.
    Identity(String),
    /// Idempotency key of the request.
    Key(String),
    /// Body of the request, if it is text of at most 256 bytes.
    Body(String),
}

impl Ran {
    /// Returns a hash that is the same for the same request only.
    fn hash(&self) -> u64 {
        let (kind, text) = match self {
            Self::Identity(text) => (0, text),
            Self::Key(text) => (1, text),
            Self::Body(text) => (2, text),
        };
        xxh3_64_with_seed(text.as_bytes(), kind)
    }
}

/// How often each request ran.
///
/// Requests are kept by hash, so that millions of them fit.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    runs: BTreeMap<u64, u32>,
}

impl Ledger {
    /// Notes a run and returns how often it has run by now.
    pub(crate) fn note(&mut self, ran: &Ran) -> u32 {
        let runs = self.runs.entry(ran.hash()).or_default();
        *runs += 1;
        *runs
    }

    /// Returns how often a request ran.
    pub(crate) fn runs(&self, ran: &Ran) -> u32 {
        self.runs.get(&ran.hash()).copied().unwrap_or_default()
    }
}

/// Returns what a body is remembered by.
pub(crate) fn of_body(body: &[u8]) -> Option<Ran> {
    if body.is_empty() || body.len() > MAX_BODY_BYTES {
        return None;
    }
    std::str::from_utf8(body).ok().map(|text| Ran::Body(text.to_owned()))
}
