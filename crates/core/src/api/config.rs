//! Bodies for reading and proposing a configuration.

use serde::{Deserialize, Serialize};

use super::failure::Detail;

/// Response to `GET /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Newest accepted version, 0 before the first.
    pub version: u64,
    /// Encoded configuration in base64, empty at version 0.
    pub config: String,
}

/// Body of `POST /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Version on which the proposal is based; it conflicts if a newer one was accepted.
    pub base_version: u64,
    /// Encoded configuration in base64.
    pub config: String,
    /// Name of the author, stored with the configuration.
    pub author: String,
}

/// Response to an accepted proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that the accepted proposal received.
    pub version: u64,
}

/// Body of the 409 response to a conflicting proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Description of the failure, of kind `conflict`.
    pub error: Detail,
    /// Newest accepted version.
    pub version: u64,
    /// Keys whose values differ between the proposal and the newest version.
    pub keys: Vec<String>,
}
