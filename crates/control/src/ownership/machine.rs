//! Ownership state machine: its state and the processing of store responses.
//!
//! At most one read or write of shard rows is in flight. After a lost response or a
//! conflict the rows are read again to find out what was written.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Epoch, InstanceName};

use super::assignment::Assignment;
use super::orphans::Orphans;
use super::owned::{OwnedShard, State};
use super::recoveries::Recoveries;
use super::snapshots::Snapshots;
use super::takeover::Takeovers;
use super::{Acquisition, Entry, Handover, Owner, PREFIX, Row, Settings, Shard, Table, key, shard};
use crate::agent::{Command, Decision, Outbox};
use crate::journal::Sequence;
use crate::membership;
use crate::session;
use crate::store::{
    self, Check, Expected, Key, Priority, Request, Response, RowVersion, Transaction,
};

/// Maximum number of rows per scan.
const SCAN_LIMIT: u32 = 1_000;

/// Purpose of a store request of the ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Scan,
    Fetch(Shard),
    Write,
    ReadSession(session::Name),
    Challenge(session::Name),
    Recovery(u64),
    PutSnapshot(Shard, Sequence),
    ScanOrphan(session::Name),
    Delete,
}

/// State of the other state machines that the ownership depends on.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) members: &'a mut membership::Machine,
    pub(crate) guard: Option<Check>,
    /// Last sequence assigned by the journal.
    pub(crate) last: Sequence,
    /// Sequence up to which every record is durable or withdrawn.
    pub(crate) resolved: Sequence,
    pub(crate) draining: bool,
    /// Whether the store has been up long enough to act on missing heartbeats.
    pub(crate) store_stable: bool,
}

impl Context<'_> {
    /// Returns whether a session may have ended or lost its connection to the store.
    pub(super) fn may_be_down(&self, session: &session::Name) -> bool {
        self.members.is_suspect(session) || self.members.lost_store(self.now, session)
    }
}

/// Write of shard rows that awaits its response.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    pub(super) transaction: Transaction,
    pub(super) rows: Vec<(Shard, Row)>,
}

/// Read or write of shard rows that is in flight.
#[derive(Debug)]
pub(super) enum Op {
    Idle,
    Reading,
    Writing(Intent),
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    pub(super) session: session::Name,
    pub(super) started: Option<Time>,
    pub(super) table: Table,
    pub(super) rows: BTreeMap<Shard, Entry>,
    pub(super) owned: BTreeMap<Shard, OwnedShard>,
    pub(super) op: Op,
    /// Write whose response was lost and that was not found in the rows.
    pub(super) retry: Option<Intent>,
    /// Rows of the current scan that were already read.
    pub(super) scanned_rows: Vec<store::Row>,
    /// Whether the rows must be scanned before the next write.
    pub(super) needs_scan: bool,
    pub(super) next_scan: Time,
    /// Shards whose rows must be read, for example after a handover message.
    pub(super) to_fetch: BTreeSet<Shard>,
    /// State received with handovers, by shard and epoch.
    pub(super) handover_states: BTreeMap<Shard, (Epoch, Bytes)>,
    /// Handovers without an acknowledgement, with the time of the next transmission.
    pub(super) unacknowledged: BTreeMap<Shard, (Handover, Time)>,
    pub(super) assignment: Assignment,
    /// Membership revision and draining flag for which the shards were assigned.
    pub(super) assignment_inputs: Option<(u64, bool)>,
    pub(super) plan_due: bool,
    pub(super) next_plan: Time,
    /// Preferred owners of served shards, and since when they are preferred.
    pub(super) preferred: BTreeMap<Shard, (InstanceName, Time)>,
    pub(super) takeovers: Takeovers,
    pub(super) recoveries: Recoveries,
    pub(super) snapshots: Snapshots,
    pub(super) orphans: Orphans,
    /// Records of this session that are covered by snapshots, up to the given sequence.
    pub(super) covered: Vec<(Shard, Sequence)>,
}

impl Machine {
    pub(crate) fn new(settings: Settings, session: session::Name) -> Self {
        Self {
            settings,
            session,
            started: None,
            table: Table::default(),
            rows: BTreeMap::new(),
            owned: BTreeMap::new(),
            op: Op::Idle,
            retry: None,
            scanned_rows: Vec::new(),
            needs_scan: true,
            next_scan: Time::ZERO,
            to_fetch: BTreeSet::new(),
            handover_states: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            assignment: Assignment::default(),
            assignment_inputs: None,
            plan_due: true,
            next_plan: Time::ZERO,
            preferred: BTreeMap::new(),
            takeovers: Takeovers::default(),
            recoveries: Recoveries::default(),
            snapshots: Snapshots::default(),
            orphans: Orphans::default(),
            covered: Vec::new(),
        }
    }

