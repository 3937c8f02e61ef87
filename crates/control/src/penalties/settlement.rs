//! Reads the misses of a period and adds them up.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::money::Amount;

use super::machine::{Context, Machine, Purpose};
use super::stored::Closed;
use super::{
    CLOSED, Counts, Failure, LOOSE, Misses, Settle, SettleId, Settled, closed_key, decode, hour_of,
    settle,
};
use crate::agent::{Command, Out};
use crate::codec::{Error, checksum};
use crate::store::{Key, Priority, Request, Response, Row, State};

/// Rows read by one scan.
const ROWS_AT_ONCE: u32 = 500;
/// Time after which a settlement is given up.
const LIMIT: Span = Span::from_secs(20);

/// Times that a settlement starts again because an object was replaced.
const MAX_RESTARTS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Loose,
    Closed,
    Object(u64),
}

/// A settlement under way.
#[derive(Debug)]
pub(super) struct Settlement {
    request: Settle,
    pub(super) deadline: Time,
    stage: Stage,
    after: Option<Key>,
    restarts: u32,
    loose: BTreeMap<u64, Misses>,
    closed: BTreeMap<u64, Closed>,
    counts: Counts,
}

impl Settlement {
    fn new(request: Settle, now: Time) -> Self {
        Self {
            after: Some(Key::new(format!("{LOOSE}{:012}", request.from.hour()))),
            request,
            deadline: now + LIMIT,
            stage: Stage::Loose,
            restarts: 0,
            loose: BTreeMap::new(),
            closed: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Loose rows are read first: one that is compacted meanwhile is found closed.
    fn next(&mut self) -> Option<Request> {
        match self.stage {
            Stage::Loose => Some(self.scan(LOOSE)),
            Stage::Closed => Some(self.scan(CLOSED)),
            Stage::Object(hour) => {
                let closed = self.closed.get(&hour)?;
                Some(Request::GetObject { key: closed.object.clone() })
            }
        }
    }

    fn scan(&self, prefix: &str) -> Request {
        let after = self.after.clone();
        Request::Scan { prefix: Key::new(prefix), after, limit: ROWS_AT_ONCE }
    }

    /// Takes an answer and reports whether the settlement is complete.
    fn handle(&mut self, response: Response) -> Result<bool, Failure> {
        match (self.stage, response) {
            (Stage::Loose | Stage::Closed, Response::Rows { rows, more }) => {
                self.after = rows.last().map(|row| row.key.clone());
                let last = self.after.as_ref().and_then(hour_of);
                let beyond = last.is_some_and(|hour| hour > self.request.to.hour());
                rows.iter().try_for_each(|row| self.take(row))?;
                Ok(if more && !beyond { false } else { self.advance() })
            }
            // The hour was compacted again meanwhile, so its row names another object.
            (Stage::Object(_), Response::Object(None)) if self.restarts < MAX_RESTARTS => {
                let restarts = self.restarts + 1;
                let deadline = self.deadline;
                *self = Self { restarts, deadline, ..Self::new(self.request.clone(), deadline) };
                Ok(false)
            }
            (Stage::Object(hour), Response::Object(object)) => {
                self.join(hour, object.as_deref())?;
                Ok(self.next_object())
            }
            _ => Ok(false),
        }
    }

    fn take(&mut self, row: &Row) -> Result<(), Failure> {
        let damaged = |error| Failure::Damaged { key: row.key.clone(), error };
        let Some(hour) = hour_of(&row.key) else { return Ok(()) };
        if hour > self.request.to.hour() {
            return Ok(());
        }
        match self.stage {
            Stage::Loose => {
                let misses = decode(&row.value).map_err(damaged)?;
                self.loose.entry(hour).or_default().extend(misses);
            }
            _ => {
                let closed = Closed::decode(&row.value).map_err(damaged)?;
                self.closed.insert(hour, closed);
            }
        }
        Ok(())
    }

    fn advance(&mut self) -> bool {
        match self.stage {
            Stage::Loose => {
                self.stage = Stage::Closed;
                let from = self.request.from.hour();
                self.after = from.checked_sub(1).map(closed_key);
                false
            }
            _ => self.next_object(),
        }
    }

    /// Turns to the next hour that is both compacted and has loose misses.
    fn next_object(&mut self) -> bool {
        let both = self.closed.keys().find(|hour| self.loose.contains_key(hour)).copied();
        if let Some(hour) = both {
            self.stage = Stage::Object(hour);
            return false;
        }
        for closed in std::mem::take(&mut self.closed).into_values() {
            self.counts.extend(closed.counts);
        }
        for misses in std::mem::take(&mut self.loose).into_values() {
            self.counts.extend(Counts::of(&misses));
        }
        true
    }

    fn join(&mut self, hour: u64, object: Option<&[u8]>) -> Result<(), Failure> {
        let Some(closed) = self.closed.remove(&hour) else { return Ok(()) };
        let key = closed.object.clone();
        let damaged = |error| Failure::Damaged { key: key.clone(), error };
        let bytes = object.ok_or_else(|| damaged(Error::Missing { key: key.to_string() }))?;
        let found = checksum(bytes);
        if found != closed.checksum {
            return Err(damaged(Error::Checksum { found, expected: closed.checksum }));
        }
        let misses = decode(bytes).map_err(damaged)?;
        self.loose.entry(hour).or_default().extend(misses);
        Ok(())
    }
}

impl Machine {
    /// Starts the settlement of a period.
    pub(crate) fn settle(&mut self, request: Settle, context: &Context<'_>, out: &mut Out<'_>) {
        let id = request.id;
        if context.store == State::Down {
            let outcome = Err(Failure::StoreDown);
            return out.emit(Command::Settled { id, outcome });
        }
        let mut settlement = Settlement::new(request, context.now);
        if let Some(request) = settlement.next() {
            out.store(Priority::Penalties, Purpose::Settle(id), request);
        }
        self.settlements.insert(id, settlement);
    }

    pub(super) fn settle_answer(&mut self, id: SettleId, response: Response, out: &mut Out<'_>) {
        let Some(settlement) = self.settlements.get_mut(&id) else { return };
        let outcome = match settlement.handle(response) {
            Ok(false) => {
                if let Some(request) = settlement.next() {
                    out.store(Priority::Penalties, Purpose::Settle(id), request);
                }
                return;
            }
            Ok(true) => Ok(settlement.totals()),
            Err(failure) => Err(failure),
        };
        self.settlements.remove(&id);
        let pending = self.pending();
        let outcome = outcome.map(|settled| Settled { pending, ..settled });
        out.emit(Command::Settled { id, outcome });
    }

    pub(super) fn expire_settlements(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        let late = |(_, settlement): &(&SettleId, &Settlement)| context.now >= settlement.deadline;
        let late: Vec<SettleId> = self.settlements.iter().filter(late).map(|(id, _)| *id).collect();
        for id in late {
            self.settlements.remove(&id);
            out.emit(Command::Settled { id, outcome: Err(Failure::StoreDown) });
        }
    }
}

impl Settlement {
    fn totals(&self) -> Settled {
        let Settle { from, to, by, .. } = self.request;
        let totals = settle(&self.counts, from, to, by);
        let amount: Amount = totals.iter().map(|total| total.amount).sum();
        Settled { totals, amount, pending: 0 }
    }
}
