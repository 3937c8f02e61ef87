//! Assignment of executors, idempotency keys and jobs to shards.

use sycamorerill_calls::keys;
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_core::id::{DomainName, ExecutorName, JobName};
use xxhash_rust::xxh3::xxh3_64;

/// Numbers of shards of each kind, which must be equal in all entry instances.
#[derive(Clone, Debug)]
pub(crate) struct ShardLayout {
    /// Number of slot shards.
    pub(crate) slot_shards: u32,
    /// Number of shards of idempotency keys.
    pub(crate) key_shards: u16,
    /// Failure domains; the index of a domain is the shard number of its cell.
    pub(crate) domains: Vec<DomainName>,
}

impl ShardLayout {
    /// Returns the slot shard of an executor.
    pub(crate) fn of_executor(&self, executor: &ExecutorName) -> Shard {
        let number = xxh3_64(executor.bytes()) % u64::from(self.slot_shards.max(1));
        Shard { kind: Kind::Slots, number: u32::try_from(number).unwrap_or_default() }
    }

    /// Converts a key shard to the shard under which it is owned.
    pub(crate) fn of_keys(shard: keys::Shard) -> Shard {
        Shard { kind: Kind::Keys, number: u32::from(shard.0) }
    }

    /// Converts an owned shard to its key shard.
    pub(crate) fn key_shard(shard: Shard) -> keys::Shard {
        keys::Shard(u16::try_from(shard.number).unwrap_or_default())
    }

    pub(crate) fn all_key_shards(&self) -> impl Iterator<Item = keys::Shard> + use<> {
        (0..self.key_shards).map(keys::Shard)
    }

    /// Returns the shard of a failure domain's cell, or `None` if the domain is not
    /// configured.
    pub(crate) fn of_cell(&self, domain: &DomainName) -> Option<Shard> {
        let number = self.domains.iter().position(|listed| listed == domain)?;
        Some(Shard { kind: Kind::Cell, number: u32::try_from(number).ok()? })
    }

    /// Returns the failure domain whose cell is owned under `shard`.
    pub(crate) fn domain_of(&self, shard: Shard) -> Option<&DomainName> {
        self.domains.get(usize::try_from(shard.number).ok()?)
    }

    /// Returns the failure domain to whose cell a job of this name is submitted.
    ///
    /// The choice depends on the name only, so a retried submission reaches the same
    /// cell.
    pub(crate) fn home_domain(&self, job: &JobName) -> Option<&DomainName> {
        let domains = u64::try_from(self.domains.len()).ok().filter(|domains| *domains > 0)?;
        let number = xxh3_64(job.bytes()) % domains;
        self.domains.get(usize::try_from(number).ok()?)
    }
}
