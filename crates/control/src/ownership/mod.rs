//! Shard ownership and the rules under which a successor takes a shard over.
//!
//! The row of a shard names the session that owns it. An instance serves a shard only
//! after its write of the row is confirmed, and a successor writes the row only if the
//! takeover rule of the shard's [`Kind`] holds. Thus at most one instance serves a shard
//! in any epoch.

mod assignment;
mod handover;
mod machine;
mod orphans;
mod owned;
mod plan;
mod recoveries;
mod row;
mod snapshots;
mod table;
mod takeover;

use std::fmt;

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, Epoch, InstanceName};
use sycamorerill_core::{data, value};

use crate::journal::Recovered;
use crate::store::Key;

pub(crate) use machine::{Context, Machine, Purpose};
pub use row::{Row, Snapshot};
pub use table::Owner;
pub(crate) use table::{Entry, Table};

value! {
    /// Kind of the state in a shard, which determines its takeover rule.
    pub enum Kind {
        /// Slots of some executors.
        ///
        /// A successor needs evidence that the owner's process has ended.
        Slots,
        /// Idempotency keys.
        ///
        /// A successor fences the owner's session and reads its journal.
        Keys,
        /// Workers and jobs of a failure domain.
        ///
        /// The rule for idempotency keys applies; the successor then also queries the
        /// workers.
        Cell,
    }
}

impl Kind {
    /// All kinds, in the order of their codes.
    pub const ALL: [Self; 3] = [Self::Slots, Self::Keys, Self::Cell];

    /// Returns the name used in keys and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Keys => "keys",
            Self::Cell => "cell",
        }
    }

    pub(crate) const fn code(self) -> u8 {
        self as u8
    }

    pub(crate) fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }

    /// Returns whether the shard's records are stored in a journal.
    pub(crate) const fn is_journaled(self) -> bool {
        !matches!(self, Self::Slots)
    }
}

data! {
    /// Identifier of a shard.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct Shard {
        /// Kind of the shard.
        pub kind: Kind,
        /// Number of the shard within its kind, from 0.
        pub number: u32,
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.number)
    }
}

/// Prefix of the keys of all shard rows.
const PREFIX: &str = "shard/";

/// Returns the key of a shard row.
pub fn key(shard: Shard) -> Key {
    Key::new(format!("{PREFIX}{}/{:06}", shard.kind.as_str(), shard.number))
}

/// Returns the shard whose row has the given key, or `None` if it is not the key of a
/// shard row.
pub fn shard(key: &Key) -> Option<Shard> {
    let (kind, number) = key.as_str().strip_prefix(PREFIX)?.split_once('/')?;
    let kind = Kind::ALL.into_iter().find(|known| known.as_str() == kind)?;
    Some(Shard { kind, number: number.parse().ok()? })
}

value! {
    /// How this instance became the owner of a shard.
    pub enum Acquisition {
        /// The shard had no owner before.
        First,
        /// The previous owner handed the shard over and the message arrived.
        Handover,
        /// The previous owner was replaced, or its handover message was not received.
        ///
        /// The shard's state is known only from the journal.
        Takeover,
    }
}

impl Acquisition {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Handover => "handover",
            Self::Takeover => "takeover",
        }
    }
}

data! {
    /// A shard that this instance starts to serve.
    pub struct Gained {
        /// Shard that was recovered.
        pub shard: Shard,
        /// Epoch in which this instance owns the shard.
        pub epoch: Epoch,
        /// How this instance became the owner.
        pub acquisition: Acquisition,
        /// State sent by the previous owner, if its handover message arrived.
        pub handover_state: Option<Bytes>,
        /// State recovered from the snapshot and the journals.
        pub recovered: Recovered,
    }
}

data! {
    /// Ownership settings.
    pub struct Settings {
        /// Number of shards of executors' slots.
        pub slots: u32,
        /// Number of shards of idempotency keys.
        pub keys: u32,
        /// Failure domains, indexed by the numbers of their cells.
        pub cells: Vec<DomainName>,
        /// Maximum number of instances that own keys and cells, which bounds the number
        /// of journals.
        pub writers: usize,
        /// Time after the session opens in which no shard is claimed, so that other
        /// instances can start.
        pub startup_delay: Span,
        /// Time for which a restarting owner keeps its shards.
        ///
        /// Doubled if its new incarnation is already running.
        pub restart_wait: Span,
        /// Time in which a session must answer a challenge.
        pub challenge_wait: Span,
        /// Time for which an answered challenge prevents another one.
        pub challenge_trust: Span,
        /// Time for which another instance must stay the preferred owner before a shard
        /// moves to it.
        pub stable_after: Span,
        /// Maximum number of shards that an instance hands over at the same time.
        pub max_concurrent_moves: usize,
        /// Time between two scans of the table in a group of up to nine instances.
        ///
        /// Larger groups scan less often, in proportion to their size.
        pub scan_interval: Span,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 64,
            keys: 64,
            cells: Vec::new(),
            writers: 64,
            startup_delay: Span::from_ms(1_500),
            restart_wait: Span::from_ms(3_000),
            challenge_wait: Span::from_ms(2_000),
            challenge_trust: Span::from_secs(10),
            stable_after: Span::from_secs(10),
            max_concurrent_moves: 16,
            scan_interval: Span::from_secs(15),
        }
    }
}

impl Settings {
    /// Returns all shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        let counts = [self.slots, self.keys, self.cells.len() as u32];
        Kind::ALL
            .into_iter()
            .zip(counts)
            .flat_map(|(kind, count)| (0..count).map(move |number| Shard { kind, number }))
    }
}

data! {
    /// Handover of a shard to its new owner.
    pub struct Handover {
        /// The shard with its new owner and epoch.
        pub owner: Owner,
        /// State that the previous owner passes to the new owner.
        pub handover_state: Bytes,
    }
}

data! {
    /// Last known owner of a shard.
    pub struct KnownOwner {
        /// Instance that owns the shard.
        pub instance: InstanceName,
        /// Epoch of the ownership.
        pub epoch: Epoch,
    }
}
