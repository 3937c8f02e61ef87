//! Known owners of all shards.

use std::collections::BTreeMap;

use sycamorerill_core::data;
use sycamorerill_core::id::Epoch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{KnownOwner, Row, Shard};
use crate::session;
use crate::store::RowVersion;

data! {
    /// Owner of a shard, as exchanged between instances.
    pub struct Owner {
        /// Shard that is owned.
        pub shard: Shard,
        /// Session that owns the shard.
        pub session: session::Name,
        /// Epoch of the ownership.
        pub epoch: Epoch,
    }
}

data! {
    /// Shard row as read from the table.
    pub(crate) struct Entry {
        pub(crate) version: RowVersion,
        pub(crate) row: Row,
    }
}

/// Owners by shard. The claim with the higher epoch replaces the other.
#[derive(Debug, Default)]
pub(crate) struct Table {
    owners: BTreeMap<Shard, Owner>,
    digest: u64,
}

impl Table {
    /// Merges an owner and returns whether the table has changed.
    pub(crate) fn merge(&mut self, owner: &Owner) -> bool {
        let known = self.owners.get(&owner.shard);
        if known.is_some_and(|known| known.epoch >= owner.epoch) {
            return false;
        }
        self.digest ^= known.map_or(0, digest) ^ digest(owner);
        self.owners.insert(owner.shard, owner.clone());
        true
    }

    pub(crate) fn owner(&self, shard: Shard) -> Option<&Owner> {
        self.owners.get(&shard)
    }

    pub(crate) fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.owners.values()
    }

    /// Returns a digest of the table. Equal digests mean equal tables, except for hash
    /// collisions.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn known_owner(&self, shard: Shard) -> Option<KnownOwner> {
        let owner = self.owner(shard)?;
        Some(KnownOwner { instance: owner.session.instance.clone(), epoch: owner.epoch })
    }
}

fn digest(owner: &Owner) -> u64 {
    let seed = u64::from(owner.shard.kind.code()) << 56 | u64::from(owner.shard.number);
    xxh3_64_with_seed(&owner.epoch.0.to_be_bytes(), seed)
}
