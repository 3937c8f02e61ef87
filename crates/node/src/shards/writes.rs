//! Splits the records of a batch into transactions that the store accepts.

use std::collections::VecDeque;

use bytes::Bytes;
use sycamorerill_jobs::record::RecordId;

use crate::platform::{Key, Table, Transaction};

/// Maximum number of rows that one transaction changes: the store accepts 100 entries, of which the
/// claim and the sequence take up to four.
const MAX_ROWS: usize = 96;
/// Maximum number of bytes in the values of one transaction. Encoded, and with their keys, they stay
/// below the 1 MB that the store accepts.
const MAX_BYTES: usize = 600 * 1_024;

/// A row to write, or to remove if it has no value.
pub(super) type Change = (Key, Option<Bytes>);

/// Changes of rows that are committed in one or more transactions, in their order.
#[derive(Debug)]
pub(super) struct Writes {
    waiting: VecDeque<Change>,
    /// Changes of the transaction in progress.
    in_flight: Vec<Change>,
    /// Maximum number of rows in the next transaction. It shrinks while the store rejects
    /// transactions, until the row that it rejects is found.
    max_rows: usize,
    max_row_bytes: usize,
    rejected: Vec<Change>,
}

impl Writes {
    /// Returns changes of rows that may hold `max_row_bytes` each.
    pub(super) fn new(changes: Vec<Change>, max_row_bytes: usize) -> Self {
        let (in_flight, rejected) = (Vec::new(), Vec::new());
        Self { waiting: changes.into(), in_flight, max_rows: MAX_ROWS, max_row_bytes, rejected }
    }

    /// Returns whether all changes are committed or rejected.
    pub(super) fn is_done(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Adds the next changes to a transaction.
    pub(super) fn add_to(&mut self, transaction: &mut Transaction) {
        let mut bytes = 0;
        while let Some((_, value)) = self.waiting.front() {
            let length = value.as_ref().map_or(0, Bytes::len);
            let is_full = self.in_flight.len() >= self.max_rows || bytes + length > MAX_BYTES;
            if !self.in_flight.is_empty() && is_full {
                break;
            }
            let Some(change) = self.waiting.pop_front() else {
                break;
            };
            if length > self.max_row_bytes {
                self.reject(change);
                continue;
            }
            bytes += length;
            self.in_flight.push(change);
        }
        for (key, value) in &self.in_flight {
            match value {
                Some(value) => transaction.writes.push((key.clone(), value.clone())),
                None => transaction.removes.push(key.clone()),
            }
        }
    }

    /// Notes that the transaction in progress was committed.
    pub(super) fn committed(&mut self) {
        self.in_flight.clear();
        self.max_rows = (self.max_rows * 2).min(MAX_ROWS);
    }

    /// Notes that the store rejects the transaction in progress for good. Its changes are tried
    /// again in smaller transactions; a single one is given up.
    pub(super) fn refused(&mut self) {
        let mut changes = std::mem::take(&mut self.in_flight);
        self.max_rows = (changes.len() / 2).max(1);
        if changes.len() == 1
            && let Some(change) = changes.pop()
        {
            self.reject(change);
            return;
        }
        for change in changes.into_iter().rev() {
            self.waiting.push_front(change);
        }
    }

    /// Removes and returns the keys of the rows that were rejected.
    pub(super) fn take_rejected(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.rejected).into_iter().map(|(key, _)| key).collect()
    }

    /// Gives up a change, and the state of the job whose record it is: callers must not learn of
    /// a state that no successor would know.
    fn reject(&mut self, change: Change) {
        let record = record_id(&change.0);
        self.rejected.push(change);
        if let Some(record) = record {
            let job = record.job.to_string();
            self.waiting.retain(|(key, _)| key.table != Table::States || key.name != job);
        }
    }
}

/// Returns the identifier of the record in a row; returns none if the row holds no record.
pub(super) fn record_id(key: &Key) -> Option<RecordId> {
    (key.table == Table::Progress).then(|| key.name.parse().ok()).flatten()
}
