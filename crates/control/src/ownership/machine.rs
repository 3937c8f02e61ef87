//! The state of the ownership and the answers to its requests.
//!
//! One read or write of shard rows is on its way at a time. After a lost answer or
//! a conflict the rows are read again and decide what happened.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Epoch, InstanceName};

use super::choice::Choices;
use super::held::{Held, State};
use super::orphans::Orphans;
use super::recoveries::Recoveries;
use super::snapshots::Snapshots;
use super::succession::Successions;
use super::{Entry, Handed, Owner, PREFIX, Row, Settings, Shard, Table, Way, key, shard};
use crate::agent::{Command, Decision, Out};
use crate::journal::Sequence;
use crate::membership;
use crate::session;
use crate::store::{
    self, Check, Expected, Key, Priority, Request, Response, RowVersion, Transaction,
};

/// Rows read by one scan.
const ROWS_AT_ONCE: u32 = 1_000;

/// What a request of the ownership was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Scan,
    Fetch(Shard),
    Write,
    Look(session::Name),
    Challenge(session::Name),
    Recovery(u64),
    Object(Shard, Sequence),
    Orphan(session::Name),
    Forget,
}

/// What the rest of the instance tells the ownership.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) members: &'a mut membership::Machine,
    pub(crate) guard: Option<Check>,
    pub(crate) last: Sequence,
    pub(crate) settled: Sequence,
    pub(crate) draining: bool,
    /// Whether the store has been up for a while.
    pub(crate) steady: bool,
}

impl Context<'_> {
    /// Reports whether a session may have ended or lost the store.
    pub(super) fn doubts(&self, session: &session::Name) -> bool {
        self.members.suspects(session) || self.members.lacks_store(self.now, session)
    }
}

/// A write of shard rows whose answer is awaited.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    pub(super) transaction: Transaction,
    pub(super) rows: Vec<(Shard, Row)>,
}

#[derive(Debug)]
pub(super) enum Op {
    Idle,
    Reading,
    Writing(Intent),
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    pub(super) own: session::Name,
    pub(super) started: Option<Time>,
    pub(super) table: Table,
    pub(super) rows: BTreeMap<Shard, Entry>,
    pub(super) held: BTreeMap<Shard, Held>,
    pub(super) op: Op,
    /// Write whose answer was lost and that the rows do not show.
    pub(super) redo: Option<Intent>,
    pub(super) page: Vec<store::Row>,
    pub(super) dirty: bool,
    pub(super) next_scan: Time,
    pub(super) fetch: BTreeSet<Shard>,
    pub(super) carries: BTreeMap<Shard, (Epoch, Bytes)>,
    pub(super) unacknowledged: BTreeMap<Shard, (Handed, Time)>,
    pub(super) choices: Choices,
    /// Revision of the members and own draining that the choices are for.
    pub(super) basis: Option<(u64, bool)>,
    pub(super) replan: bool,
    pub(super) next_plan: Time,
    pub(super) better: BTreeMap<Shard, (InstanceName, Time)>,
    pub(super) successions: Successions,
    pub(super) recoveries: Recoveries,
    pub(super) snapshots: Snapshots,
    pub(super) orphans: Orphans,
    /// Own records that a new owner's snapshot contains.
    pub(super) covered: Vec<(Shard, Sequence)>,
}

impl Machine {
    pub(crate) fn new(settings: Settings, own: session::Name) -> Self {
        Self {
            settings,
            own,
            started: None,
            table: Table::default(),
            rows: BTreeMap::new(),
            held: BTreeMap::new(),
            op: Op::Idle,
            redo: None,
            page: Vec::new(),
            dirty: true,
            next_scan: Time::ZERO,
            fetch: BTreeSet::new(),
            carries: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            choices: Choices::default(),
            basis: None,
            replan: true,
            next_plan: Time::ZERO,
            better: BTreeMap::new(),
            successions: Successions::default(),
            recoveries: Recoveries::default(),
            snapshots: Snapshots::default(),
            orphans: Orphans::default(),
            covered: Vec::new(),
        }
    }

