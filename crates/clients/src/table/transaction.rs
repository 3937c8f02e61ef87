//! Transactions on the table and their results.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::row::{Key, Row, RowVersion};

/// Identity of one transaction, chosen by the client and never used twice.
///
/// Each row stores the identity of the transaction that last wrote it. A client whose
/// response was lost can read the row to find out whether the transaction took effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransactionId(String);

impl TransactionId {
    /// Creates an identity from text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TransactionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// State of a row that a condition expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// A condition that must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Key,
    /// Expected state of the row.
    pub expect: Expect,
}

/// One row that a transaction writes or deletes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New value, or `None` to delete the row.
    #[serde(with = "crate::wire::optional_base64")]
    pub value: Option<Bytes>,
}

/// Writes that take effect atomically if all conditions hold, and otherwise not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identity that the written rows store.
    pub identity: TransactionId,
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write or to delete.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    pub fn new(identity: TransactionId) -> Self {
        Self { identity, conditions: Vec::new(), writes: Vec::new() }
    }

    /// Adds a condition on the row of `key`.
    #[must_use]
    pub fn when(mut self, key: impl Into<Key>, expect: Expect) -> Self {
        self.conditions.push(Condition { key: key.into(), expect });
        self
    }

    /// Adds a write that creates or replaces a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<Key>, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds a write that deletes a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Key>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// Result of a transaction that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// New version of each written row; deleted rows are not listed.
    pub versions: BTreeMap<Key, RowVersion>,
}

/// Error of a transaction that had no effect because a condition does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("row `{key}` is not as expected: {}", CurrentRow(present.as_ref()))]
pub struct Conflict {
    /// Key of the first condition that does not hold.
    pub key: Key,
    /// Current row, or `None` if it does not exist.
    pub present: Option<Row>,
}

impl Conflict {
    /// Returns whether the current row was written by the transaction with this identity.
    pub fn is_written_by(&self, identity: &TransactionId) -> bool {
        self.present.as_ref().is_some_and(|row| row.identity == *identity)
    }
}

/// Formats the current row of a conflict.
struct CurrentRow<'a>(Option<&'a Row>);

impl fmt::Display for CurrentRow<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(row) => write!(f, "it has version {}, written by {}", row.version, row.identity),
            None => f.write_str("it does not exist"),
        }
    }
}
