//! Collects records and commits them in batches.

use std::collections::VecDeque;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::rate::PerSecond;

use super::coverage::Coverage;
use super::{Batch, Need, Record, Refused, Sequence, Settings, key};
use crate::agent::{Decision, Out};
use crate::session;
use crate::store::{Check, Expected, Priority, Request, Response, State, Transaction};

/// Share of an instance's writes that the journal takes.
const SHARE_OF_WRITES: f64 = 0.6;
/// Milliseconds in one second.
const MS_PER_SECOND: f64 = 1_000.0;
/// Rows deleted by one transaction.
const DELETES_AT_ONCE: u64 = 64;

/// What a request of the journal was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Commit,
    ReadBack,
    Truncate,
}

/// What an answer meant for the rest of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    /// Records up to here last.
    Durable(Sequence),
    /// The session may have ended.
    Doubt,
}

/// The right to write: the session and its check.
#[derive(Clone, Debug)]
pub(crate) struct Guarded {
    pub(crate) session: session::Name,
    pub(crate) check: Check,
}

#[derive(Debug)]
struct Flight {
    number: u64,
    /// Floor that the batch states.
    floor: u64,
    records: Vec<Record>,
    bytes: Bytes,
    /// Whether an answer is awaited.
    sent: bool,
}

#[derive(Debug)]
pub(crate) struct Machine {
    settings: Settings,
    interval: Span,
    last: Sequence,
    durable: Sequence,
    number: u64,
    waiting: VecDeque<(Need, Record)>,
    waiting_bytes: usize,
    flight: Option<Flight>,
    next_commit: Time,
    coverage: Coverage,
    floor: u64,
    stated_floor: u64,
    deleted_below: u64,
    truncating: bool,
}