    /// Starts the work of the session that has opened.
    pub(crate) fn open(&mut self, now: Time, own: &session::Name) {
        self.own = own.clone();
        self.started = Some(now);
        self.dirty = true;
    }

    /// Gives up everything, as the session has ended.
    pub(crate) fn close(&mut self, out: &mut Out<'_>) {
        for shard in std::mem::take(&mut self.held).into_keys() {
            out.emit(Command::Lost { shard });
        }
        self.started = None;
    }

    pub(crate) const fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the epoch of a shard that is at work here.
    pub(crate) fn serving(&self, shard: Shard) -> Option<Epoch> {
        self.held.get(&shard).filter(|held| held.is_serving()).map(|held| held.epoch)
    }

    /// Returns the shards that are at work here.
    pub(crate) fn at_work(&self) -> impl Iterator<Item = Shard> {
        self.held.iter().filter(|(_, held)| held.is_serving()).map(|(shard, _)| *shard)
    }

    /// Returns the number of shards that the table says are owned here.
    pub(crate) fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns and forgets which own records are covered by snapshots.
    pub(crate) fn take_covered(&mut self) -> Vec<(Shard, Sequence)> {
        std::mem::take(&mut self.covered)
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) -> bool {
        self.replan = true;
        match purpose {
            Purpose::Scan => self.scanned(response, context, out),
            Purpose::Fetch(shard) => self.fetched(shard, response, context, out),
            Purpose::Write => return self.wrote(response, context, out),
            Purpose::Look(session) => self.looked(&session, response, context, out),
            Purpose::Challenge(session) => self.successions.challenged(&session),
            Purpose::Recovery(job) => {
                let done = self.recoveries.handle(job, response, out);
                self.recovered(done, out);
            }
            Purpose::Object(shard, up_to) => self.snapshots.stored(shard, up_to),
            Purpose::Orphan(session) => {
                self.orphans.scanned(&session, response, context.guard.as_ref(), out);
            }
            Purpose::Forget => {}
        }
        false
    }

    pub(super) fn start_scan(&mut self, out: &mut Out<'_>) {
        self.op = Op::Reading;
        let after = self.page.last().map(|row| row.key.clone());
        let prefix = Key::new(PREFIX);
        let request = Request::Scan { prefix, after, limit: ROWS_AT_ONCE };
        out.store(Priority::Ownership, Purpose::Scan, request);
    }

    fn scanned(&mut self, response: Response, context: &mut Context<'_>, out: &mut Out<'_>) {
        self.op = Op::Idle;
        let Response::Rows { rows, more } = response else { return };
        self.page.extend(rows);
        if more {
            return self.start_scan(out);
        }
        let rows = std::mem::take(&mut self.page);
        let present: BTreeSet<Shard> = rows.iter().filter_map(|row| shard(&row.key)).collect();
        rows.into_iter().for_each(|row| self.take_row(row, context, out));
        let gone = |shard: &Shard| !present.contains(shard);
        self.rows.retain(|shard, _| !gone(shard));
        self.dirty = false;
        let crowd = (context.members.size() as u64).div_ceil(super::plan::SCAN_GROUP);
        self.next_scan = context.now + self.settings.scan_interval.times(crowd);
        self.check_redo();
        self.after_scan(context);
        self.collect(context.members, out);
    }

    fn fetched(
        &mut self,
        shard: Shard,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) {
        self.op = Op::Idle;
        self.fetch.remove(&shard);
        if let Response::Row(Some(row)) = response {
            self.take_row(row, context, out);
        }
    }

    /// Takes a row as read, which overrides whatever was believed.
    fn take_row(&mut self, row: store::Row, context: &mut Context<'_>, out: &mut Out<'_>) {
        let Some(shard) = shard(&row.key) else { return };
        match Row::decode(&row.value) {
            Ok(decoded) => self.take_entry(shard, row.version, decoded, context, out),
            Err(error) => out.decide(Decision::Corrupt { key: row.key, error }),
        }
    }

