//! Snapshots of shards: an object, and a pointer to it in the row of the shard.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};

use super::machine::{Context, Intent, Machine, Purpose};
use super::{Row, Shard, Snapshot, key};
use crate::agent::{Command, Out};
use crate::codec;
use crate::journal::Sequence;
use crate::store::{Check, Expected, Key, Priority, Request, Transaction};

/// Time after which a snapshot that was asked for is asked for again.
const ASK_AGAIN_AFTER: Span = Span::from_secs(30);
/// Snapshots that are made at once.
const AT_ONCE: usize = 4;

#[derive(Clone, Debug)]
struct Draft {
    snapshot: Snapshot,
    bytes: Bytes,
    sent: bool,
    stored: bool,
}

/// Snapshots that are wanted and those under way.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    wanted: BTreeSet<Shard>,
    asked: BTreeMap<Shard, Time>,
    drafts: BTreeMap<Shard, Draft>,
}

impl Snapshots {
    /// Wants a snapshot of a shard unless one is under way.
    pub(super) fn want(&mut self, shard: Shard) {
        if !self.asked.contains_key(&shard) && !self.drafts.contains_key(&shard) {
            self.wanted.insert(shard);
        }
    }

    pub(super) fn forget(&mut self, shard: Shard) {
        self.wanted.remove(&shard);
        self.asked.remove(&shard);
        self.drafts.remove(&shard);
    }

    pub(super) fn stored(&mut self, shard: Shard, up_to: Sequence) {
        if let Some(draft) = self.drafts.get_mut(&shard) {
            draft.stored |= draft.snapshot.up_to == up_to;
        }
    }
}

impl Machine {
    /// Wants snapshots of shards, such as those with long journals.
    pub(crate) fn want_snapshots(&mut self, shards: impl Iterator<Item = Shard>) {
        for shard in shards {
            if self.serving(shard).is_some() {
                self.snapshots.want(shard);
            }
        }
    }

    /// Drops drafts that may contain records which were withdrawn.
    pub(crate) fn redraw_snapshots(&mut self) {
        let unsent = |(_, draft): &(&Shard, &Draft)| !draft.sent;
        let stale: Vec<Shard> =
            self.snapshots.drafts.iter().filter(unsent).map(|(shard, _)| *shard).collect();
        for shard in stale {
            self.snapshots.drafts.remove(&shard);
            self.snapshots.want(shard);
        }
    }

    /// Asks for the content of wanted snapshots and sends what has come.
    pub(super) fn tick_snapshots(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        let now = context.now;
        let busy = self.snapshots.asked.len() + self.snapshots.drafts.len();
        let room = AT_ONCE.saturating_sub(busy);
        let asked: Vec<Shard> = self.snapshots.wanted.iter().copied().take(room).collect();
        for shard in asked {
            self.snapshots.wanted.remove(&shard);
            if self.serving(shard).is_some() {
                self.snapshots.asked.insert(shard, now + ASK_AGAIN_AFTER);
                out.emit(Command::SnapshotWanted { shard });
            }
        }
        let late = |(_, due): &(&Shard, &Time)| **due <= now;
        let late: Vec<Shard> =
            self.snapshots.asked.iter().filter(late).map(|(shard, _)| *shard).collect();
        for shard in late {
            self.snapshots.asked.remove(&shard);
            self.snapshots.wanted.insert(shard);
        }
        for (shard, draft) in &mut self.snapshots.drafts {
            if !draft.sent && context.settled >= draft.snapshot.up_to {
                draft.sent = true;
                let key = draft.snapshot.object.clone();
                let request = Request::PutObject { key, bytes: draft.bytes.clone() };
                out.store(
                    Priority::Snapshots,
                    Purpose::Object(*shard, draft.snapshot.up_to),
                    request,
                );
            }
        }
    }

    /// Takes the content of a shard, which contains every record appended so far.
    pub(crate) fn snapshot(&mut self, shard: Shard, bytes: Bytes, last: Sequence) {
        let Some(epoch) = self.serving(shard) else { return };
        self.snapshots.asked.remove(&shard);
        let name = format!("snapshot/{shard}/{:020}-{:020}", epoch.0, last.0);
        let checksum = codec::checksum(&bytes);
        let snapshot = Snapshot { object: Key::new(name), epoch, up_to: last, checksum };
        let draft = Draft { snapshot, bytes, sent: false, stored: false };
        self.snapshots.drafts.insert(shard, draft);
    }

    /// Points the rows of shards to objects that are stored.
    pub(super) fn point(&mut self, guard: &Check, out: &mut Out<'_>) -> bool {
        let mut transaction = Transaction::default().check(guard.key.clone(), guard.expected);
        let mut rows = Vec::new();
        for (shard, draft) in self.snapshots.drafts.iter().filter(|(_, draft)| draft.stored) {
            let Some(entry) = self.rows.get(shard) else { continue };
            let owned = entry.row.owner == self.own && entry.row.epoch == draft.snapshot.epoch;
            if !owned {
                continue;
            }
            let row = Row {
                snapshot: Some(draft.snapshot.clone()),
                journals: vec![self.own.clone()],
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

    /// Ends a draft that the row points to, and deletes what that makes superfluous.
    ///
    /// The row may have been read back, after the answer to its write was lost.
    pub(super) fn pointed(&mut self, shard: Shard, row: &Row, out: &mut Out<'_>) {
        let Some(before) = self.rows.get(&shard).map(|entry| entry.row.clone()) else { return };
        let Some(snapshot) = row.snapshot.clone() else { return };
        let draft = self.snapshots.drafts.get(&shard);
        if row.owner != self.own || draft.is_none_or(|draft| draft.snapshot != snapshot) {
            return;
        }
        self.snapshots.drafts.remove(&shard);
        self.covered.push((shard, snapshot.up_to));
        self.orphans.dropped(&before.journals, &row.journals);
        if let Some(old) = before.snapshot.filter(|old| old.object != snapshot.object) {
            let request = Request::DeleteObject { key: old.object };
            out.store(Priority::Snapshots, Purpose::Forget, request);
        }
    }
}
