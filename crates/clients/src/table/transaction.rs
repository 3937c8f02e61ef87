//! Transactions on the table.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::row::{Key, Row, RowVersion};

/// Identity of one transaction, chosen by its client and never used twice.
///
/// Each written row keeps it, so that a write whose answer was lost is
/// recognised when the row is read back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Identity(String);

impl Identity {
    /// Returns the identity of `text`.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// What a condition expects of its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// A condition without which the transaction does nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Key,
    /// What is expected of the row.
    pub expect: Expect,
}

/// One row that the transaction writes or deletes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New value, or none to delete the row.
    #[serde(with = "crate::wire::maybe_base64")]
    pub value: Option<Bytes>,
}

/// Writes that take effect together, if all conditions hold, or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identity of the transaction.
    pub identity: Identity,
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Rows written or deleted.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Returns a transaction without conditions and writes.
    pub fn new(identity: Identity) -> Self {
        Self { identity, conditions: Vec::new(), writes: Vec::new() }
    }

    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, key: impl Into<Key>, expect: Expect) -> Self {
        self.conditions.push(Condition { key: key.into(), expect });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<Key>, value: impl Into<Bytes>) -> Self {
        self.writes.push(Write { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Key>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// A transaction that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// New version of each written row; deleted rows are not listed.
    pub versions: BTreeMap<Key, RowVersion>,
}

/// A transaction that had no effect since a condition does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("row `{key}` is not as expected: {}", Found(present.as_ref()))]
pub struct Conflict {
    /// First key whose condition does not hold.
    pub key: Key,
    /// The row as it stands, or none if it does not exist.
    pub present: Option<Row>,
}

impl Conflict {
    /// Reports whether the row was written by the transaction with this identity.
    pub fn is_own(&self, identity: &Identity) -> bool {
        self.present.as_ref().is_some_and(|row| row.identity == *identity)
    }
}

/// Prints the row that a conflict found.
struct Found<'a>(Option<&'a Row>);

impl fmt::Display for Found<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(row) => write!(f, "it has version {}, written by {}", row.version, row.identity),
            None => f.write_str("it does not exist"),
        }
    }
}
