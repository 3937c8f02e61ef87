//! Bodies of failed requests.

use serde::{Deserialize, Serialize};

/// Body of every response with a status of 400 or more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Description of the failure.
    pub error: Detail,
}

/// Kind of a failure, its message and a hint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Kind of the failure, which determines the HTTP status.
    pub kind: Kind,
    /// Message that states what was found and what was expected.
    pub message: String,
    /// Suggested next step, empty when there is none.
    #[serde(default)]
    pub hint: String,
}

/// Kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be parsed (400).
    Malformed,
    /// No object has the requested name (404).
    NotFound,
    /// The path does not support the method (405).
    Method,
    /// The caller did not send the whole request in time (408).
    Timeout,
    /// Another change was accepted first (409).
    Conflict,
    /// The name is already taken (409).
    Exists,
    /// The request is larger than the limit (413).
    TooLarge,
    /// The request is well-formed but cannot be met (422).
    Refused,
    /// Too many requests are waiting (429).
    Busy,
    /// The platform cannot be reached, so the request had no effect (503).
    Unavailable,
    /// The request had no effect and may be repeated (503).
    NotRun,
    /// It is unknown whether the request took effect (504).
    Unknown,
    /// The entry instance failed with an unexpected error (500).
    Internal,
}

impl Kind {
    /// Returns the HTTP status of a response of this kind.
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
    /// Creates a failure of `kind`; an empty `hint` means that there is none.
    pub fn new(kind: Kind, message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self { error: Detail { kind, message: message.into(), hint: hint.into() } }
    }
}
