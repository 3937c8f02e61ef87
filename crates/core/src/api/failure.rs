//! Failures as an operator's client sees them.

use serde::{Deserialize, Serialize};

/// Body of every answer with a status of 400 or more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What failed.
    pub error: Detail,
}

/// What failed and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Kind of the failure.
    pub kind: Kind,
    /// What was wrong and what was expected.
    pub message: String,
    /// What to do next, empty when there is nothing to advise.
    #[serde(default)]
    pub hint: String,
}

/// Kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be read (400).
    Malformed,
    /// Nothing has the name that the request gives (404).
    NotFound,
    /// The method does not exist at the path (405).
    Method,
    /// The caller took too long to send the request (408).
    Timeout,
    /// Another change was accepted first (409).
    Conflict,
    /// Something else already has the name (409).
    Exists,
    /// The request is larger than the limit (413).
    TooLarge,
    /// The request was understood and cannot be met (422).
    Refused,
    /// Too many requests wait (429).
    Busy,
    /// The request had no effect, the platform cannot be reached (503).
    Unavailable,
    /// The request had no effect and may be repeated (503).
    NotRun,
    /// The request may have had its effect (504).
    Unknown,
    /// The entry instance failed in a way that it does not know (500).
    Internal,
}

impl Kind {
    /// Returns the HTTP status that goes with the kind.
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::NotFound => 404,
            Self::Method => 405,
            Self::Timeout => 408,
            Self::Conflict | Self::Exists => 409,
            Self::TooLarge => 413,
            Self::Refused => 422,
            Self::Busy => 429,
            Self::Internal => 500,
            Self::Unavailable | Self::NotRun => 503,
            Self::Unknown => 504,
        }
    }
}

impl Failure {
    /// Returns a failure of `kind`.
    pub fn new(kind: Kind, message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self { error: Detail { kind, message: message.into(), hint: hint.into() } }
    }
}
