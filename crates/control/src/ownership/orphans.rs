//! Deletes the journals of ended sessions that no shard refers to.

use std::collections::BTreeSet;

use super::machine::{Machine, Purpose};
use crate::agent::Outbox;
use crate::journal::{Sequence, prefix};
use crate::membership;
use crate::session;
use crate::store::{Check, Priority, Request, Response, Transaction};

/// Maximum number of rows deleted by one transaction.
const MAX_DELETES_PER_WRITE: u32 = 64;

/// Sessions whose journals were replaced by snapshots of this instance.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    sessions: BTreeSet<session::Name>,
    scanning: BTreeSet<session::Name>,
}

impl Orphans {
    pub(super) fn add_unreferenced(&mut self, before: &[session::Name], after: &[session::Name]) {
        let dropped = before.iter().filter(|session| !after.contains(session));
        self.sessions.extend(dropped.cloned());
    }

    /// Deletes the rows found by a scan of an orphaned journal.
    pub(super) fn handle_scan(
        &mut self,
        session: &session::Name,
        response: Response,
        guard: Option<&Check>,
        out: &mut Outbox<'_>,
    ) {
        self.scanning.remove(session);
        let (Response::Rows { rows, more }, Some(guard)) = (response, guard) else { return };
        if !rows.is_empty() {
            let start = Transaction::default().check(guard.key.clone(), guard.expected);
            let deletes =
                rows.into_iter().fold(start, |transaction, row| transaction.delete(row.key));
            out.store(Priority::Snapshots, Purpose::Delete, Request::Transact(deletes));
        }
        if !more {
            self.sessions.remove(session);
        }
    }

    fn scan(&mut self, session: &session::Name, out: &mut Outbox<'_>) {
        if self.scanning.insert(session.clone()) {
            let prefix = prefix(session);
            let request = Request::Scan { prefix, after: None, limit: MAX_DELETES_PER_WRITE };
            out.store(Priority::Snapshots, Purpose::ScanOrphan(session.clone()), request);
        }
    }
}

impl Machine {
    /// Starts to delete the journals that no shard row refers to.
    ///
    /// It must be called right after a full scan of the shard rows.
    pub(super) fn delete_orphans(&mut self, members: &membership::Machine, out: &mut Outbox<'_>) {
        let needed: BTreeSet<&session::Name> =
            self.rows.values().flat_map(|entry| &entry.row.journals).collect();
        let orphaned = |session: &&session::Name| {
            !needed.contains(session) && members.evidence(session).is_some()
        };
        let orphans: Vec<session::Name> =
            self.orphans.sessions.iter().filter(orphaned).cloned().collect();
        orphans.iter().for_each(|session| self.orphans.scan(session, out));
    }

    /// Marks the records of this session as covered for shards whose new owners no
    /// longer need its journal.
    ///
    /// If a shard returns to this session, its later records have higher sequences and
    /// are not covered.
    pub(super) fn cover_moved_shards(&mut self, last: Sequence) {
        for (shard, entry) in &self.rows {
            let needs_journal = entry.row.journals.contains(&self.session);
            if !needs_journal && !self.owned.contains_key(shard) {
                self.covered.push((*shard, last));
            }
        }
    }
}
