//! Penalty state machine: collects misses, replicates them to peers until they are
//! durable, and writes them.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::compaction::Compaction;
use super::settlement::Settlement;
use super::{Minute, Miss, MissId, Misses, QueueFull, Settings, SettleId, encode, uncompacted_key};
use crate::agent::{Body, Outbox};
use crate::journal::WriteGuard;
use crate::membership;
use crate::session;
use crate::store::{Expected, Key, Priority, Request, Response, State, Transaction};

/// Maximum number of misses in one write.
const MAX_MISSES_PER_WRITE: usize = 4_000;
/// Maximum number of misses in one message.
const MAX_MISSES_PER_MESSAGE: usize = 500;
/// Group size up to which the configured flush interval applies; it scales with the size
/// of larger groups.
const FLUSH_GROUP: u64 = 9;
/// Time for which durable misses are remembered, so that a duplicate causes no write.
const RECENT_RETENTION: Span = Span::from_secs(3_600);
const MS_PER_MINUTE: u64 = 60_000;

/// Purpose of a store request of the penalties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Flush,
    ReadBack,
    Settle(SettleId),
    Compact,
    Delete,
}

/// State of the other state machines that the penalties depend on.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) members: &'a membership::Machine,
    pub(crate) write_guard: Option<WriteGuard>,
    pub(crate) store: State,
}

