//! Load of the other entry instances, and the choice of a peer to forward a call to.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, InstanceName, ServiceName};

use crate::router::{Load, Status};

#[derive(Clone, Debug)]
struct Peer {
    domain: DomainName,
    status: Status,
    last_update: Time,
    /// Unanswered calls that were forwarded after the last reported load, by service.
    unreported: BTreeMap<ServiceName, u32>,
}

impl Peer {
    fn load(&self, service: &ServiceName) -> Option<Load> {
        if self.status.draining {
            return None;
        }
        self.status.services.get(service).copied()
    }

    fn unreported(&self, service: &ServiceName) -> u32 {
        self.unreported.get(service).copied().unwrap_or_default()
    }

    fn free(&self, service: &ServiceName) -> u32 {
        let load = self.load(service).unwrap_or_default();
        if load.waiting > 0 {
            return 0;
        }
        load.free.saturating_sub(self.unreported(service))
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    domain: Option<DomainName>,
    timeout: Span,
    peers: BTreeMap<InstanceName, Peer>,
}

impl Table {
    /// Returns an empty table; a peer that sends no update for `timeout` receives no calls.
    pub(crate) fn new(domain: Option<DomainName>, timeout: Span) -> Self {
        Self { domain, timeout, peers: BTreeMap::new() }
    }

    /// Records a heartbeat of a peer.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Time,
        name: InstanceName,
        domain: DomainName,
        status: Status,
    ) {
        self.peers
            .insert(name, Peer { domain, status, last_update: now, unreported: BTreeMap::new() });
    }

    /// Records the load of one service, which is newer than the last heartbeat.
    pub(crate) fn record_load(
        &mut self,
        now: Time,
        name: &InstanceName,
        service: &ServiceName,
        load: Load,
    ) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.last_update = now;
        peer.unreported.remove(service);
        match peer.status.services.get_mut(service) {
            Some(recorded) => *recorded = load,
            None => drop(peer.status.services.insert(service.clone(), load)),
        }
    }

    pub(crate) fn remove(&mut self, name: &InstanceName) {
        self.peers.remove(name);
    }

    /// Returns the number of peers that are not draining.
    pub(crate) fn len(&self) -> u32 {
        self.peers.values().filter(|peer| !peer.status.draining).count() as u32
    }

    fn is_same_domain(&self, peer: &Peer) -> bool {
        self.domain.is_none() || self.domain.as_ref() == Some(&peer.domain)
    }

    /// Returns the peers whose last update is not older than the timeout.
    fn responsive(&self, now: Time) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.since(peer.last_update) <= self.timeout)
    }

    /// Returns a random peer with a free slot, inside or outside the failure domain of this
    /// instance.
    ///
    /// Peers are weighted by the square of their free slots: the reported load is slightly
    /// out of date, and a peer with many free slots is more likely to still have one.
    pub(crate) fn choose_with_free_slot(
        &self,
        now: Time,
        service: &ServiceName,
        same_domain: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<&InstanceName> {
        let candidates =
            || self.responsive(now).filter(|(_, peer)| self.is_same_domain(peer) == same_domain);
        let weight = |peer: &Peer| u64::from(peer.free(service)).pow(2);
        let total: u64 = candidates().map(|(_, peer)| weight(peer)).sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.u64(0..total);
        for (name, peer) in candidates() {
            let weight = weight(peer);
            if point < weight {
                return Some(name);
            }
            point -= weight;
        }
        None
    }

    /// Returns whether any peer has slots that accept calls, whether free or occupied.
    pub(crate) fn any_usable(&self, now: Time, service: &ServiceName) -> bool {
        let mut loads = self.responsive(now).filter_map(|(_, peer)| peer.load(service));
        loads.any(|load| load.usable > 0)
    }

    /// Returns the peer with the shortest queue relative to its slots, and its number of
    /// waiting calls per slot.
    pub(crate) fn shortest_queue(
        &self,
        now: Time,
        service: &ServiceName,
    ) -> Option<(&InstanceName, f64)> {
        let per_slot = |peer: &Peer| {
            let load = peer.load(service).filter(|load| load.usable > 0)?;
            let ahead = load.waiting + peer.unreported(service) + 1;
            Some(f64::from(ahead.saturating_sub(load.free)) / f64::from(load.usable))
        };
        let lengths = self
            .responsive(now)
            .filter_map(|(name, peer)| per_slot(peer).map(|length| (name, length)));
        lengths.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Records that a call is forwarded to the peer.
    pub(crate) fn record_forward(&mut self, name: &InstanceName, service: &ServiceName) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(unreported) = peer.unreported.get_mut(service) {
            *unreported += 1;
            return;
        }
        peer.unreported.insert(service.clone(), 1);
    }

    /// Records the answer to a forwarded call, whose slot on the peer is free again.
    pub(crate) fn record_answer(&mut self, name: &InstanceName, service: &ServiceName) {
        let unreported = self.peers.get_mut(name).and_then(|peer| peer.unreported.get_mut(service));
        if let Some(unreported) = unreported {
            *unreported = unreported.saturating_sub(1);
        }
    }

    /// Treats all slots of the peer as occupied until it reports its load again.
    pub(crate) fn mark_full(&mut self, name: &InstanceName, service: &ServiceName) {
        let load = self.peers.get_mut(name).and_then(|p| p.status.services.get_mut(service));
        if let Some(load) = load {
            load.free = 0;
        }
    }
}
