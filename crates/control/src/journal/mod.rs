//! Journal of durable records, committed in batches and read by successors.
//!
//! Each batch is one row of the table. Its transaction checks the writer's session row
//! and the absence of the batch row, so a batch is written at most once and never by a
//! fenced session. At most one batch is in flight.

mod batch;
mod coverage;
mod machine;
mod recovery;

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::Epoch;
use sycamorerill_core::{data, value};

use crate::ownership::Shard;
use crate::session;
use crate::store::Key;

pub use batch::Batch;
pub(crate) use machine::{Change, Machine, Purpose, WriteGuard};
pub use recovery::{Failure, Recovered, recover};
pub(crate) use recovery::{Recovery, Step};

value! {
    /// Position of a record in the journal of its session, from 1.
    pub struct Sequence(pub u64);
}

value! {
    /// Record kind, defined by the code that appends the record.
    pub struct Kind(pub u16);
}

data! {
    /// Record as stored in the journal.
    pub struct Record {
        /// Position in the journal of the session.
        pub sequence: Sequence,
        /// Shard that the record belongs to.
        pub shard: Shard,
        /// Epoch in which the writer owned the shard.
        pub epoch: Epoch,
        /// Kind of the record.
        pub kind: Kind,
        /// Content, which is opaque to the journal.
        pub bytes: Bytes,
    }
}

value! {
    /// What happens to a record that cannot be committed at once.
    pub enum Durability {
        /// The record is refused while the store is down, because a caller waits for the
        /// commit.
        Immediate,
        /// The record is kept in memory until it can be committed.
        Deferred,
    }
}

/// Reasons why a record is refused. A refused record is never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The store does not respond.
    #[error("the store does not answer, so the record cannot be made durable now; try again later")]
    StoreDown,
    /// The session of this instance is not open.
    #[error("this instance has no open session in the table")]
    NoSession,
    /// This instance does not serve the shard.
    #[error("this instance does not serve shard {0}; send the request to its owner")]
    NotOwner(Shard),
    /// Too many bytes are waiting to be written.
    #[error(
        "{waiting} bytes are waiting to be written, the limit is {limit} bytes; try again later"
    )]
    Full {
        /// Size of the waiting records in bytes.
        waiting: usize,
        /// Maximum size of the waiting records in bytes.
        limit: usize,
    },
    /// The record is larger than a batch can be.
    #[error("a record of {found} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
}

data! {
    /// Journal settings.
    pub struct Settings {
        /// Minimum time between two commits.
        pub min_interval: Span,
        /// Maximum time between two commits.
        pub max_interval: Span,
        /// Maximum size of the records in a batch, in bytes.
        pub max_batch_bytes: usize,
        /// Maximum size of the records waiting to be written, in bytes.
        pub max_waiting_bytes: usize,
        /// Size of a shard's records since its last snapshot, in bytes, above which
        /// another one is taken.
        pub snapshot_bytes: usize,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_interval: Span::from_ms(20),
            max_interval: Span::from_ms(2_000),
            max_batch_bytes: 256 << 10,
            max_waiting_bytes: 8 << 20,
            snapshot_bytes: 1 << 20,
        }
    }
}

/// Returns the key prefix of a session's batches.
pub fn prefix(session: &session::Name) -> Key {
    Key::new(format!("journal/{}/{:020}/", session.instance, session.incarnation.0))
}

/// Returns the key of a batch.
pub fn key(session: &session::Name, number: u64) -> Key {
    Key::new(format!("{}{number:020}", prefix(session)))
}
