//! Joins the loose misses of a closed hour into one object with counts.
//!
//! Any instance may do it, also twice: the result is a union, and the write checks
//! every row that it replaces.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::machine::{Context, Machine, Purpose};
use super::stored::Closed;
use super::{Counts, LOOSE, MINUTES_PER_HOUR, Minute, Misses, closed_key, decode, encode, hour_of};
use crate::agent::{Decision, Out};
use crate::codec::{Error, checksum};
use crate::membership::{Standing, score};
use crate::store::{Expected, Key, Priority, Request, Response, Row, State, Transaction};

/// Rows joined by one write.
const ROWS_AT_ONCE: u32 = 200;
/// Milliseconds in one minute.
const MS_PER_MINUTE: u64 = 60_000;

#[derive(Debug)]
enum Stage {
    Idle,
    Scan,
    Closed,
    Object(Closed),
    Put(Request),
    Write,
}

/// A compaction, or the wait for the next.
#[derive(Debug)]
pub(super) struct Compaction {
    interval: Span,
    next: Time,
    stage: Stage,
    hour: u64,
    loose: Vec<Row>,
    misses: Misses,
    expected: Expected,
    old: Option<Key>,
}

impl Compaction {
    pub(super) const fn new(interval: Span) -> Self {
        Self {
            interval,
            next: Time::ZERO,
            stage: Stage::Idle,
            hour: 0,
            loose: Vec::new(),
            misses: Misses::new(),
            expected: Expected::Absent,
            old: None,
        }
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        matches!(self.stage, Stage::Idle).then_some(self.next)
    }

    fn rest(&mut self, now: Time) {
        self.stage = Stage::Idle;
        self.next = now + self.interval;
        self.misses = Misses::new();
        self.loose = Vec::new();
        self.old = None;
    }
}

impl Machine {
    pub(super) fn tick_compaction(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        if context.now < self.compaction.next || !matches!(self.compaction.stage, Stage::Idle) {
            return;
        }
        self.compaction.next = context.now + self.settings.compact_interval;
        if context.store == State::Down {
            return;
        }
        let closed = self.closed_before(context.now);
        if context.guarded.is_none() || !chosen(context, closed) {
            return;
        }
        self.compaction.stage = Stage::Scan;
        let prefix = Key::new(LOOSE);
        let request = Request::Scan { prefix, after: None, limit: ROWS_AT_ONCE };
        out.store(Priority::Snapshots, Purpose::Compact, request);
    }

    /// Returns the first hour that may still get misses.
    fn closed_before(&self, now: Time) -> u64 {
        let grace = self.settings.grace.as_ms() / MS_PER_MINUTE;
        Minute(self.minute(now).0.saturating_sub(grace)).hour()
    }

    pub(super) fn compact_answer(
        &mut self,
        response: Response,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        let stage = std::mem::replace(&mut self.compaction.stage, Stage::Idle);
        let next = match (stage, response) {
            (Stage::Scan, Response::Rows { rows, .. }) => self.pick(rows, context.now, out),
            (Stage::Closed, Response::Row(row)) => self.take_closed(row, out),
            (Stage::Object(closed), Response::Object(object)) => {
                self.take_object(&closed, object, out)
            }
            (Stage::Put(write), Response::Stored) => Some((Stage::Write, write)),
            (Stage::Write, Response::Committed(_)) => {
                self.forget_old(out);
                None
            }
            _ => None,
        };
        match next {
            Some((stage, request)) => {
                self.compaction.stage = stage;
                out.store(Priority::Snapshots, Purpose::Compact, request);
            }
            None => self.compaction.rest(context.now),
        }
    }

    /// Takes the loose rows of the oldest hour that is closed.
    fn pick(&mut self, rows: Vec<Row>, now: Time, out: &mut Out<'_>) -> Option<(Stage, Request)> {
        let hour = rows.first().and_then(|row| hour_of(&row.key))?;
        if hour >= self.closed_before(now) {
            return None;
        }
        let rows = rows.into_iter().filter(|row| hour_of(&row.key) == Some(hour));
        self.compaction.hour = hour;
        self.compaction.loose = rows.collect();
        let mut misses = Misses::new();
        for row in &self.compaction.loose {
            match decode(&row.value) {
                Ok(read) => misses.extend(read),
                Err(error) => {
                    out.decide(Decision::Corrupt { key: row.key.clone(), error });
                    return None;
                }
            }
        }
        self.compaction.misses = misses;
        Some((Stage::Closed, Request::Row { key: closed_key(hour) }))
    }

    fn take_closed(&mut self, row: Option<Row>, out: &mut Out<'_>) -> Option<(Stage, Request)> {
        let Some(row) = row else {
            self.compaction.expected = Expected::Absent;
            return Some(self.put());
        };
        match Closed::decode(&row.value) {
            Ok(closed) => {
                self.compaction.expected = Expected::At(row.version);
                self.compaction.old = Some(closed.object.clone());
                let request = Request::GetObject { key: closed.object.clone() };
                Some((Stage::Object(closed), request))
            }
            Err(error) => {
                out.decide(Decision::Corrupt { key: row.key, error });
                None
            }
        }
    }

    fn take_object(
        &mut self,
        closed: &Closed,
        object: Option<Bytes>,
        out: &mut Out<'_>,
    ) -> Option<(Stage, Request)> {
        let key = closed.object.clone();
        let missing = Error::Missing { key: key.to_string() };
        let read = object.ok_or(missing).and_then(|bytes| match checksum(&bytes) {
            found if found == closed.checksum => decode(&bytes),
            found => Err(Error::Checksum { found, expected: closed.checksum }),
        });
        match read {
            Ok(misses) => {
                self.compaction.misses.extend(misses);
                Some(self.put())
            }
            Err(error) => {
                out.decide(Decision::Corrupt { key, error });
                None
            }
        }
    }

    fn put(&mut self) -> (Stage, Request) {
        let job = &mut self.compaction;
        let bytes = encode(&job.misses);
        let found = checksum(&bytes);
        let object = Key::new(format!("penalty/{:012}-{found:08x}-{}", job.hour, bytes.len()));
        let counts = Counts::of(&job.misses);
        let closed = Closed { object: object.clone(), checksum: found, counts };
        let row = closed_key(job.hour);
        let start =
            Transaction::default().check(row.clone(), job.expected).put(row, closed.encode());
        let transaction = std::mem::take(&mut job.loose).into_iter().fold(start, |all, row| {
            all.check(row.key.clone(), Expected::At(row.version)).delete(row.key)
        });
        job.old = job.old.take().filter(|old| *old != object);
        let write = Request::Transact(transaction);
        (Stage::Put(write), Request::PutObject { key: object, bytes })
    }

    fn forget_old(&mut self, out: &mut Out<'_>) {
        if let Some(key) = self.compaction.old.take() {
            out.store(Priority::Snapshots, Purpose::Forget, Request::DeleteObject { key });
        }
    }
}

/// Reports whether this instance is the one that compacts the hours before `hour`.
fn chosen(context: &Context<'_>, hour: u64) -> bool {
    let Some(guarded) = &context.guarded else { return false };
    let own = &guarded.session.instance;
    let serving: BTreeMap<&InstanceName, Standing> = (context.members.members().iter())
        .map(|(name, member)| (name, member.standing))
        .filter(|(_, standing)| *standing == Standing::Serving)
        .collect();
    let key = hour / MINUTES_PER_HOUR + 1;
    serving.keys().all(|name| score(key, name) <= score(key, own))
}
