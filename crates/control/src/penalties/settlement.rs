//! Settlement: reads the misses of a period and computes their totals.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::money::Amount;

use super::machine::{Context, Machine, Purpose};
use super::stored::CompactedHour;
use super::{
    COMPACTED_PREFIX, Counts, Failure, Misses, SettleId, SettleRequest, UNCOMPACTED_PREFIX,
    compacted_key, decode, hour_of, settle,
};
use crate::agent::{Command, Outbox};
use crate::codec::{Error, checksum};
use crate::store::{Key, Priority, Request, Response, Row, State};

/// Maximum number of rows per scan.
const SCAN_LIMIT: u32 = 500;
/// Time after which a settlement fails.
const SETTLEMENT_TIMEOUT: Span = Span::from_secs(20);

/// Maximum number of restarts after an object was replaced during a settlement.
const MAX_RESTARTS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Uncompacted,
    Compacted,
    Object(u64),
}

/// Settlement in progress.
#[derive(Debug)]
pub(super) struct Settlement {
    request: SettleRequest,
    pub(super) deadline: Time,
    stage: Stage,
    after: Option<Key>,
    restarts: u32,
    uncompacted: BTreeMap<u64, Misses>,
    compacted: BTreeMap<u64, CompactedHour>,
    counts: Counts,
}