#[derive(Debug)]
struct InFlightWrite {
    misses: Misses,
    rows: Vec<(Key, Bytes)>,
    sent: bool,
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    /// Misses that are neither durable nor in flight.
    waiting: Misses,
    in_flight: Option<InFlightWrite>,
    /// Replicated misses of peers that are not known to be durable.
    peer_misses: BTreeMap<session::Name, Misses>,
    /// Recent durable misses, so that a duplicate is not written again.
    recent: BTreeSet<MissId>,
    /// Misses that have not been replicated yet.
    to_gossip: Vec<MissId>,
    /// Peers that hold replicas of waiting misses.
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
            in_flight: None,
            peer_misses: BTreeMap::new(),
            recent: BTreeSet::new(),
            to_gossip: Vec::new(),
            replicas: BTreeSet::new(),
            next_number: 0,
            next_flush: Time::ZERO,
            next_gossip: Time::ZERO,
            settlements: BTreeMap::new(),
        }
    }

    /// Adds a miss, unless it was already added.
    pub(crate) fn add_miss(&mut self, miss: Miss) -> Result<(), QueueFull> {
        let limit = self.settings.max_waiting;
        let in_flight =
            self.in_flight.as_ref().is_some_and(|write| write.misses.contains_key(&miss.id));
        if in_flight || self.recent.contains(&miss.id) || self.waiting.contains_key(&miss.id) {
            return Ok(());
        }
        if self.waiting.len() >= limit {
            return Err(QueueFull { limit });
        }
        self.to_gossip.push(miss.id.clone());
        self.waiting.insert(miss.id.clone(), miss);
        Ok(())
    }

    /// Returns the number of misses added by this instance that are not durable yet.
    pub(crate) fn pending(&self) -> u64 {
        let in_flight = self.in_flight.as_ref().map_or(0, |write| write.misses.len());
        (self.waiting.len() + in_flight) as u64
    }

    /// Returns the misses added by this instance that are not durable yet.
    pub(crate) fn pending_misses(&self) -> Misses {
        let in_flight = self.in_flight.iter().flat_map(|write| &write.misses);
        let all = self.waiting.iter().chain(in_flight);
        all.map(|(id, miss)| (id.clone(), miss.clone())).collect()
    }

    /// Holds replicated misses of a peer.
    pub(crate) fn hold_peer_misses(&mut self, from: session::Name, misses: Misses) {
        let limit = self.settings.max_waiting;
        let held = self.peer_misses.entry(from).or_default();
        let free = limit.saturating_sub(held.len());
        held.extend(misses.into_iter().take(free));
    }

    /// Removes replicated misses of a peer that are now durable.
    pub(crate) fn drop_durable(&mut self, from: &session::Name, misses: &Misses) {
        if let Some(held) = self.peer_misses.get_mut(from) {
            held.retain(|id, _| !misses.contains_key(id));
        }
    }

    pub(crate) fn tick(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        self.adopt_misses(context);
        self.gossip(context, out);
        self.flush(context, out);
        self.expire_settlements(context, out);
        self.tick_compaction(context, out);
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let flush_due = !self.waiting.is_empty() && self.in_flight.is_none();
        let flush = flush_due.then_some(self.next_flush);
        let gossip = (!self.to_gossip.is_empty()).then_some(self.next_gossip);
        let settle = self.settlements.values().map(|settlement| settlement.deadline).min();
        [flush, gossip, settle, self.compaction.next_wake()].into_iter().flatten().min()
    }

    /// Returns the current minute of the wall clock.
    pub(super) fn minute(&self, now: Time) -> Minute {
        Minute(self.settings.start.0 + now.as_ms() / MS_PER_MINUTE)
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        match purpose {
            Purpose::Flush => match response {
                Response::Committed(_) => self.handle_written(context, out),
                _ => self.read_back(out),
            },
            Purpose::ReadBack => self.handle_read_back(response, context, out),
            Purpose::Settle(id) => self.handle_settlement(id, response, out),
            Purpose::Compact => self.handle_compaction(response, context, out),
            Purpose::Delete => {}
        }
    }

    /// Adds the replicated misses of suspected or ended sessions to those of this
    /// instance.
    fn adopt_misses(&mut self, context: &Context<'_>) {
        let gone: Vec<session::Name> = (self.peer_misses.keys())
            .filter(|session| context.members.is_suspect(session))
            .cloned()
            .collect();
        for session in gone {
            let misses = self.peer_misses.remove(&session).unwrap_or_default();
            for miss in misses.into_values() {
                // Misses that exceed the limit stay with the replicas and are tried
                // again.
                if self.add_miss(miss.clone()).is_err() {
                    let held = self.peer_misses.entry(session.clone()).or_default();
                    held.insert(miss.id.clone(), miss);
                }
            }
        }
    }

    fn gossip(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        if self.to_gossip.is_empty() || context.now < self.next_gossip {
            return;
        }
        self.next_gossip = context.now + self.settings.gossip_interval;
        let peers = context.members.watched_peers().take(self.settings.replicas);
        let peers: Vec<InstanceName> = peers.cloned().collect();
        self.replicas.extend(peers.iter().cloned());
        let count = self.to_gossip.len().min(MAX_MISSES_PER_MESSAGE);
        let ids: Vec<MissId> = self.to_gossip.drain(..count).collect();
        let waiting = |id: &MissId| self.waiting.get(id).cloned();
        let misses: Misses = ids.iter().filter_map(|id| Some((id.clone(), waiting(id)?))).collect();
        if misses.is_empty() {
            return;
        }
        for peer in peers {
            out.send(peer, Body::PendingMisses(misses.clone()));
        }
    }

    fn flush(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let Some(write_guard) = &context.write_guard else { return };
        if let Some(in_flight) = &mut self.in_flight {
            if !in_flight.sent && context.store == State::Up {
                in_flight.sent = true;
                out.store(
                    Priority::Penalties,
                    Purpose::Flush,
                    write_request(write_guard, in_flight),
                );
            }
            return;
        }
        if self.waiting.is_empty() || context.now < self.next_flush {
            return;
        }
        let groups = (context.members.group_size() as u64).div_ceil(FLUSH_GROUP);
        self.next_flush = context.now + self.settings.flush_interval.saturating_mul(groups);
        let in_flight = self.next_write(write_guard);
        out.store(Priority::Penalties, Purpose::Flush, write_request(write_guard, &in_flight));
        self.in_flight = Some(in_flight);
    }

    fn next_write(&mut self, write_guard: &WriteGuard) -> InFlightWrite {
        let mut misses = Misses::new();
        while misses.len() < MAX_MISSES_PER_WRITE {
            let Some((id, miss)) = self.waiting.pop_first() else { break };
            misses.insert(id, miss);
        }
        let mut hours: BTreeMap<u64, Misses> = BTreeMap::new();
        for (id, miss) in &misses {
            hours.entry(id.minute.hour()).or_default().insert(id.clone(), miss.clone());
        }
        let mut rows = Vec::new();
        for (hour, misses) in hours {
            self.next_number += 1;
            let key = uncompacted_key(hour, &write_guard.session, self.next_number);
            rows.push((key, encode(&misses)));
        }
        InFlightWrite { misses, rows, sent: true }
    }

    fn handle_written(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let Some(in_flight) = self.in_flight.take() else { return };
        for peer in &self.replicas {
            out.send(peer.clone(), Body::DurableMisses(in_flight.misses.clone()));
        }
        if self.waiting.is_empty() {
            self.replicas.clear();
        }
        self.recent.extend(in_flight.misses.into_keys());
        let minutes = RECENT_RETENTION.as_ms() / MS_PER_MINUTE;
        let oldest = Minute(self.minute(context.now).0.saturating_sub(minutes));
        self.recent.retain(|id| id.minute >= oldest);
    }

    fn read_back(&mut self, out: &mut Outbox<'_>) {
        let first = self.in_flight.as_ref().and_then(|write| write.rows.first());
        if let Some((key, _)) = first {
            let request = Request::Row { key: key.clone() };
            out.store(Priority::Penalties, Purpose::ReadBack, request);
        }
    }

    fn handle_read_back(
        &mut self,
        response: Response,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        let Response::Row(row) = response else { return self.read_back(out) };
        let Some(in_flight) = &mut self.in_flight else { return };
        let written = in_flight
            .rows
            .first()
            .is_some_and(|(_, bytes)| row.as_ref().is_some_and(|row| row.value == *bytes));
        match written {
            true => self.handle_written(context, out),
            // The rows are absent or were already compacted. Writing them again is
            // harmless because duplicates are not counted.
            false => in_flight.sent = false,
        }
    }
}

fn write_request(write_guard: &WriteGuard, in_flight: &InFlightWrite) -> Request {
    let guard = write_guard.check.clone();
    let mut transaction = Transaction::default().check(guard.key, guard.expected);
    for (key, bytes) in &in_flight.rows {
        transaction =
            transaction.check(key.clone(), Expected::Absent).put(key.clone(), bytes.clone());
    }
    Request::Transact(transaction)
}
