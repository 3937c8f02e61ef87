//! Missed targets, each counted once, and the settlement of a period.
//!
//! A miss is identified by its target, its subject and a minute that follows from
//! the subject, such as that of its deadline. Sets of misses are joined, never
//! added up, so counting one again is harmless whoever does it.

mod compaction;
mod entry;
mod machine;
mod settlement;
mod stored;

use sycamorerill_core::clock::Span;
use sycamorerill_core::money::Amount;
use sycamorerill_core::{data, value};

use crate::codec::Error;
use crate::session;
use crate::store::Key;

pub use entry::{By, Counts, Entry, Id, Misses, Total, settle};
pub(crate) use machine::{Context, Machine, Purpose};
pub use stored::{decode, encode};
pub(crate) use stored::{read_misses, write_misses};

/// Minutes in one hour.
const MINUTES_PER_HOUR: u64 = 60;

value! {
    /// Minute of the wall clock since 1970.
    pub struct Minute(pub u64);
}

impl Minute {
    /// Returns the hour of the minute since 1970.
    pub const fn hour(self) -> u64 {
        self.0 / MINUTES_PER_HOUR
    }
}

value! {
    /// Identity of one settlement that an operator asks for.
    pub struct SettleId(pub u64);
}

data! {
    /// Request for the totals of a period.
    pub struct Settle {
        /// Identity of the request.
        pub id: SettleId,
        /// First minute of the period.
        pub from: Minute,
        /// First minute after the period.
        pub to: Minute,
        /// What the totals are grouped by.
        pub by: By,
    }
}

data! {
    /// Answer to a [`Settle`].
    pub struct Settled {
        /// Totals in the order of their names.
        pub totals: Vec<Total>,
        /// Sum of all totals.
        pub amount: Amount,
        /// Misses that this instance knows of and that do not last yet.
        pub pending: u64,
    }
}

/// The ways in which a settlement can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The store does not answer.
    #[error("the store does not answer, so the period cannot be settled now; try again later")]
    StoreDown,
    /// A piece is torn, corrupt or missing.
    #[error("`{key}` is damaged, so the period cannot be settled: {error}")]
    Damaged {
        /// Row or object that is damaged.
        key: Key,
        /// What is wrong with it.
        #[source]
        error: Error,
    },
}

/// A miss that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{limit} misses wait to be written, no more are taken; the store has been down for long")]
pub struct Full {
    /// Largest number of misses that may wait.
    pub limit: usize,
}

data! {
    /// Settings of the penalties.
    pub struct Settings {
        /// Wall-clock minute at the start of the clock.
        pub start: Minute,
        /// Time between two writes of misses in a group of nine instances.
        pub flush_interval: Span,
        /// Time between telling peers of new misses.
        pub gossip_interval: Span,
        /// Peers that keep the misses that do not last yet.
        pub replicas: usize,
        /// Largest number of misses that may wait.
        pub max_waiting: usize,
        /// Time after the end of an hour in which its misses are compacted.
        pub grace: Span,
        /// Time between two looks for hours to compact.
        pub compact_interval: Span,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            start: Minute(0),
            flush_interval: Span::from_ms(2_000),
            gossip_interval: Span::from_ms(100),
            replicas: 2,
            max_waiting: 100_000,
            grace: Span::from_secs(600),
            compact_interval: Span::from_secs(300),
        }
    }
}

/// First part of the keys of misses that are not compacted.
pub(crate) const UNCOMPACTED_PREFIX: &str = "penalty/";
/// First part of the keys of compacted hours.
pub(crate) const COMPACTED_PREFIX: &str = "count/";

/// Returns the row of a batch of misses of one hour.
pub(crate) fn uncompacted_key(hour: u64, by: &session::Name, number: u64) -> Key {
    let incarnation = by.incarnation.0;
    Key::new(format!(
        "{UNCOMPACTED_PREFIX}{hour:012}/{}/{incarnation:020}/{number:020}",
        by.instance
    ))
}

/// Returns the row of a compacted hour.
pub(crate) fn compacted_key(hour: u64) -> Key {
    Key::new(format!("{COMPACTED_PREFIX}{hour:012}"))
}

/// Returns the hour of a row of misses or of a compacted hour.
pub(crate) fn hour_of(key: &Key) -> Option<u64> {
    let text = key.as_str();
    let rest =
        text.strip_prefix(UNCOMPACTED_PREFIX).or_else(|| text.strip_prefix(COMPACTED_PREFIX))?;
    rest.split('/').next()?.parse().ok()
}