    /// Starts with a newly opened session.
    pub(crate) fn start(&mut self, now: Time, session: &session::Name) {
        self.session = session.clone();
        self.started = Some(now);
        self.needs_scan = true;
    }

    /// Gives up all shards because the session has ended.
    pub(crate) fn stop(&mut self, out: &mut Outbox<'_>) {
        for shard in std::mem::take(&mut self.owned).into_keys() {
            out.emit(Command::StopServing { shard });
        }
        self.started = None;
    }

    pub(crate) const fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the epoch of a shard that this instance serves.
    pub(crate) fn serving_epoch(&self, shard: Shard) -> Option<Epoch> {
        self.owned.get(&shard).filter(|owned| owned.is_serving()).map(|owned| owned.epoch)
    }

    /// Returns the shards that this instance serves.
    pub(crate) fn serving_shards(&self) -> impl Iterator<Item = Shard> {
        self.owned.iter().filter(|(_, owned)| owned.is_serving()).map(|(shard, _)| *shard)
    }

    /// Returns the number of shards that this instance owns according to the table.
    pub(crate) fn owned_count(&self) -> usize {
        self.owned.len()
    }

    /// Removes and returns the records of this session that are covered by snapshots.
    pub(crate) fn take_covered(&mut self) -> Vec<(Shard, Sequence)> {
        std::mem::take(&mut self.covered)
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) -> bool {
        self.plan_due = true;
        match purpose {
            Purpose::Scan => self.handle_scan(response, context, out),
            Purpose::Fetch(shard) => self.handle_fetch(shard, response, context, out),
            Purpose::Write => return self.handle_write(response, context, out),
            Purpose::ReadSession(session) => {
                self.handle_session_row(&session, response, context, out)
            }
            Purpose::Challenge(session) => self.takeovers.challenge_written(&session),
            Purpose::Recovery(id) => {
                let results = self.recoveries.handle(id, response, out);
                self.handle_recovered(results, out);
            }
            Purpose::PutSnapshot(shard, up_to) => self.snapshots.stored(shard, up_to),
            Purpose::ScanOrphan(session) => {
                self.orphans.handle_scan(&session, response, context.guard.as_ref(), out);
            }
            Purpose::Delete => {}
        }
        false
    }

    pub(super) fn start_scan(&mut self, out: &mut Outbox<'_>) {
        self.op = Op::Reading;
        let after = self.scanned_rows.last().map(|row| row.key.clone());
        let prefix = Key::new(PREFIX);
        let request = Request::Scan { prefix, after, limit: SCAN_LIMIT };
        out.store(Priority::Ownership, Purpose::Scan, request);
    }

    fn handle_scan(&mut self, response: Response, context: &mut Context<'_>, out: &mut Outbox<'_>) {
        self.op = Op::Idle;
        let Response::Rows { rows, more } = response else { return };
        self.scanned_rows.extend(rows);
        if more {
            return self.start_scan(out);
        }
        let rows = std::mem::take(&mut self.scanned_rows);
        let present: BTreeSet<Shard> = rows.iter().filter_map(|row| shard(&row.key)).collect();
        rows.into_iter().for_each(|row| self.apply_row(row, context, out));
        let gone = |shard: &Shard| !present.contains(shard);
        self.rows.retain(|shard, _| !gone(shard));
        self.needs_scan = false;
        let groups = (context.members.group_size() as u64).div_ceil(super::plan::SCAN_GROUP);
        self.next_scan = context.now + self.settings.scan_interval.saturating_mul(groups);
        self.check_retry();
        self.after_scan(context);
        self.delete_orphans(context.members, out);
    }

    fn handle_fetch(
        &mut self,
        shard: Shard,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.op = Op::Idle;
        self.to_fetch.remove(&shard);
        if let Response::Row(Some(row)) = response {
            self.apply_row(row, context, out);
        }
    }