impl Settlement {
    fn new(request: SettleRequest, now: Time) -> Self {
        Self {
            after: Some(Key::new(format!("{UNCOMPACTED_PREFIX}{:012}", request.from.hour()))),
            request,
            deadline: now + SETTLEMENT_TIMEOUT,
            stage: Stage::Uncompacted,
            restarts: 0,
            uncompacted: BTreeMap::new(),
            compacted: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the next request.
    ///
    /// Uncompacted rows are read first, so that a row that is compacted during the
    /// settlement is found among the compacted hours.
    fn next_request(&mut self) -> Option<Request> {
        match self.stage {
            Stage::Uncompacted => Some(self.scan(UNCOMPACTED_PREFIX)),
            Stage::Compacted => Some(self.scan(COMPACTED_PREFIX)),
            Stage::Object(hour) => {
                let compacted = self.compacted.get(&hour)?;
                Some(Request::GetObject { key: compacted.object.clone() })
            }
        }
    }

    fn scan(&self, prefix: &str) -> Request {
        let after = self.after.clone();
        Request::Scan { prefix: Key::new(prefix), after, limit: SCAN_LIMIT }
    }

    /// Processes a response and reports whether the settlement is complete.
    fn handle(&mut self, response: Response) -> Result<bool, Failure> {
        match (self.stage, response) {
            (Stage::Uncompacted | Stage::Compacted, Response::Rows { rows, more }) => {
                self.after = rows.last().map(|row| row.key.clone());
                let last = self.after.as_ref().and_then(hour_of);
                let past_end = last.is_some_and(|hour| hour > self.request.to.hour());
                rows.iter().try_for_each(|row| self.add_row(row))?;
                Ok(if more && !past_end { false } else { self.next_stage() })
            }
            // The hour was compacted again during the settlement, so its row refers to
            // another object.
            (Stage::Object(_), Response::Object(None)) if self.restarts < MAX_RESTARTS => {
                let restarts = self.restarts + 1;
                let deadline = self.deadline;
                *self = Self { restarts, deadline, ..Self::new(self.request.clone(), deadline) };
                Ok(false)
            }
            (Stage::Object(hour), Response::Object(object)) => {
                self.merge_object(hour, object.as_deref())?;
                Ok(self.next_object())
            }
            _ => Ok(false),
        }
    }

    fn add_row(&mut self, row: &Row) -> Result<(), Failure> {
        let damaged = |error| Failure::Damaged { key: row.key.clone(), error };
        let Some(hour) = hour_of(&row.key) else { return Ok(()) };
        if hour > self.request.to.hour() {
            return Ok(());
        }
        match self.stage {
            Stage::Uncompacted => {
                let misses = decode(&row.value).map_err(damaged)?;
                self.uncompacted.entry(hour).or_default().extend(misses);
            }
            _ => {
                let compacted = CompactedHour::decode(&row.value).map_err(damaged)?;
                self.compacted.insert(hour, compacted);
            }
        }
        Ok(())
    }

    fn next_stage(&mut self) -> bool {
        match self.stage {
            Stage::Uncompacted => {
                self.stage = Stage::Compacted;
                let from = self.request.from.hour();
                self.after = from.checked_sub(1).map(compacted_key);
                false
            }
            _ => self.next_object(),
        }
    }

    /// Selects the next hour that is compacted and also has uncompacted misses.
    ///
    /// Computes the counts and returns true if there is none.
    fn next_object(&mut self) -> bool {
        let overlapping =
            self.compacted.keys().find(|hour| self.uncompacted.contains_key(hour)).copied();
        if let Some(hour) = overlapping {
            self.stage = Stage::Object(hour);
            return false;
        }
        for compacted in std::mem::take(&mut self.compacted).into_values() {
            self.counts.extend(compacted.counts);
        }
        for misses in std::mem::take(&mut self.uncompacted).into_values() {
            self.counts.extend(Counts::of(&misses));
        }
        true
    }

    fn merge_object(&mut self, hour: u64, object: Option<&[u8]>) -> Result<(), Failure> {
        let Some(compacted) = self.compacted.remove(&hour) else { return Ok(()) };
        let key = compacted.object.clone();
        let damaged = |error| Failure::Damaged { key: key.clone(), error };
        let bytes = object.ok_or_else(|| damaged(Error::Missing { key: key.to_string() }))?;
        let found = checksum(bytes);
        if found != compacted.checksum {
            return Err(damaged(Error::Checksum { found, expected: compacted.checksum }));
        }
        let misses = decode(bytes).map_err(damaged)?;
        self.uncompacted.entry(hour).or_default().extend(misses);
        Ok(())
    }
}

impl Machine {
    /// Starts the settlement of a period.
    pub(crate) fn settle(
        &mut self,
        request: SettleRequest,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        let id = request.id;
        if context.store == State::Down {
            let outcome = Err(Failure::StoreDown);
            return out.emit(Command::SettleFinished { id, outcome });
        }
        let mut settlement = Settlement::new(request, context.now);
        if let Some(request) = settlement.next_request() {
            out.store(Priority::Penalties, Purpose::Settle(id), request);
        }
        self.settlements.insert(id, settlement);
    }

    pub(super) fn handle_settlement(
        &mut self,
        id: SettleId,
        response: Response,
        out: &mut Outbox<'_>,
    ) {
        let Some(settlement) = self.settlements.get_mut(&id) else { return };
        let outcome = match settlement.handle(response) {
            Ok(false) => {
                if let Some(request) = settlement.next_request() {
                    out.store(Priority::Penalties, Purpose::Settle(id), request);
                }
                return;
            }
            Ok(true) => Ok(settlement.totals()),
            Err(failure) => Err(failure),
        };
        self.settlements.remove(&id);
        let pending = self.pending();
        let outcome = outcome.map(|settled| super::Settlement { pending, ..settled });
        out.emit(Command::SettleFinished { id, outcome });
    }

    pub(super) fn expire_settlements(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let is_expired =
            |(_, settlement): &(&SettleId, &Settlement)| context.now >= settlement.deadline;
        let expired: Vec<SettleId> =
            self.settlements.iter().filter(is_expired).map(|(id, _)| *id).collect();
        for id in expired {
            self.settlements.remove(&id);
            out.emit(Command::SettleFinished { id, outcome: Err(Failure::StoreDown) });
        }
    }
}

impl Settlement {
    fn totals(&self) -> super::Settlement {
        let SettleRequest { from, to, by, .. } = self.request;
        let totals = settle(&self.counts, from, to, by);
        let amount: Amount = totals.iter().map(|total| total.amount).sum();
        super::Settlement { totals, amount, pending: 0 }
    }
}
