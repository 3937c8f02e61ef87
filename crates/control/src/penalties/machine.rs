//! Collects misses, tells peers of those that do not last yet, and writes them.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::compaction::Compaction;
use super::settlement::Settlement;
use super::{Entry, Full, Id, Minute, Misses, Settings, SettleId, encode, loose_key};
use crate::agent::{Body, Out};
use crate::journal::Guarded;
use crate::membership;
use crate::session;
use crate::store::{Expected, Key, Priority, Request, Response, State, Transaction};

/// Misses in one write.
const MISSES_AT_ONCE: usize = 4_000;
/// Misses in one message.
const MISSES_PER_MESSAGE: usize = 500;
/// Instances for which the interval between writes is stated.
const FLUSH_GROUP: u64 = 9;
/// Time for which own misses are remembered, so that a repeat costs no write.
const REMEMBER: Span = Span::from_secs(3_600);
/// Milliseconds in one minute.
const MS_PER_MINUTE: u64 = 60_000;

/// What a request of the penalties was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Flush,
    ReadBack,
    Settle(SettleId),
    Compact,
    Forget,
}

/// What the rest of the instance tells the penalties.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) members: &'a membership::Machine,
    pub(crate) guarded: Option<Guarded>,
    pub(crate) store: State,
}

#[derive(Debug)]
struct Flight {
    misses: Misses,
    rows: Vec<(Key, Bytes)>,
    sent: bool,
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    /// Misses that do not last yet.
    waiting: Misses,
    flight: Option<Flight>,
    /// Misses of peers that do not last yet.
    foreign: BTreeMap<session::Name, Misses>,
    /// Misses that last, so that a repeat is not written again.
    known: BTreeSet<Id>,
    untold: Vec<Id>,
    /// Peers that were told of misses which wait.
    replicas: BTreeSet<InstanceName>,
    next_number: u64,
    next_flush: Time,
    next_gossip: Time,
    pub(super) settlements: BTreeMap<SettleId, Settlement>,
    pub(super) compaction: Compaction,
}

