//! Tracks which batches of this session are still needed for a recovery.

use std::collections::BTreeMap;

use super::{Record, Sequence};
use crate::ownership::Shard;

/// Last sequence of each shard in each batch, and the sequences that snapshots cover.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    batches: BTreeMap<u64, BTreeMap<Shard, Sequence>>,
    covered: BTreeMap<Shard, Sequence>,
    bytes: BTreeMap<Shard, usize>,
}

impl Coverage {
    pub(crate) fn add_batch(&mut self, number: u64, records: &[Record]) {
        let batch = self.batches.entry(number).or_default();
        for record in records {
            batch.insert(record.shard, record.sequence);
            *self.bytes.entry(record.shard).or_default() += record.bytes.len();
        }
    }

    /// Records that a snapshot contains all records of `shard` up to `sequence`.
    pub(crate) fn cover(&mut self, shard: Shard, sequence: Sequence) {
        let covered = self.covered.entry(shard).or_default();
        *covered = (*covered).max(sequence);
        self.bytes.remove(&shard);
    }

    /// Returns the shards with more than `limit` bytes of records since their last
    /// snapshot.
    pub(crate) fn shards_above(&self, limit: usize) -> impl Iterator<Item = Shard> {
        self.bytes.iter().filter(move |(_, bytes)| **bytes > limit).map(|(shard, _)| *shard)
    }

    /// Removes the oldest batches that are fully covered and returns the number of the
    /// oldest batch that is still needed, or `next` if there is none.
    pub(crate) fn remove_covered(&mut self, next: u64) -> u64 {
        while let Some(entry) = self.batches.first_entry() {
            let needed = |(shard, last): (&Shard, &Sequence)| {
                self.covered.get(shard).is_none_or(|covered| covered < last)
            };
            if entry.get().iter().any(needed) {
                return *entry.key();
            }
            entry.remove();
        }
        next
    }
}
