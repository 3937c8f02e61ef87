//! Reading and proposing a configuration.

use serde::{Deserialize, Serialize};

use super::failure::Detail;

/// Answer to `GET /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Newest accepted version, zero before the first.
    pub version: u64,
    /// Encoded configuration in base64, empty at version zero.
    pub config: String,
}

/// Body of `POST /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Version that the author saw; any newer version makes the proposal a conflict.
    pub base_version: u64,
    /// Encoded configuration in base64.
    pub config: String,
    /// Name of the author, for the record.
    pub author: String,
}

/// Answer to an accepted proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version under which the proposal was accepted.
    pub version: u64,
}

/// Body of a 409 to a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// What failed, of kind `conflict`.
    pub error: Detail,
    /// Newest accepted version.
    pub version: u64,
    /// Keys that the proposal and the newest version give different values.
    pub keys: Vec<String>,
}