impl Machine {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            compaction: Compaction::new(settings.compact_interval),
            settings,
            waiting: Misses::new(),
            flight: None,
            foreign: BTreeMap::new(),
            known: BTreeSet::new(),
            untold: Vec::new(),
            replicas: BTreeSet::new(),
            next_number: 0,
            next_flush: Time::ZERO,
            next_gossip: Time::ZERO,
            settlements: BTreeMap::new(),
        }
    }

    /// Takes a miss, once.
    pub(crate) fn miss(&mut self, entry: Entry) -> Result<(), Full> {
        let limit = self.settings.max_waiting;
        let flying = self.flight.as_ref().is_some_and(|it| it.misses.contains_key(&entry.id));
        if flying || self.known.contains(&entry.id) || self.waiting.contains_key(&entry.id) {
            return Ok(());
        }
        if self.waiting.len() >= limit {
            return Err(Full { limit });
        }
        self.untold.push(entry.id.clone());
        self.waiting.insert(entry.id.clone(), entry);
        Ok(())
    }

    /// Returns the number of own misses that do not last yet.
    pub(crate) fn pending(&self) -> u64 {
        let flying = self.flight.as_ref().map_or(0, |flight| flight.misses.len());
        (self.waiting.len() + flying) as u64
    }

    /// Returns the own misses that do not last yet.
    pub(crate) fn unsaved(&self) -> Misses {
        let flying = self.flight.iter().flat_map(|flight| &flight.misses);
        let all = self.waiting.iter().chain(flying);
        all.map(|(id, entry)| (id.clone(), entry.clone())).collect()
    }

    /// Takes misses of a peer that do not last yet.
    pub(crate) fn keep(&mut self, from: session::Name, misses: Misses) {
        let limit = self.settings.max_waiting;
        let kept = self.foreign.entry(from).or_default();
        let room = limit.saturating_sub(kept.len());
        kept.extend(misses.into_iter().take(room));
    }

    /// Forgets misses of a peer that last now.
    pub(crate) fn lasting(&mut self, from: &session::Name, misses: &Misses) {
        if let Some(kept) = self.foreign.get_mut(from) {
            kept.retain(|id, _| !misses.contains_key(id));
        }
    }

    pub(crate) fn tick(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        self.adopt(context);
        self.gossip(context, out);
        self.flush(context, out);
        self.expire_settlements(context, out);
        self.tick_compaction(context, out);
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let waits = !self.waiting.is_empty() && self.flight.is_none();
        let flush = waits.then_some(self.next_flush);
        let gossip = (!self.untold.is_empty()).then_some(self.next_gossip);
        let settle = self.settlements.values().map(|settlement| settlement.deadline).min();
        [flush, gossip, settle, self.compaction.next_wake()].into_iter().flatten().min()
    }

    /// Returns the present minute of the wall clock.
    pub(super) fn minute(&self, now: Time) -> Minute {
        Minute(self.settings.start.0 + now.as_ms() / MS_PER_MINUTE)
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        match purpose {
            Purpose::Flush => match response {
                Response::Committed(_) => self.written(context, out),
                _ => self.read_back(out),
            },
            Purpose::ReadBack => self.compare(response, context, out),
            Purpose::Settle(id) => self.settle_answer(id, response, out),
            Purpose::Compact => self.compact_answer(response, context, out),
            Purpose::Forget => {}
        }
    }

    /// Takes over the misses that sessions which are gone have told.
    fn adopt(&mut self, context: &Context<'_>) {
        let gone: Vec<session::Name> = (self.foreign.keys())
            .filter(|session| context.members.suspects(session))
            .cloned()
            .collect();
        for session in gone {
            let misses = self.foreign.remove(&session).unwrap_or_default();
            for entry in misses.into_values() {
                // A full queue keeps them for the next try.
                if self.miss(entry.clone()).is_err() {
                    let kept = self.foreign.entry(session.clone()).or_default();
                    kept.insert(entry.id.clone(), entry);
                }
            }
        }
    }

    fn gossip(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        if self.untold.is_empty() || context.now < self.next_gossip {
            return;
        }
        self.next_gossip = context.now + self.settings.gossip_interval;
        let peers = context.members.watched().take(self.settings.replicas);
        let peers: Vec<InstanceName> = peers.cloned().collect();
        self.replicas.extend(peers.iter().cloned());
        let count = self.untold.len().min(MISSES_PER_MESSAGE);
        let told: Vec<Id> = self.untold.drain(..count).collect();
        let waits = |id: &Id| self.waiting.get(id).cloned();
        let misses: Misses = told.iter().filter_map(|id| Some((id.clone(), waits(id)?))).collect();
        if misses.is_empty() {
            return;
        }
        for peer in peers {
            out.send(peer, Body::Pending(misses.clone()));
        }
    }

    fn flush(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        let Some(guarded) = &context.guarded else { return };
        if let Some(flight) = &mut self.flight {
            if !flight.sent && context.store == State::Up {
                flight.sent = true;
                out.store(Priority::Penalties, Purpose::Flush, write(guarded, flight));
            }
            return;
        }
        if self.waiting.is_empty() || context.now < self.next_flush {
            return;
        }
        let crowd = (context.members.size() as u64).div_ceil(FLUSH_GROUP);
        self.next_flush = context.now + self.settings.flush_interval.times(crowd);
        let flight = self.next_flight(guarded);
        out.store(Priority::Penalties, Purpose::Flush, write(guarded, &flight));
        self.flight = Some(flight);
    }

    fn next_flight(&mut self, guarded: &Guarded) -> Flight {
        let mut misses = Misses::new();
        while misses.len() < MISSES_AT_ONCE {
            let Some((id, entry)) = self.waiting.pop_first() else { break };
            misses.insert(id, entry);
        }
        let mut hours: BTreeMap<u64, Misses> = BTreeMap::new();
        for (id, entry) in &misses {
            hours.entry(id.minute.hour()).or_default().insert(id.clone(), entry.clone());
        }
        let mut rows = Vec::new();
        for (hour, misses) in hours {
            self.next_number += 1;
            let key = loose_key(hour, &guarded.session, self.next_number);
            rows.push((key, encode(&misses)));
        }
        Flight { misses, rows, sent: true }
    }

    fn written(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        let Some(flight) = self.flight.take() else { return };
        for peer in &self.replicas {
            out.send(peer.clone(), Body::Lasting(flight.misses.clone()));
        }
        if self.waiting.is_empty() {
            self.replicas.clear();
        }
        self.known.extend(flight.misses.into_keys());
        let minutes = REMEMBER.as_ms() / MS_PER_MINUTE;
        let oldest = Minute(self.minute(context.now).0.saturating_sub(minutes));
        self.known.retain(|id| id.minute >= oldest);
    }

    fn read_back(&mut self, out: &mut Out<'_>) {
        let first = self.flight.as_ref().and_then(|flight| flight.rows.first());
        if let Some((key, _)) = first {
            let request = Request::Row { key: key.clone() };
            out.store(Priority::Penalties, Purpose::ReadBack, request);
        }
    }

    fn compare(&mut self, response: Response, context: &Context<'_>, out: &mut Out<'_>) {
        let Response::Row(row) = response else { return self.read_back(out) };
        let Some(flight) = &mut self.flight else { return };
        let written = flight
            .rows
            .first()
            .is_some_and(|(_, bytes)| row.as_ref().is_some_and(|row| row.value == *bytes));
        match written {
            true => self.written(context, out),
            // The rows are absent, or were compacted: sending them again is harmless.
            false => flight.sent = false,
        }
    }
}

fn write(guarded: &Guarded, flight: &Flight) -> Request {
    let guard = guarded.check.clone();
    let mut transaction = Transaction::default().check(guard.key, guard.expected);
    for (key, bytes) in &flight.rows {
        transaction =
            transaction.check(key.clone(), Expected::Absent).put(key.clone(), bytes.clone());
    }
    Request::Transact(transaction)
}
