//! Compacts the misses of a past hour into one object with counts.
//!
//! Any instance may compact an hour, even more than once: the result is the union of the
//! misses, and the write checks every row that it replaces.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::machine::{Context, Machine, Purpose};
use super::stored::CompactedHour;
use super::{
    Counts, MINUTES_PER_HOUR, Minute, Misses, UNCOMPACTED_PREFIX, compacted_key, decode, encode,
    hour_of,
};
use crate::agent::{Decision, Outbox};
use crate::codec::{Error, checksum};
use crate::membership::{MemberState, score};
use crate::store::{Expected, Key, Priority, Request, Response, Row, State, Transaction};

/// Maximum number of rows compacted by one write.
const SCAN_LIMIT: u32 = 200;
const MS_PER_MINUTE: u64 = 60_000;

#[derive(Debug)]
enum Stage {
    Idle,
    Scan,
    ReadCompacted,
    ReadObject(CompactedHour),
    PutObject(Request),
    Write,
}

/// State of the current compaction, or the time of the next one.
#[derive(Debug)]
pub(super) struct Compaction {
    interval: Span,
    next: Time,
    stage: Stage,
    hour: u64,
    uncompacted: Vec<Row>,
    misses: Misses,
    expected: Expected,
    replaced_object: Option<Key>,
}

impl Compaction {
    pub(super) const fn new(interval: Span) -> Self {
        Self {
            interval,
            next: Time::ZERO,
            stage: Stage::Idle,
            hour: 0,
            uncompacted: Vec::new(),
            misses: Misses::new(),
            expected: Expected::Absent,
            replaced_object: None,
        }
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        matches!(self.stage, Stage::Idle).then_some(self.next)
    }

    fn finish(&mut self, now: Time) {
        self.stage = Stage::Idle;
        self.next = now + self.interval;
        self.misses = Misses::new();
        self.uncompacted = Vec::new();
        self.replaced_object = None;
    }
}

impl Machine {
    pub(super) fn tick_compaction(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        if context.now < self.compaction.next || !matches!(self.compaction.stage, Stage::Idle) {
            return;
        }
        self.compaction.next = context.now + self.settings.compact_interval;
        if context.store == State::Down {
            return;
        }
        let open_hour = self.first_open_hour(context.now);
        if context.write_guard.is_none() || !is_compactor(context, open_hour) {
            return;
        }
        self.compaction.stage = Stage::Scan;
        let prefix = Key::new(UNCOMPACTED_PREFIX);
        let request = Request::Scan { prefix, after: None, limit: SCAN_LIMIT };
        out.store(Priority::Snapshots, Purpose::Compact, request);
    }

    /// Returns the first hour that may still receive misses.
    fn first_open_hour(&self, now: Time) -> u64 {
        let grace = self.settings.grace.as_ms() / MS_PER_MINUTE;
        Minute(self.minute(now).0.saturating_sub(grace)).hour()
    }

    pub(super) fn handle_compaction(
        &mut self,
        response: Response,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        let stage = std::mem::replace(&mut self.compaction.stage, Stage::Idle);
        let next = match (stage, response) {
            (Stage::Scan, Response::Rows { rows, .. }) => self.select_hour(rows, context.now, out),
            (Stage::ReadCompacted, Response::Row(row)) => self.handle_compacted_row(row, out),
            (Stage::ReadObject(compacted), Response::Object(object)) => {
                self.handle_object(&compacted, object, out)
            }
            (Stage::PutObject(write), Response::Stored) => Some((Stage::Write, write)),
            (Stage::Write, Response::Committed(_)) => {
                self.delete_replaced_object(out);
                None
            }
            _ => None,
        };
        match next {
            Some((stage, request)) => {
                self.compaction.stage = stage;
                out.store(Priority::Snapshots, Purpose::Compact, request);
            }
            None => self.compaction.finish(context.now),
        }
    }

