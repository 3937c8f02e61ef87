//! Which instance owns which shard, and what lets a successor take over.
//!
//! A shard is owned by the session that its row names. An owner acts only once its
//! write of the row is certain, and a successor writes the row only once the rule
//! of the shard's [`Kind`] holds, so of each epoch at most one owner is effective.

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
    /// What a shard holds, and so what a successor needs.
    pub enum Kind {
        /// Slots of some executors: a successor needs proof that the process is gone.
        Slots,
        /// Idempotency keys: a successor fences the session and reads its journal.
        Keys,
        /// Workers and active of a failure domain: as keys, then a round of the workers.
        Cell,
    }
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Slots, Self::Keys, Self::Cell];

    /// Returns the word used in keys and logs.
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

    /// Reports whether the shard has state in the journal.
    pub(crate) const fn is_journaled(self) -> bool {
        !matches!(self, Self::Slots)
    }
}

data! {
    /// One shard.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct Shard {
        /// What the shard holds.
        pub kind: Kind,
        /// Number of the shard among those of its kind, from 0.
        pub number: u32,
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.number)
    }
}

/// First part of the keys of all shards.
const PREFIX: &str = "shard/";

/// Returns the row of a shard.
pub fn key(shard: Shard) -> Key {
    Key::new(format!("{PREFIX}{}/{:06}", shard.kind.as_str(), shard.number))
}

/// Returns the shard whose row has this key.
pub fn shard(key: &Key) -> Option<Shard> {
    let (kind, number) = key.as_str().strip_prefix(PREFIX)?.split_once('/')?;
    let kind = Kind::ALL.into_iter().find(|known| known.as_str() == kind)?;
    Some(Shard { kind, number: number.parse().ok()? })
}

value! {
    /// How a shard came to this instance.
    pub enum Way {
        /// Nobody had owned it before.
        First,
        /// The owner gave it up and said so.
        Handover,
        /// The owner was replaced; what it did last is only known from the journal.
        Takeover,
    }
}

impl Way {
    /// Returns the word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Handover => "handover",
            Self::Takeover => "takeover",
        }
    }
}

data! {
    /// A shard that is at work on this instance from now on.
    pub struct Gained {
        /// The shard.
        pub shard: Shard,
        /// Epoch under which this instance owns it.
        pub epoch: Epoch,
        /// How the shard came here.
        pub way: Way,
        /// What the giver said, in a hand-over whose message arrived.
        pub carry: Option<Bytes>,
        /// What earlier owners left in the journal.
        pub recovered: Recovered,
    }
}

data! {
    /// Settings of the ownership.
    pub struct Settings {
        /// Number of shards of executors' slots.
        pub slots: u32,
        /// Number of shards of idempotency keys.
        pub keys: u32,
        /// Failure domains in the order of the numbers of their cells.
        pub cells: Vec<DomainName>,
        /// Instances that own keys and cells, which bounds the number of journals.
        pub writers: usize,
        /// Time after the start in which other instances are waited for.
        pub startup_delay: Span,
        /// Time that a restarting owner is given to come back.
        pub restart_wait: Span,
        /// Time that a challenged session is given to answer.
        pub challenge_wait: Span,
        /// Time for which an answered challenge is trusted.
        pub challenge_trust: Span,
        /// Time for which a better owner must have been there before shards move to it.
        pub stable_after: Span,
        /// Largest number of shards that an owner gives away at once.
        pub max_concurrent_moves: usize,
        /// Time between two scans of the table in a group of nine instances.
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
    /// Returns every shard that these settings name.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        let counts = [self.slots, self.keys, self.cells.len() as u32];
        Kind::ALL
            .into_iter()
            .zip(counts)
            .flat_map(|(kind, count)| (0..count).map(move |number| Shard { kind, number }))
    }
}

data! {
    /// A shard that this instance gives away, and what it says to the receiver.
    pub struct Handover {
        /// The shard with its new owner.
        pub owner: Owner,
        /// What the receiver is told.
        pub carry: Bytes,
    }
}

data! {
    /// Where a shard is at work as far as this instance knows.
    pub struct Place {
        /// Instance that owns the shard.
        pub instance: InstanceName,
        /// Epoch of the ownership.
        pub epoch: Epoch,
    }
}
