//! Owners of all shards as this instance knows them.

use std::collections::BTreeMap;

use sycamorerill_core::data;
use sycamorerill_core::id::Epoch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Place, Row, Shard};
use crate::session;
use crate::store::RowVersion;

data! {
    /// Owner of one shard, as instances tell each other.
    pub struct Owner {
        /// The shard.
        pub shard: Shard,
        /// Session that owns it.
        pub session: session::Name,
        /// Epoch of the ownership.
        pub epoch: Epoch,
    }
}

data! {
    /// A row as read from the table.
    pub(crate) struct Entry {
        pub(crate) version: RowVersion,
        pub(crate) row: Row,
    }
}

/// Owners by shard; of two claims the one of the higher epoch holds.
#[derive(Debug, Default)]
pub(crate) struct Table {
    owners: BTreeMap<Shard, Owner>,
    digest: u64,
}

impl Table {
    /// Takes a claim and reports whether it was news.
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

    /// Returns a number that differs, but for chance, where two tables differ.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn place(&self, shard: Shard) -> Option<Place> {
        let owner = self.owner(shard)?;
        Some(Place { instance: owner.session.instance.clone(), epoch: owner.epoch })
    }
}

fn digest(owner: &Owner) -> u64 {
    let seed = u64::from(owner.shard.kind.code()) << 56 | u64::from(owner.shard.number);
    xxh3_64_with_seed(&owner.epoch.0.to_be_bytes(), seed)
}
