//! Requests to the platform's table and object store, and the gate that paces them.
//!
//! Every write is a [`Transaction`]: it takes effect whole, and only if each of its
//! checks holds. An answer can be lost after the write has taken effect; that is
//! [`Response::Unknown`] and is never read as a failure.

mod budget;
mod queue;

use std::fmt;

use bytes::Bytes;
use sycamorerill_core::{data, value};

pub use budget::{Budget, TokenBucket};
pub(crate) use queue::RequestQueue;
pub use queue::{Priority, State, Usage};

value! {
    /// Identity of one request, unique within an incarnation.
    pub struct RequestId(pub u64);
}

value! {
    /// Version that the table gave to a row; it changes with each write of the row.
    pub struct RowVersion(pub u64);
}

/// Key of a row or name of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(String);

impl Key {
    /// Returns a key of the given text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

value! {
    /// What a check expects of a row.
    pub enum Expected {
        /// The row does not exist.
        Absent,
        /// The row exists at this version.
        At(RowVersion),
    }
}

data! {
    /// Condition of a transaction on one row.
    pub struct Check {
        /// Row that is looked at.
        pub key: Key,
        /// State that the row must be in.
        pub expected: Expected,
    }
}

data! {
    /// Change of one row.
    pub struct Write {
        /// Row that is changed.
        pub key: Key,
        /// New value, or nothing to delete the row.
        pub value: Option<Bytes>,
    }
}

data! {
    /// Writes that take effect together if every check holds, and else not at all.
    #[derive(Default)]
    pub struct Transaction {
        /// Conditions.
        pub checks: Vec<Check>,
        /// Changes.
        pub writes: Vec<Write>,
    }
}

impl Transaction {
    /// Adds a condition.
    pub fn check(mut self, key: Key, expected: Expected) -> Self {
        self.checks.push(Check { key, expected });
        self
    }

    /// Adds a row to write.
    pub fn put(mut self, key: Key, value: Bytes) -> Self {
        self.writes.push(Write { key, value: Some(value) });
        self
    }

    /// Adds a row to delete.
    pub fn delete(mut self, key: Key) -> Self {
        self.writes.push(Write { key, value: None });
        self
    }
}

data! {
    /// Request to the table or the object store.
    pub enum Request {
        /// Writes rows of the table on conditions.
        Transact(Transaction),
        /// Reads one row of the table.
        Row {
            /// Row to read.
            key: Key,
        },
        /// Reads the rows whose keys start with `prefix`, in the order of their keys.
        Scan {
            /// First part of the keys.
            prefix: Key,
            /// Only keys above this one are wanted.
            after: Option<Key>,
            /// Largest number of rows in the answer.
            limit: u32,
        },
        /// Writes an object whole.
        PutObject {
            /// Name of the object.
            key: Key,
            /// Content of the object.
            bytes: Bytes,
        },
        /// Reads an object whole.
        GetObject {
            /// Name of the object.
            key: Key,
        },
        /// Deletes an object; one that does not exist is no error.
        DeleteObject {
            /// Name of the object.
            key: Key,
        },
    }
}

impl Request {
    /// Reports whether the request changes the store.
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Transact(_) | Self::PutObject { .. } | Self::DeleteObject { .. })
    }
}

data! {
    /// A row as read.
    pub struct Row {
        /// Key of the row.
        pub key: Key,
        /// Version of the row.
        pub version: RowVersion,
        /// Value of the row.
        pub value: Bytes,
    }
}

data! {
    /// Answer to a [`Request`].
    pub enum Response {
        /// The transaction took effect; versions of the written rows in the order of
        /// the writes, a deleted row counting as version zero.
        Committed(Vec<RowVersion>),
        /// A check did not hold, so nothing was written.
        Conflict,
        /// Row as read, or nothing where it does not exist.
        Row(Option<Row>),
        /// Rows as read by a scan.
        Rows {
            /// Rows in the order of their keys.
            rows: Vec<Row>,
            /// Whether rows beyond the limit exist.
            more: bool,
        },
        /// The object was written or deleted.
        Stored,
        /// Object as read, or nothing where it does not exist.
        Object(Option<Bytes>),
        /// The request was sent and its answer is lost: it may have taken effect.
        Unknown,
        /// The store refused or could not be reached: nothing took effect.
        Unavailable,
    }
}
