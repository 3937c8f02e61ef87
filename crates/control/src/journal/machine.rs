//! Journal state machine: collects records and commits them in batches.

use std::collections::VecDeque;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::rate::PerSecond;

use super::coverage::Coverage;
use super::{AppendError, Batch, Durability, Record, Sequence, Settings, key};
use crate::agent::{Decision, Outbox};
use crate::session;
use crate::store::{Check, Expected, Priority, Request, Response, State, Transaction};

/// Fraction of an instance's write rate that is used for commits.
const SHARE_OF_WRITES: f64 = 0.6;
const MS_PER_SECOND: f64 = 1_000.0;
/// Maximum number of rows deleted by one transaction.
const MAX_DELETES_PER_WRITE: u64 = 64;

/// Purpose of a store request of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Commit,
    ReadBack,
    Truncate,
}

/// Effect of a store response on the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    /// All records up to this sequence are durable, unless withdrawn.
    Durable(Sequence),
    /// The session may have ended.
    SessionInDoubt,
}

/// Session that writes, with the check that every one of its transactions includes.
#[derive(Clone, Debug)]
pub(crate) struct WriteGuard {
    pub(crate) session: session::Name,
    pub(crate) check: Check,
}

#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    /// Floor stated in the batch.
    floor: u64,
    records: Vec<Record>,
    bytes: Bytes,
    /// Whether a response is awaited.
    sent: bool,
}