    /// Selects the uncompacted rows of the oldest hour, if it can receive no more
    /// misses.
    fn select_hour(
        &mut self,
        rows: Vec<Row>,
        now: Time,
        out: &mut Outbox<'_>,
    ) -> Option<(Stage, Request)> {
        let hour = rows.first().and_then(|row| hour_of(&row.key))?;
        if hour >= self.first_open_hour(now) {
            return None;
        }
        let rows = rows.into_iter().filter(|row| hour_of(&row.key) == Some(hour));
        self.compaction.hour = hour;
        self.compaction.uncompacted = rows.collect();
        let mut misses = Misses::new();
        for row in &self.compaction.uncompacted {
            match decode(&row.value) {
                Ok(read) => misses.extend(read),
                Err(error) => {
                    out.log(Decision::Corrupt { key: row.key.clone(), error });
                    return None;
                }
            }
        }
        self.compaction.misses = misses;
        Some((Stage::ReadCompacted, Request::Row { key: compacted_key(hour) }))
    }

    fn handle_compacted_row(
        &mut self,
        row: Option<Row>,
        out: &mut Outbox<'_>,
    ) -> Option<(Stage, Request)> {
        let Some(row) = row else {
            self.compaction.expected = Expected::Absent;
            return Some(self.prepare_write());
        };
        match CompactedHour::decode(&row.value) {
            Ok(compacted) => {
                self.compaction.expected = Expected::At(row.version);
                self.compaction.replaced_object = Some(compacted.object.clone());
                let request = Request::GetObject { key: compacted.object.clone() };
                Some((Stage::ReadObject(compacted), request))
            }
            Err(error) => {
                out.log(Decision::Corrupt { key: row.key, error });
                None
            }
        }
    }

    fn handle_object(
        &mut self,
        compacted: &CompactedHour,
        object: Option<Bytes>,
        out: &mut Outbox<'_>,
    ) -> Option<(Stage, Request)> {
        let key = compacted.object.clone();
        let missing = Error::Missing { key: key.to_string() };
        let read = object.ok_or(missing).and_then(|bytes| match checksum(&bytes) {
            found if found == compacted.checksum => decode(&bytes),
            found => Err(Error::Checksum { found, expected: compacted.checksum }),
        });
        match read {
            Ok(misses) => {
                self.compaction.misses.extend(misses);
                Some(self.prepare_write())
            }
            Err(error) => {
                out.log(Decision::Corrupt { key, error });
                None
            }
        }
    }

    fn prepare_write(&mut self) -> (Stage, Request) {
        let compaction = &mut self.compaction;
        let bytes = encode(&compaction.misses);
        let found = checksum(&bytes);
        let object =
            Key::new(format!("penalty/{:012}-{found:08x}-{}", compaction.hour, bytes.len()));
        let counts = Counts::of(&compaction.misses);
        let compacted = CompactedHour { object: object.clone(), checksum: found, counts };
        let row = compacted_key(compaction.hour);
        let start = Transaction::default()
            .check(row.clone(), compaction.expected)
            .put(row, compacted.encode());
        let transaction = std::mem::take(&mut compaction.uncompacted).into_iter().fold(
            start,
            |transaction, row| {
                transaction.check(row.key.clone(), Expected::At(row.version)).delete(row.key)
            },
        );
        compaction.replaced_object =
            compaction.replaced_object.take().filter(|replaced| *replaced != object);
        let write = Request::Transact(transaction);
        (Stage::PutObject(write), Request::PutObject { key: object, bytes })
    }

    fn delete_replaced_object(&mut self, out: &mut Outbox<'_>) {
        if let Some(key) = self.compaction.replaced_object.take() {
            out.store(Priority::Snapshots, Purpose::Delete, Request::DeleteObject { key });
        }
    }
}

/// Returns whether this instance is responsible for compacting the hours before `hour`.
fn is_compactor(context: &Context<'_>, hour: u64) -> bool {
    let Some(write_guard) = &context.write_guard else { return false };
    let own = &write_guard.session.instance;
    let serving: BTreeMap<&InstanceName, MemberState> = (context.members.members().iter())
        .map(|(name, member)| (name, member.state))
        .filter(|(_, state)| *state == MemberState::Serving)
        .collect();
    let key = hour / MINUTES_PER_HOUR + 1;
    serving.keys().all(|name| score(key, name) <= score(key, own))
}