impl Machine {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            interval: settings.min_interval,
            settings,
            last: Sequence(0),
            durable: Sequence(0),
            number: 0,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            flight: None,
            next_commit: Time::ZERO,
            coverage: Coverage::default(),
            floor: 1,
            stated_floor: 1,
            deleted_below: 1,
            truncating: false,
        }
    }

    /// Sets the time between commits to what the budget allows.
    pub(crate) fn retune(&mut self, writes: PerSecond) {
        let ms = MS_PER_SECOND / (writes.0 * SHARE_OF_WRITES).max(f64::MIN_POSITIVE);
        let Settings { min_interval, max_interval, .. } = self.settings;
        self.interval = Span::from_ms_f64(ms).clamp(min_interval, max_interval);
    }

    /// Returns the last sequence that was given out.
    pub(crate) const fn last(&self) -> Sequence {
        self.last
    }

    /// Returns the sequence up to which every record lasts or was withdrawn.
    pub(crate) fn settled(&self) -> Sequence {
        match self.waiting.is_empty() && self.flight.is_none() {
            true => self.last,
            false => self.durable,
        }
    }

    pub(crate) const fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) const fn coverage(&self) -> &Coverage {
        &self.coverage
    }

    pub(crate) fn cover(&mut self, shard: crate::ownership::Shard, sequence: Sequence) {
        self.coverage.cover(shard, sequence);
        self.floor = self.coverage.drain(self.number + 1);
    }

    /// Takes a record that is committed with the next batch.
    pub(crate) fn append(
        &mut self,
        need: Need,
        mut record: Record,
        store: State,
    ) -> Result<Sequence, Refused> {
        let limit = self.settings.max_batch_bytes;
        let found = record.bytes.len();
        if found > limit {
            return Err(Refused::TooLarge { found, limit });
        }
        if need == Need::Now && store == State::Down {
            return Err(Refused::StoreDown);
        }
        let limit = self.settings.max_waiting_bytes;
        if self.waiting_bytes + found > limit {
            return Err(Refused::Full { waiting: self.waiting_bytes, limit });
        }
        self.last.0 += 1;
        record.sequence = self.last;
        self.waiting_bytes += found;
        self.waiting.push_back((need, record));
        Ok(self.last)
    }

    /// Removes the records that were never sent and whose appenders need them to last now.
    pub(crate) fn withdraw(&mut self) -> Vec<Sequence> {
        let needed_now = |(need, _): &&(Need, Record)| *need == Need::Now;
        let withdrawn: Vec<Sequence> =
            self.waiting.iter().filter(needed_now).map(|(_, record)| record.sequence).collect();
        self.waiting.retain(|(need, _)| *need != Need::Now);
        self.waiting_bytes = self.waiting.iter().map(|(_, record)| record.bytes.len()).sum();
        withdrawn
    }

    /// Sends the next batch when it is due.
    pub(crate) fn tick(&mut self, now: Time, guarded: &Guarded, out: &mut Out<'_>) {
        if let Some(flight) = &mut self.flight {
            if !flight.sent {
                flight.sent = true;
                let request = commit(guarded, flight);
                out.store(Priority::Journal, Purpose::Commit, request);
            }
            return;
        }
        self.truncate(guarded, out);
        if self.waiting.is_empty() || now < self.next_commit {
            return;
        }
        self.next_commit = now + self.interval;
        let flight = self.next_flight(guarded);
        out.store(Priority::Journal, Purpose::Commit, commit(guarded, &flight));
        self.flight = Some(flight);
    }

    pub(crate) fn next_wake(&self, now: Time) -> Option<Time> {
        match &self.flight {
            Some(flight) => (!flight.sent).then_some(now),
            None if self.waiting.is_empty() => None,
            None => Some(self.next_commit),
        }
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        out: &mut Out<'_>,
    ) -> Change {
        match purpose {
            Purpose::Truncate => {
                self.truncating = false;
                if let Response::Committed(versions) = response {
                    self.deleted_below += versions.len() as u64;
                }
                Change::None
            }
            Purpose::Commit => match response {
                Response::Committed(_) => self.committed(),
                // The row tells whether the batch was written: a conflict may be with
                // itself, after a lost answer, or with the end of the session.
                _ => self.read_back(response == Response::Conflict, out),
            },
            Purpose::ReadBack => match response {
                Response::Row(row) => self.compare(row, out),
                _ => self.read_back(false, out),
            },
        }
    }

    fn next_flight(&mut self, guarded: &Guarded) -> Flight {
        let mut records = Vec::new();
        let mut bytes = 0;
        while let Some((_, record)) = self.waiting.front() {
            bytes += record.bytes.len();
            if bytes > self.settings.max_batch_bytes && !records.is_empty() {
                break;
            }
            let Some((_, record)) = self.waiting.pop_front() else { break };
            self.waiting_bytes -= record.bytes.len();
            records.push(record);
        }
        self.number += 1;
        let batch = Batch {
            by: guarded.session.clone(),
            number: self.number,
            floor: self.floor.min(self.number),
            records,
        };
        // From now on the batch may exist, so it counts before its answer arrives.
        self.coverage.wrote(batch.number, &batch.records);
        let bytes = batch.encode();
        let Batch { number, floor, records, .. } = batch;
        Flight { number, floor, records, bytes, sent: true }
    }

    fn committed(&mut self) -> Change {
        let Some(flight) = self.flight.take() else { return Change::None };
        self.stated_floor = flight.floor;
        let last = flight.records.last().map(|record| record.sequence);
        self.durable = last.unwrap_or(self.durable);
        Change::Durable(self.durable)
    }

    fn read_back(&mut self, doubt: bool, out: &mut Out<'_>) -> Change {
        if let Some(flight) = &self.flight {
            let request = Request::Row { key: key(out.session(), flight.number) };
            out.store(Priority::Journal, Purpose::ReadBack, request);
        }
        if doubt { Change::Doubt } else { Change::None }
    }

    fn compare(&mut self, row: Option<crate::store::Row>, out: &mut Out<'_>) -> Change {
        let Some(flight) = &mut self.flight else { return Change::None };
        let Some(row) = row else {
            // Not written so far. The same row is sent again under the same
            // conditions, so at most one of both can take effect.
            flight.sent = false;
            return Change::None;
        };
        if row.value == flight.bytes {
            return self.committed();
        }
        out.decide(Decision::Foreign { key: row.key });
        Change::Doubt
    }

    /// Deletes batches below the floor that the last committed batch states.
    fn truncate(&mut self, guarded: &Guarded, out: &mut Out<'_>) {
        let end = self.stated_floor.min(self.deleted_below + DELETES_AT_ONCE);
        if self.truncating || end <= self.deleted_below {
            return;
        }
        let guard = guarded.check.clone();
        let mut transaction = Transaction::default().check(guard.key, guard.expected);
        for number in self.deleted_below..end {
            transaction = transaction.delete(key(&guarded.session, number));
        }
        self.truncating = true;
        out.store(Priority::Snapshots, Purpose::Truncate, Request::Transact(transaction));
    }
}

fn commit(guarded: &Guarded, flight: &Flight) -> Request {
    let row = key(&guarded.session, flight.number);
    let guard = guarded.check.clone();
    let transaction = Transaction::default()
        .check(guard.key, guard.expected)
        .check(row.clone(), Expected::Absent)
        .put(row, flight.bytes.clone());
    Request::Transact(transaction)
}