    fn take_entry(
        &mut self,
        shard: Shard,
        version: RowVersion,
        row: Row,
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) {
        let known = self.rows.get(&shard).map(|entry| entry.row.epoch);
        if known.is_some_and(|known| known > row.epoch) {
            return;
        }
        context.members.expect(context.now, &row.owner);
        let owner = Owner { shard, session: row.owner.clone(), epoch: row.epoch };
        self.table.learn(&owner);
        let ours = row.owner == self.own && self.started.is_some();
        let epoch = row.epoch;
        self.pointed(shard, &row, out);
        self.rows.insert(shard, Entry { version, row });
        match (ours, self.held.get(&shard).map(|held| held.epoch)) {
            (true, Some(held)) if held == epoch => {}
            (true, _) => self.gain(shard, out),
            (false, Some(_)) => self.lose(shard, out),
            (false, None) => {}
        }
    }

    /// Takes up a shard that the table certainly names this session for.
    fn gain(&mut self, shard: Shard, out: &mut Out<'_>) {
        let Some(entry) = self.rows.get(&shard) else { return };
        let epoch = entry.row.epoch;
        let handed = self.carries.get(&shard).is_some_and(|(carried, _)| *carried == epoch);
        let way = match (epoch, handed) {
            (Epoch(1), _) => Way::First,
            (_, true) => Way::Handover,
            (_, false) => Way::Takeover,
        };
        self.held.insert(shard, Held { epoch, way, state: State::Recovering });
        out.decide(Decision::Owned { shard, epoch, way });
        self.recoveries.want(shard, entry.row.clone(), &self.own);
    }

    fn lose(&mut self, shard: Shard, out: &mut Out<'_>) {
        if self.held.remove(&shard).is_some() {
            self.snapshots.forget(shard);
            out.emit(Command::Lost { shard });
        }
    }

    /// Writes rows of shards under the guard of the session.
    pub(super) fn write(&mut self, intent: Intent, out: &mut Out<'_>) {
        let request = Request::Transact(intent.transaction.clone());
        self.op = Op::Writing(intent);
        out.store(Priority::Ownership, Purpose::Write, request);
    }

    /// Returns whether the session is in doubt.
    fn wrote(&mut self, response: Response, context: &mut Context<'_>, out: &mut Out<'_>) -> bool {
        let Op::Writing(intent) = std::mem::replace(&mut self.op, Op::Idle) else { return false };
        match response {
            Response::Committed(versions) => {
                self.committed(intent, &versions, context, out);
                false
            }
            Response::Conflict => {
                self.dirty = true;
                true
            }
            _ => {
                self.dirty = true;
                self.redo = Some(intent);
                false
            }
        }
    }

    fn committed(
        &mut self,
        intent: Intent,
        versions: &[RowVersion],
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) {
        let mut changed = Vec::new();
        let keys: Vec<&Key> = intent.transaction.writes.iter().map(|write| &write.key).collect();
        for (shard, row) in intent.rows {
            let at = keys.iter().position(|written| **written == key(shard));
            let Some(version) = at.and_then(|at| versions.get(at)) else { continue };
            changed.push(Owner { shard, session: row.owner.clone(), epoch: row.epoch });
            self.handed(shard, &row, context.now, out);
            self.take_entry(shard, *version, row, context, out);
        }
        self.tell(changed, context.members, out);
        self.start_recoveries(out);
    }

    /// Keeps a write whose answer was lost only while it may still take effect.
    fn check_redo(&mut self) {
        let Some(intent) = self.redo.take() else { return };
        let holds = |check: &Check| match (shard(&check.key), check.expected) {
            (Some(shard), Expected::At(version)) => {
                self.rows.get(&shard).is_some_and(|entry| entry.version == version)
            }
            (Some(shard), Expected::Absent) => !self.rows.contains_key(&shard),
            (None, _) => true,
        };
        if intent.transaction.checks.iter().all(holds) {
            self.redo = Some(intent);
        }
    }
}
