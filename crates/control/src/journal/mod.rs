//! Records that must last, committed in groups and read by successors.
//!
//! One row of the table holds one batch. Its transaction checks the session of the
//! writer and that the row is absent, so a batch is written at most once and never
//! by a session that a successor has fenced. At most one batch is in flight.

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
    /// Place of a record in the journal of its session, from 1.
    pub struct Sequence(pub u64);
}

value! {
    /// Kind of a record, given by the machine that appends it.
    pub struct Kind(pub u16);
}

data! {
    /// A record as stored.
    pub struct Record {
        /// Place in the journal of the session.
        pub sequence: Sequence,
        /// Shard that the record belongs to.
        pub shard: Shard,
        /// Epoch under which the writer owned the shard.
        pub epoch: Epoch,
        /// Kind of the record.
        pub kind: Kind,
        /// Content, which the journal does not look into.
        pub bytes: Bytes,
    }
}

value! {
    /// What to do with a record that cannot be made to last at once.
    pub enum Need {
        /// Refuse it: somebody waits for it to last.
        Now,
        /// Keep it in memory until it can be written.
        Later,
    }
}

/// The ways in which a record can be refused; a refused record is never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The store does not answer.
    #[error("the store does not answer, so nothing can be made to last now; try again later")]
    StoreDown,
    /// The session of this instance has not opened or has ended.
    #[error("this instance has no session in the table")]
    NoSession,
    /// The shard is not at work on this instance.
    #[error("shard {0} is not at work on this instance; ask its owner")]
    NotOwner(Shard),
    /// Too much waits to be written.
    #[error("{waiting} bytes wait to be written, the limit is {limit}; try again later")]
    Full {
        /// Bytes that wait.
        waiting: usize,
        /// Largest number of bytes that may wait.
        limit: usize,
    },
    /// The record is larger than a batch may be.
    #[error("a record of {found} bytes is too large, the limit is {limit}")]
    TooLarge {
        /// Length of the record in bytes.
        found: usize,
        /// Largest length in bytes.
        limit: usize,
    },
}

data! {
    /// Settings of the journal.
    pub struct Settings {
        /// Shortest time between two commits.
        pub min_interval: Span,
        /// Longest time between two commits.
        pub max_interval: Span,
        /// Largest batch in bytes.
        pub max_batch_bytes: usize,
        /// Largest size of waiting records in bytes.
        pub max_waiting_bytes: usize,
        /// Bytes since the last snapshot of a shard after which another is wanted.
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

/// Returns the first part of the keys of a session's batches.
pub fn prefix(session: &session::Name) -> Key {
    Key::new(format!("journal/{}/{:020}/", session.instance, session.incarnation.0))
}

/// Returns the row of a batch.
pub fn key(session: &session::Name, number: u64) -> Key {
    Key::new(format!("{}{number:020}", prefix(session)))
}
