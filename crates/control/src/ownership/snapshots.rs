//! Shard snapshots, each stored as an object that the shard row refers to.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};

use super::machine::{Context, Intent, Machine, Purpose};
use super::{Row, Shard, Snapshot, key};
use crate::agent::{Command, Outbox};
use crate::codec;
use crate::journal::Sequence;
use crate::store::{Check, Expected, Key, Priority, Request, Transaction};

/// Time after which the content of a shard is requested again.
const CONTENT_TIMEOUT: Span = Span::from_secs(30);
/// Maximum number of snapshots in progress.
const MAX_CONCURRENT: usize = 4;

#[derive(Clone, Debug)]
struct PendingSnapshot {
    snapshot: Snapshot,
    bytes: Bytes,
    sent: bool,
    stored: bool,
}

/// Requested snapshots and those in progress.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    requested: BTreeSet<Shard>,
    awaiting_content: BTreeMap<Shard, Time>,
    pending: BTreeMap<Shard, PendingSnapshot>,
}

impl Snapshots {
    /// Requests a snapshot of a shard, unless one is in progress.
    pub(super) fn request(&mut self, shard: Shard) {
        if !self.awaiting_content.contains_key(&shard) && !self.pending.contains_key(&shard) {
            self.requested.insert(shard);
        }
    }

    pub(super) fn remove(&mut self, shard: Shard) {
        self.requested.remove(&shard);
        self.awaiting_content.remove(&shard);
        self.pending.remove(&shard);
    }

    pub(super) fn stored(&mut self, shard: Shard, up_to: Sequence) {
        if let Some(pending_snapshot) = self.pending.get_mut(&shard) {
            pending_snapshot.stored |= pending_snapshot.snapshot.up_to == up_to;
        }
    }
}

impl Machine {
    /// Requests snapshots of the given shards if this instance serves them.
    pub(crate) fn request_snapshots(&mut self, shards: impl Iterator<Item = Shard>) {
        for shard in shards {
            if self.serving_epoch(shard).is_some() {
                self.snapshots.request(shard);
            }
        }
    }

    /// Discards snapshots that may contain withdrawn records and requests them again.
    pub(crate) fn discard_unsent_snapshots(&mut self) {
        let unsent = |(_, pending_snapshot): &(&Shard, &PendingSnapshot)| !pending_snapshot.sent;
        let stale: Vec<Shard> =
            self.snapshots.pending.iter().filter(unsent).map(|(shard, _)| *shard).collect();
        for shard in stale {
            self.snapshots.pending.remove(&shard);
            self.snapshots.request(shard);
        }
    }

    /// Requests the content of shards and stores the snapshots whose records are all
    /// resolved.
    pub(super) fn tick_snapshots(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let now = context.now;
        let under_way = self.snapshots.awaiting_content.len() + self.snapshots.pending.len();
        let free = MAX_CONCURRENT.saturating_sub(under_way);
        let selected: Vec<Shard> = self.snapshots.requested.iter().copied().take(free).collect();
        for shard in selected {
            self.snapshots.requested.remove(&shard);
            if self.serving_epoch(shard).is_some() {
                self.snapshots.awaiting_content.insert(shard, now + CONTENT_TIMEOUT);
                out.emit(Command::TakeSnapshot { shard });
            }
        }
        let is_expired = |(_, due): &(&Shard, &Time)| **due <= now;
        let expired: Vec<Shard> = self
            .snapshots
            .awaiting_content
            .iter()
            .filter(is_expired)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in expired {
            self.snapshots.awaiting_content.remove(&shard);
            self.snapshots.requested.insert(shard);
        }
        for (shard, pending_snapshot) in &mut self.snapshots.pending {
            if !pending_snapshot.sent && context.resolved >= pending_snapshot.snapshot.up_to {
                pending_snapshot.sent = true;
                let key = pending_snapshot.snapshot.object.clone();
                let request = Request::PutObject { key, bytes: pending_snapshot.bytes.clone() };
                out.store(
                    Priority::Snapshots,
                    Purpose::PutSnapshot(*shard, pending_snapshot.snapshot.up_to),
                    request,
                );
            }
        }
    }

    /// Adds the content of a shard, which includes every record appended so far.
    pub(crate) fn add_snapshot(&mut self, shard: Shard, bytes: Bytes, last: Sequence) {
        let Some(epoch) = self.serving_epoch(shard) else { return };
        self.snapshots.awaiting_content.remove(&shard);
        let name = format!("snapshot/{shard}/{:020}-{:020}", epoch.0, last.0);
        let checksum = codec::checksum(&bytes);
        let snapshot = Snapshot { object: Key::new(name), epoch, up_to: last, checksum };
        let pending_snapshot = PendingSnapshot { snapshot, bytes, sent: false, stored: false };
        self.snapshots.pending.insert(shard, pending_snapshot);
    }

    /// Writes references to stored snapshots into the shard rows.
    ///
    /// Returns whether a request was sent.
    pub(super) fn write_snapshot_pointers(&mut self, guard: &Check, out: &mut Outbox<'_>) -> bool {
        let mut transaction = Transaction::default().check(guard.key.clone(), guard.expected);
        let mut rows = Vec::new();
        for (shard, pending_snapshot) in
            self.snapshots.pending.iter().filter(|(_, pending_snapshot)| pending_snapshot.stored)
        {
            let Some(entry) = self.rows.get(shard) else { continue };
            let owned = entry.row.owner == self.session
                && entry.row.epoch == pending_snapshot.snapshot.epoch;
            if !owned {
                continue;
            }
            let row = Row {
                snapshot: Some(pending_snapshot.snapshot.clone()),
                journals: vec![self.session.clone()],
                ..entry.row.clone()
            };
            transaction = transaction
                .check(key(*shard), Expected::At(entry.version))
                .put(key(*shard), row.encode());
            rows.push((*shard, row));
        }
        if rows.is_empty() {
            return false;
        }
        self.write(Intent { transaction, rows }, out);
        true
    }

    /// Completes a snapshot that the shard row refers to and deletes the data that it
    /// replaces.
    ///
    /// The row can also come from a read, if the response to its write was lost.
    pub(super) fn finish_snapshot(&mut self, shard: Shard, row: &Row, out: &mut Outbox<'_>) {
        let Some(before) = self.rows.get(&shard).map(|entry| entry.row.clone()) else { return };
        let Some(snapshot) = row.snapshot.clone() else { return };
        let pending_snapshot = self.snapshots.pending.get(&shard);
        if row.owner != self.session
            || pending_snapshot.is_none_or(|pending_snapshot| pending_snapshot.snapshot != snapshot)
        {
            return;
        }
        self.snapshots.pending.remove(&shard);
        self.covered.push((shard, snapshot.up_to));
        self.orphans.add_unreferenced(&before.journals, &row.journals);
        if let Some(old) = before.snapshot.filter(|old| old.object != snapshot.object) {
            let request = Request::DeleteObject { key: old.object };
            out.store(Priority::Snapshots, Purpose::Delete, request);
        }
    }
}