#[derive(Debug)]
pub(crate) struct Machine {
    settings: Settings,
    interval: Span,
    last: Sequence,
    durable: Sequence,
    number: u64,
    waiting: VecDeque<(Durability, Record)>,
    waiting_bytes: usize,
    in_flight: Option<InFlightBatch>,
    next_commit: Time,
    coverage: Coverage,
    floor: u64,
    committed_floor: u64,
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
            in_flight: None,
            next_commit: Time::ZERO,
            coverage: Coverage::default(),
            floor: 1,
            committed_floor: 1,
            deleted_below: 1,
            truncating: false,
        }
    }

    /// Sets the commit interval for the given write rate of the instance.
    pub(crate) fn set_write_rate(&mut self, writes: PerSecond) {
        let ms = MS_PER_SECOND / (writes.0 * SHARE_OF_WRITES).max(f64::MIN_POSITIVE);
        let Settings { min_interval, max_interval, .. } = self.settings;
        self.interval = Span::from_ms_f64(ms).clamp(min_interval, max_interval);
    }

    /// Returns the last assigned sequence.
    pub(crate) const fn last(&self) -> Sequence {
        self.last
    }

    /// Returns the sequence up to which every record is durable or withdrawn.
    pub(crate) fn resolved(&self) -> Sequence {
        match self.waiting.is_empty() && self.in_flight.is_none() {
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
        self.floor = self.coverage.remove_covered(self.number + 1);
    }

    /// Queues a record for the next batch.
    pub(crate) fn append(
        &mut self,
        durability: Durability,
        mut record: Record,
        store: State,
    ) -> Result<Sequence, AppendError> {
        let limit = self.settings.max_batch_bytes;
        let found = record.bytes.len();
        if found > limit {
            return Err(AppendError::TooLarge { found, limit });
        }
        if durability == Durability::Immediate && store == State::Down {
            return Err(AppendError::StoreDown);
        }
        let limit = self.settings.max_waiting_bytes;
        if self.waiting_bytes + found > limit {
            return Err(AppendError::Full { waiting: self.waiting_bytes, limit });
        }
        self.last.0 += 1;
        record.sequence = self.last;
        self.waiting_bytes += found;
        self.waiting.push_back((durability, record));
        Ok(self.last)
    }

    /// Removes the unsent records with [`Durability::Immediate`] and returns their sequences.
    pub(crate) fn withdraw(&mut self) -> Vec<Sequence> {
        let needed_now =
            |(durability, _): &&(Durability, Record)| *durability == Durability::Immediate;
        let withdrawn: Vec<Sequence> =
            self.waiting.iter().filter(needed_now).map(|(_, record)| record.sequence).collect();
        self.waiting.retain(|(durability, _)| *durability != Durability::Immediate);
        self.waiting_bytes = self.waiting.iter().map(|(_, record)| record.bytes.len()).sum();
        withdrawn
    }

    /// Sends the next batch when it is due.
    pub(crate) fn tick(&mut self, now: Time, write_guard: &WriteGuard, out: &mut Outbox<'_>) {
        if let Some(in_flight) = &mut self.in_flight {
            if !in_flight.sent {
                in_flight.sent = true;
                let request = commit_request(write_guard, in_flight);
                out.store(Priority::Journal, Purpose::Commit, request);
            }
            return;
        }
        self.truncate(write_guard, out);
        if self.waiting.is_empty() || now < self.next_commit {
            return;
        }
        self.next_commit = now + self.interval;
        let in_flight = self.next_batch(write_guard);
        out.store(Priority::Journal, Purpose::Commit, commit_request(write_guard, &in_flight));
        self.in_flight = Some(in_flight);
    }

    pub(crate) fn next_wake(&self, now: Time) -> Option<Time> {
        match &self.in_flight {
            Some(in_flight) => (!in_flight.sent).then_some(now),
            None if self.waiting.is_empty() => None,
            None => Some(self.next_commit),
        }
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        out: &mut Outbox<'_>,
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
                Response::Committed(_) => self.handle_committed(),
                // Only the row shows whether the batch was written. A conflict may be
                // with an earlier attempt whose response was lost, or with a fenced
                // session.
                _ => self.read_back(response == Response::Conflict, out),
            },
            Purpose::ReadBack => match response {
                Response::Row(row) => self.handle_read_back(row, out),
                _ => self.read_back(false, out),
            },
        }
    }

    fn next_batch(&mut self, write_guard: &WriteGuard) -> InFlightBatch {
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
            session: write_guard.session.clone(),
            number: self.number,
            floor: self.floor.min(self.number),
            records,
        };
        // The batch may exist from now on, so it is counted before its response arrives.
        self.coverage.add_batch(batch.number, &batch.records);
        let bytes = batch.encode();
        let Batch { number, floor, records, .. } = batch;
        InFlightBatch { number, floor, records, bytes, sent: true }
    }

    fn handle_committed(&mut self) -> Change {
        let Some(in_flight) = self.in_flight.take() else { return Change::None };
        self.committed_floor = in_flight.floor;
        let last = in_flight.records.last().map(|record| record.sequence);
        self.durable = last.unwrap_or(self.durable);
        Change::Durable(self.durable)
    }

    fn read_back(&mut self, session_in_doubt: bool, out: &mut Outbox<'_>) -> Change {
        if let Some(in_flight) = &self.in_flight {
            let request = Request::Row { key: key(out.session(), in_flight.number) };
            out.store(Priority::Journal, Purpose::ReadBack, request);
        }
        if session_in_doubt { Change::SessionInDoubt } else { Change::None }
    }

    fn handle_read_back(&mut self, row: Option<crate::store::Row>, out: &mut Outbox<'_>) -> Change {
        let Some(in_flight) = &mut self.in_flight else { return Change::None };
        let Some(row) = row else {
            // Not written so far. The same row is sent again with the same checks, so at
            // most one of the attempts can take effect.
            in_flight.sent = false;
            return Change::None;
        };
        if row.value == in_flight.bytes {
            return self.handle_committed();
        }
        out.log(Decision::Foreign { key: row.key });
        Change::SessionInDoubt
    }

    /// Deletes batches below the floor of the last committed batch.
    fn truncate(&mut self, write_guard: &WriteGuard, out: &mut Outbox<'_>) {
        let end = self.committed_floor.min(self.deleted_below + MAX_DELETES_PER_WRITE);
        if self.truncating || end <= self.deleted_below {
            return;
        }
        let guard = write_guard.check.clone();
        let mut transaction = Transaction::default().check(guard.key, guard.expected);
        for number in self.deleted_below..end {
            transaction = transaction.delete(key(&write_guard.session, number));
        }
        self.truncating = true;
        out.store(Priority::Snapshots, Purpose::Truncate, Request::Transact(transaction));
    }
}

fn commit_request(write_guard: &WriteGuard, in_flight: &InFlightBatch) -> Request {
    let row = key(&write_guard.session, in_flight.number);
    let guard = write_guard.check.clone();
    let transaction = Transaction::default()
        .check(guard.key, guard.expected)
        .check(row.clone(), Expected::Absent)
        .put(row, in_flight.bytes.clone());
    Request::Transact(transaction)
}