    /// Applies a row read from the table.
    ///
    /// The row takes precedence over owners reported by peers.
    fn apply_row(&mut self, row: store::Row, context: &mut Context<'_>, out: &mut Outbox<'_>) {
        let Some(shard) = shard(&row.key) else { return };
        match Row::decode(&row.value) {
            Ok(decoded) => self.apply_entry(shard, row.version, decoded, context, out),
            Err(error) => out.log(Decision::Corrupt { key: row.key, error }),
        }
    }

    fn apply_entry(
        &mut self,
        shard: Shard,
        version: RowVersion,
        row: Row,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        let known = self.rows.get(&shard).map(|entry| entry.row.epoch);
        if known.is_some_and(|known| known > row.epoch) {
            return;
        }
        context.members.observe_session(context.now, &row.owner);
        let owner = Owner { shard, session: row.owner.clone(), epoch: row.epoch };
        self.table.merge(&owner);
        let is_own = row.owner == self.session && self.started.is_some();
        let epoch = row.epoch;
        self.finish_snapshot(shard, &row, out);
        self.rows.insert(shard, Entry { version, row });
        match (is_own, self.owned.get(&shard).map(|owned| owned.epoch)) {
            (true, Some(owned)) if owned == epoch => {}
            (true, _) => self.gain(shard, out),
            (false, Some(_)) => self.lose(shard, out),
            (false, None) => {}
        }
    }

    /// Starts the recovery of a shard whose row names this session as the owner.
    fn gain(&mut self, shard: Shard, out: &mut Outbox<'_>) {
        let Some(entry) = self.rows.get(&shard) else { return };
        let epoch = entry.row.epoch;
        let handed_over =
            self.handover_states.get(&shard).is_some_and(|(carried, _)| *carried == epoch);
        let acquisition = match (epoch, handed_over) {
            (Epoch(1), _) => Acquisition::First,
            (_, true) => Acquisition::Handover,
            (_, false) => Acquisition::Takeover,
        };
        self.owned.insert(shard, OwnedShard { epoch, acquisition, state: State::Recovering });
        out.log(Decision::Owned { shard, epoch, acquisition });
        self.recoveries.enqueue(shard, entry.row.clone(), &self.session);
    }

    fn lose(&mut self, shard: Shard, out: &mut Outbox<'_>) {
        if self.owned.remove(&shard).is_some() {
            self.snapshots.remove(shard);
            out.emit(Command::StopServing { shard });
        }
    }

    /// Sends a write of shard rows.
    pub(super) fn write(&mut self, intent: Intent, out: &mut Outbox<'_>) {
        let request = Request::Transact(intent.transaction.clone());
        self.op = Op::Writing(intent);
        out.store(Priority::Ownership, Purpose::Write, request);
    }

    /// Returns whether the session row must be checked because the write conflicted.
    fn handle_write(
        &mut self,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) -> bool {
        let Op::Writing(intent) = std::mem::replace(&mut self.op, Op::Idle) else { return false };
        match response {
            Response::Committed(versions) => {
                self.committed(intent, &versions, context, out);
                false
            }
            Response::Conflict => {
                self.needs_scan = true;
                true
            }
            _ => {
                self.needs_scan = true;
                self.retry = Some(intent);
                false
            }
        }
    }

    fn committed(
        &mut self,
        intent: Intent,
        versions: &[RowVersion],
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        let mut changed = Vec::new();
        let keys: Vec<&Key> = intent.transaction.writes.iter().map(|write| &write.key).collect();
        for (shard, row) in intent.rows {
            let at = keys.iter().position(|written| **written == key(shard));
            let Some(version) = at.and_then(|at| versions.get(at)) else { continue };
            changed.push(Owner { shard, session: row.owner.clone(), epoch: row.epoch });
            self.notify_receiver(shard, &row, context.now, out);
            self.apply_entry(shard, *version, row, context, out);
        }
        self.announce_owners(changed, context.members, out);
        self.start_recoveries(out);
    }

    /// Drops the write whose response was lost unless it may still take effect.
    fn check_retry(&mut self) {
        let Some(intent) = self.retry.take() else { return };
        let holds = |check: &Check| match (shard(&check.key), check.expected) {
            (Some(shard), Expected::At(version)) => {
                self.rows.get(&shard).is_some_and(|entry| entry.version == version)
            }
            (Some(shard), Expected::Absent) => !self.rows.contains_key(&shard),
            (None, _) => true,
        };
        if intent.transaction.checks.iter().all(holds) {
            self.retry = Some(intent);
        }
    }
}
