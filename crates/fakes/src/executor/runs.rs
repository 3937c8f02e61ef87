//! Counts how often each request ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest body that identifies a request, in bytes.
const MAX_BODY_BYTES: usize = 256;

/// Key by which the runs of a request are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKey {
    /// Identity that the caller gives each request.
    Identity(String),
    /// Idempotency key, which several requests may share.
    Key(String),
    /// Body of the request, which is counted only if it is UTF-8 text of 1 to 256 bytes.
    Body(String),
}

impl RunKey {
    /// Returns a hash of the kind and the text.
    fn hash(&self) -> u64 {
        let (kind, text) = match self {
            Self::Identity(text) => (0, text),
            Self::Key(text) => (1, text),
            Self::Body(text) => (2, text),
        };
        xxh3_64_with_seed(text.as_bytes(), kind)
    }
}

/// Counters of the runs of each request.
///
/// Only hashes of the requests are stored, so that millions of them fit into memory.
#[derive(Debug, Default)]
pub(crate) struct RunCounts {
    runs: BTreeMap<u64, u32>,
}

impl RunCounts {
    /// Records a run and returns how often the request has run, including this run.
    pub(crate) fn record(&mut self, key: &RunKey) -> u32 {
        let runs = self.runs.entry(key.hash()).or_default();
        *runs += 1;
        *runs
    }

    /// Returns how often a request ran.
    pub(crate) fn run_count(&self, key: &RunKey) -> u32 {
        self.runs.get(&key.hash()).copied().unwrap_or_default()
    }
}

/// Returns the key under which runs of a body are counted, or none if it is empty, too long or
/// not UTF-8.
pub(crate) fn body_key(body: &[u8]) -> Option<RunKey> {
    if body.is_empty() || body.len() > MAX_BODY_BYTES {
        return None;
    }
    std::str::from_utf8(body).ok().map(|text| RunKey::Body(text.to_owned()))
}
