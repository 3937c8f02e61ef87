//! Requests to the platform's table and object store, and the queue that rate-limits
//! them.
//!
//! Every table write is a [`Transaction`], which is applied atomically and only if all
//! of its checks hold. A response can be lost after the write took effect. Such a
//! request ends as [`Response::Unknown`], which must not be treated as a failure.

mod budget;
mod queue;

use std::fmt;

use bytes::Bytes;
use sycamorerill_core::{data, value};

pub use budget::{Budget, TokenBucket};
pub(crate) use queue::RequestQueue;
pub use queue::{Priority, State, Usage};

value! {
    /// Identifier of a request, unique within an incarnation.
    pub struct RequestId(pub u64);
}

value! {
    /// Row version assigned by the table; it changes with each write of the row.
    pub struct RowVersion(pub u64);
}

/// Key of a row or of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(String);

impl Key {
    /// Creates a key from its text.
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
    /// Row state that a check requires.
    pub enum Expected {
        /// The row does not exist.
        Absent,
        /// The row exists at this version.
        At(RowVersion),
    }
}

data! {
    /// Precondition of a transaction on one row.
    pub struct Check {
        /// Row to check.
        pub key: Key,
        /// Required state of the row.
        pub expected: Expected,
    }
}

data! {
    /// Write of one row.
    pub struct Write {
        /// Row to write.
        pub key: Key,
        /// New value, or `None` to delete the row.
        pub value: Option<Bytes>,
    }
}

data! {
    /// Row writes that are applied atomically if every check holds; otherwise none is
    /// applied.
    #[derive(Default)]
    pub struct Transaction {
        /// Preconditions, all of which must hold.
        pub checks: Vec<Check>,
        /// Row writes, in the order of the versions in [`Response::Committed`].
        pub writes: Vec<Write>,
    }
}

impl Transaction {
    /// Adds a precondition.
    pub fn check(mut self, key: Key, expected: Expected) -> Self {
        self.checks.push(Check { key, expected });
        self
    }

    /// Adds a row to write.
    pub fn put(mut self, key: Key, value: Bytes) -> Self {
        self.writes.push(Write { key, value: Some(value) });
        self
    }

    /// Adds a row deletion.
    pub fn delete(mut self, key: Key) -> Self {
        self.writes.push(Write { key, value: None });
        self
    }
}

data! {
    /// Request to the table or the object store.
    pub enum Request {
        /// Applies a transaction to the table.
        Transact(Transaction),
        /// Reads one row of the table.
        Row {
            /// Key of the row.
            key: Key,
        },
        /// Reads the rows whose keys start with `prefix`, in key order.
        Scan {
            /// Prefix of the keys to return.
            prefix: Key,
            /// Key after which the scan starts; `None` to start at the first key.
            after: Option<Key>,
            /// Maximum number of rows in the response.
            limit: u32,
        },
        /// Writes an object, replacing any previous content.
        PutObject {
            /// Key of the object.
            key: Key,
            /// Full content of the object.
            bytes: Bytes,
        },
        /// Reads the full content of an object.
        GetObject {
            /// Key of the object.
            key: Key,
        },
        /// Deletes an object. Deleting an object that does not exist succeeds.
        DeleteObject {
            /// Key of the object.
            key: Key,
        },
    }
}

impl Request {
    /// Returns whether the request changes the store.
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Transact(_) | Self::PutObject { .. } | Self::DeleteObject { .. })
    }
}

data! {
    /// A row read from the table.
    pub struct Row {
        /// Key of the row.
        pub key: Key,
        /// Version of the row when it was read.
        pub version: RowVersion,
        /// Value in the stored form.
        pub value: Bytes,
    }
}

data! {
    /// Response to a [`Request`].
    pub enum Response {
        /// The transaction took effect.
        ///
        /// Holds the new row versions in the order of the writes; the version of a
        /// deleted row is zero.
        Committed(Vec<RowVersion>),
        /// A check did not hold, so the transaction had no effect.
        Conflict,
        /// The requested row, or `None` if it does not exist.
        Row(Option<Row>),
        /// Rows found by a scan.
        Rows {
            /// Rows in key order.
            rows: Vec<Row>,
            /// Whether the scan stopped at its limit before the last row.
            more: bool,
        },
        /// The object was written or deleted.
        Stored,
        /// Content of the requested object, or `None` if it does not exist.
        Object(Option<Bytes>),
        /// The request was sent but no response was received; it may have taken effect.
        Unknown,
        /// The store rejected the request or could not be reached; the request had no
        /// effect.
        Unavailable,
    }
}
