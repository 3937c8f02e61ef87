//! Missed targets, each counted once, and the settlement of their penalties for a
//! period.
//!
//! A miss is identified by its target, its subject and a minute derived from the
//! subject, such as that of its deadline. Misses are combined as sets, so a miss that
//! several instances report is counted once.

mod compaction;
mod machine;
mod miss;
mod settlement;
mod stored;

use sycamorerill_core::clock::Span;
use sycamorerill_core::money::Amount;
use sycamorerill_core::{data, value};

use crate::codec::Error;
use crate::session;
use crate::store::Key;

pub(crate) use machine::{Context, Machine, Purpose};
pub use miss::{Counts, GroupBy, Miss, MissId, Misses, Total, settle};
pub use stored::{decode, encode};
pub(crate) use stored::{read_misses, write_misses};

const MINUTES_PER_HOUR: u64 = 60;

value! {
    /// Wall-clock minute since 1970.
    pub struct Minute(pub u64);
}

impl Minute {
    /// Returns the wall-clock hour since 1970.
    pub const fn hour(self) -> u64 {
        self.0 / MINUTES_PER_HOUR
    }
}

value! {
    /// Identifier of an operator's settlement request.
    pub struct SettleId(pub u64);
}

data! {
    /// Request for the totals of a period.
    pub struct SettleRequest {
        /// Identifier of the request.
        pub id: SettleId,
        /// First minute of the period.
        pub from: Minute,
        /// First minute after the period.
        pub to: Minute,
        /// Key by which the totals are grouped.
        pub by: GroupBy,
    }
}

data! {
    /// Result of a [`SettleRequest`] request.
    pub struct Settlement {
        /// Totals, ordered by name.
        pub totals: Vec<Total>,
        /// Sum of all totals.
        pub amount: Amount,
        /// Number of misses added on this instance that are not durable yet.
        pub pending: u64,
    }
}

/// Reasons why a settlement fails.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The store does not respond.
    #[error("the store does not answer, so the period cannot be settled now; try again later")]
    StoreDown,
    /// A row or object is truncated, corrupt or missing.
    #[error("`{key}` is damaged, so the period cannot be settled: {error}")]
    Damaged {
        /// Key of the damaged row or object.
        key: Key,
        /// Kind of the damage.
        #[source]
        error: Error,
    },
}

/// A miss was rejected because too many are waiting to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{limit} misses are waiting to be written, so no more are accepted until the store is up again"
)]
pub struct QueueFull {
    /// Maximum number of waiting misses.
    pub limit: usize,
}

data! {
    /// Penalty settings.
    pub struct Settings {
        /// Wall-clock minute at instant zero of the clock.
        pub start: Minute,
        /// Time between two writes of misses in a group of up to nine instances.
        ///
        /// Larger groups write less often, in proportion to their size.
        pub flush_interval: Span,
        /// Time between two messages that replicate new misses.
        pub gossip_interval: Span,
        /// Number of peers to which misses are replicated until they are durable.
        pub replicas: usize,
        /// Maximum number of waiting misses of this instance, and of replicated misses
        /// of each peer.
        pub max_waiting: usize,
        /// Time after the end of an hour before its misses are compacted, so that late
        /// misses can arrive.
        pub grace: Span,
        /// Time between two attempts to compact an hour.
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

/// Prefix of the keys of uncompacted misses.
pub(crate) const UNCOMPACTED_PREFIX: &str = "penalty/";
/// Prefix of the keys of compacted hours.
pub(crate) const COMPACTED_PREFIX: &str = "count/";

/// Returns the key of a row with uncompacted misses of one hour.
pub(crate) fn uncompacted_key(hour: u64, by: &session::Name, number: u64) -> Key {
    let incarnation = by.incarnation.0;
    Key::new(format!(
        "{UNCOMPACTED_PREFIX}{hour:012}/{}/{incarnation:020}/{number:020}",
        by.instance
    ))
}

/// Returns the key of the row of a compacted hour.
pub(crate) fn compacted_key(hour: u64) -> Key {
    Key::new(format!("{COMPACTED_PREFIX}{hour:012}"))
}

/// Returns the hour from the key of a row with uncompacted misses or of a compacted
/// hour.
pub(crate) fn hour_of(key: &Key) -> Option<u64> {
    let text = key.as_str();
    let rest =
        text.strip_prefix(UNCOMPACTED_PREFIX).or_else(|| text.strip_prefix(COMPACTED_PREFIX))?;
    rest.split('/').next()?.parse().ok()
}
