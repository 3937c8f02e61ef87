//! Rows of the table with their keys and versions.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::transaction::TransactionId;

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// Creates a key from text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl From<String> for Key {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Version of a row, larger after each write and never used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

impl fmt::Display for RowVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// A row as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version that the last write assigned to the row.
    pub version: RowVersion,
    /// Identity of the transaction that last wrote the row.
    pub identity: TransactionId,
    /// Value of the row, in base64 when encoded as JSON.
    #[serde(with = "crate::wire::base64_bytes")]
    pub value: Bytes,
}
