//! The other entry instances and where a call may be forwarded to.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, InstanceName, ServiceName};

use crate::router::{Load, Status};

#[derive(Clone, Debug)]
struct Peer {
    domain: DomainName,
    status: Status,
    heard: Time,
    /// Calls forwarded since the last heartbeat and not answered, by service.
    sent: BTreeMap<ServiceName, u32>,
}

impl Peer {
    fn load(&self, service: &ServiceName) -> Option<Load> {
        if self.status.draining {
            return None;
        }
        self.status.services.get(service).copied()
    }

    fn sent(&self, service: &ServiceName) -> u32 {
        self.sent.get(service).copied().unwrap_or_default()
    }

    fn free(&self, service: &ServiceName) -> u32 {
        let load = self.load(service).unwrap_or_default();
        if load.waiting > 0 {
            return 0;
        }
        load.free.saturating_sub(self.sent(service))
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    domain: Option<DomainName>,
    silence: Span,
    peers: BTreeMap<InstanceName, Peer>,
}

impl Table {
    /// Returns an empty table; peers not heard of for `silence` get no calls.
    pub(crate) fn new(domain: Option<DomainName>, silence: Span) -> Self {
        Self { domain, silence, peers: BTreeMap::new() }
    }

    /// Takes a heartbeat in.
    pub(crate) fn heard(
        &mut self,
        now: Time,
        name: InstanceName,
        domain: DomainName,
        status: Status,
    ) {
        self.peers.insert(name, Peer { domain, status, heard: now, sent: BTreeMap::new() });
    }

    /// Takes the load of one service in, which is newer than the last heartbeat.
    pub(crate) fn told(
        &mut self,
        now: Time,
        name: &InstanceName,
        service: &ServiceName,
        load: Load,
    ) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.heard = now;
        peer.sent.remove(service);
        match peer.status.services.get_mut(service) {
            Some(known) => *known = load,
            None => drop(peer.status.services.insert(service.clone(), load)),
        }
    }

    pub(crate) fn gone(&mut self, name: &InstanceName) {
        self.peers.remove(name);
    }

    /// Returns the number of peers that are not about to leave.
    pub(crate) fn len(&self) -> u32 {
        self.peers.values().filter(|peer| !peer.status.draining).count() as u32
    }

    fn is_near(&self, peer: &Peer) -> bool {
        self.domain.is_none() || self.domain.as_ref() == Some(&peer.domain)
    }

    /// Returns the peers that were heard of a short time ago.
    fn speaking(&self, now: Time) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.since(peer.heard) <= self.silence)
    }

    /// Returns a peer with a free slot, at random by the square of the number of its free
    /// slots: what is known is a little old, and many free slots last longer.
    pub(crate) fn with_free(
        &self,
        now: Time,
        service: &ServiceName,
        near: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<&InstanceName> {
        let of_kind = || self.speaking(now).filter(|(_, peer)| self.is_near(peer) == near);
        let weight = |peer: &Peer| u64::from(peer.free(service)).pow(2);
        let total: u64 = of_kind().map(|(_, peer)| weight(peer)).sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.u64(0..total);
        for (name, peer) in of_kind() {
            let weight = weight(peer);
            if point < weight {
                return Some(name);
            }
            point -= weight;
        }
        None
    }

    /// Reports whether any peer has slots that take calls, free or not.
    pub(crate) fn any_usable(&self, now: Time, service: &ServiceName) -> bool {
        let mut loads = self.speaking(now).filter_map(|(_, peer)| peer.load(service));
        loads.any(|load| load.usable > 0)
    }

    /// Returns the peer with the shortest queue for its slots, and the calls per slot there.
    pub(crate) fn shortest(
        &self,
        now: Time,
        service: &ServiceName,
    ) -> Option<(&InstanceName, f64)> {
        let per_slot = |peer: &Peer| {
            let load = peer.load(service).filter(|load| load.usable > 0)?;
            let ahead = load.waiting + peer.sent(service) + 1;
            Some(f64::from(ahead.saturating_sub(load.free)) / f64::from(load.usable))
        };
        let lengths = self
            .speaking(now)
            .filter_map(|(name, peer)| per_slot(peer).map(|length| (name, length)));
        lengths.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Counts a call that is forwarded.
    pub(crate) fn forwarded(&mut self, name: &InstanceName, service: &ServiceName) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(sent) = peer.sent.get_mut(service) {
            *sent += 1;
            return;
        }
        peer.sent.insert(service.clone(), 1);
    }

    /// Counts the answer to a forwarded call, which freed a slot there.
    pub(crate) fn answered(&mut self, name: &InstanceName, service: &ServiceName) {
        let sent = self.peers.get_mut(name).and_then(|peer| peer.sent.get_mut(service));
        if let Some(sent) = sent {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Takes the slots of the peer for occupied until its next heartbeat.
    pub(crate) fn full(&mut self, name: &InstanceName, service: &ServiceName) {
        let load = self.peers.get_mut(name).and_then(|p| p.status.services.get_mut(service));
        if let Some(load) = load {
            load.free = 0;
        }
    }
}
