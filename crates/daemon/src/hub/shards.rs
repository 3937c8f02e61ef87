//! Which shard holds what.

use sycamorerill_calls::keys;
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_core::id::{DomainName, ExecutorName, JobName};
use xxhash_rust::xxh3::xxh3_64;

/// Numbers of shards, the same in every entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Shards {
    /// Shards of executors' slots.
    pub(crate) slots: u32,
    /// Shards of idempotency keys.
    pub(crate) keys: u16,
    /// Failure domains in the order of the numbers of their cells.
    pub(crate) cells: Vec<DomainName>,
}

impl Shards {
    /// Returns the shard of an executor's slots.
    pub(crate) fn of_executor(&self, executor: &ExecutorName) -> Shard {
        let number = xxh3_64(executor.bytes()) % u64::from(self.slots.max(1));
        Shard { kind: Kind::Slots, number: u32::try_from(number).unwrap_or_default() }
    }

    /// Returns the shard of a shard of keys, as ownership knows it.
    pub(crate) fn of_keys(shard: keys::Shard) -> Shard {
        Shard { kind: Kind::Keys, number: u32::from(shard.0) }
    }

    /// Returns the shard of keys that a shard of ownership is.
    pub(crate) fn keys(shard: Shard) -> keys::Shard {
        keys::Shard(u16::try_from(shard.number).unwrap_or_default())
    }

    /// Returns every shard of keys.
    pub(crate) fn all_keys(&self) -> impl Iterator<Item = keys::Shard> + use<> {
        (0..self.keys).map(keys::Shard)
    }

    /// Returns the shard of the cell of a failure domain.
    pub(crate) fn of_cell(&self, domain: &DomainName) -> Option<Shard> {
        let number = self.cells.iter().position(|cell| cell == domain)?;
        Some(Shard { kind: Kind::Cell, number: u32::try_from(number).ok()? })
    }

    /// Returns the failure domain of a cell's shard.
    pub(crate) fn cell(&self, shard: Shard) -> Option<&DomainName> {
        self.cells.get(usize::try_from(shard.number).ok()?)
    }

    /// Returns the failure domain whose cell a job of this name is submitted to.
    ///
    /// A repeat of a submission comes to the same cell.
    pub(crate) fn home(&self, job: &JobName) -> Option<&DomainName> {
        let cells = u64::try_from(self.cells.len()).ok().filter(|cells| *cells > 0)?;
        let number = xxh3_64(job.bytes()) % cells;
        self.cells.get(usize::try_from(number).ok()?)
    }
}
