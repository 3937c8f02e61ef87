//! Calls that are passed on to other entry instances.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Attempt, CallId, InstanceName, ServiceName};

use super::entry::{Flight, State, Target};
use super::wake::Timer;
use super::{Choice, Command, Decision, Router, Why};

/// Waiting that a peer's queue must save beside the way there, in milliseconds.
const MIN_SAVED_MS: f64 = 5.0;
/// Part of the waiting here that must remain after the waiting there.
const MIN_SAVED_SHARE: f64 = 0.5;
/// Part of the usable slots that must be free for an announcement, as a divisor.
const MIN_FREE_DIVISOR: u32 = 16;
/// Waiting that a queue is taken to cost for each call and slot before it was measured.
const UNKNOWN_MEAN_MS: f64 = 10.0;

impl Router {
    /// Returns the peer to forward a call to, when that is better than to wait here.
    pub(crate) fn peer_for(&mut self, now: Time, id: CallId) -> Option<(InstanceName, Why)> {
        let entry = self.calls.get(&id)?;
        if entry.call.hops >= self.settings.max_hops || entry.attempts >= self.settings.max_attempts
        {
            return None;
        }
        let service = entry.call.service.clone();
        let wait_ms = self.wait_ms(&service);
        if wait_ms > self.settings.near.as_ms_f64()
            && let Some(peer) = self.peers.with_free(now, &service, true, &mut self.rng)
        {
            return Some((peer.clone(), Why::PeerFree));
        }
        if wait_ms > self.settings.far.as_ms_f64()
            && let Some(peer) = self.peers.with_free(now, &service, false, &mut self.rng)
        {
            return Some((peer.clone(), Why::PeerFree));
        }
        self.shorter_peer(now, &service, wait_ms)
    }

    fn shorter_peer(
        &self,
        now: Time,
        service: &ServiceName,
        wait_ms: f64,
    ) -> Option<(InstanceName, Why)> {
        let (peer, per_slot) = self.peers.shortest(now, service)?;
        let there_ms = per_slot * self.known_mean_ms(service) + self.settings.far.as_ms_f64();
        let worthwhile = wait_ms * MIN_SAVED_SHARE > there_ms + MIN_SAVED_MS;
        worthwhile.then(|| (peer.clone(), Why::PeerShorter))
    }

    fn known_mean_ms(&self, service: &ServiceName) -> f64 {
        let mean_ms = self.mean(service).as_ms_f64();
        if mean_ms > 0.0 { mean_ms } else { UNKNOWN_MEAN_MS }
    }

    /// Returns the time that a call put into the queue now would wait.
    fn wait_ms(&self, service: &ServiceName) -> f64 {
        let usable = self.fleet.total(service).usable;
        if usable == 0 {
            return f64::INFINITY;
        }
        let waiting = self.services.get(service).map_or(0, |service| service.queue.len());
        f64::from(waiting + 1) * self.known_mean_ms(service) / f64::from(usable)
    }

    pub(crate) fn forward(
        &mut self,
        now: Time,
        id: CallId,
        peer: InstanceName,
        why: Why,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.attempts += 1;
        entry.open += 1;
        entry.state = State::Sent;
        let attempt = Attempt(entry.attempts);
        let deadline = entry.call.deadline;
        // The peer's answer has to be here in time, so it gets less.
        let deadline_there = deadline - self.settings.far.times(2);
        let hops = entry.call.hops + 1;
        let claimed = entry.call.claimed || entry.keyed;
        let service = entry.call.service.clone();
        let flight = Flight { target: Target::Peer(peer.clone()), sent: now };
        self.flights.insert((id, attempt), flight);
        self.peers.forwarded(&peer, &service);
        self.set_timer(id, deadline, Timer::Deadline(id));
        let choice = Choice::Forward(peer.clone());
        out.push(Command::Forward {
            call: id,
            attempt,
            peer,
            deadline: deadline_there,
            hops,
            claimed,
        });
        out.push(Command::Decision(Decision { call: id, choice, why }));
    }

    /// Tells the peers that slots are free again after all were occupied.
    ///
    /// Between two heartbeats they would go on taking the slots for occupied.
    pub(crate) fn announce_free(&mut self, now: Time, name: &ServiceName, out: &mut Vec<Command>) {
        let total = self.fleet.total(name);
        let Some(service) = self.services.get_mut(name) else { return };
        let due = now.since(service.announced) >= self.settings.announce_interval;
        let worthwhile = total.free * MIN_FREE_DIVISOR > total.usable;
        if service.was_full && due && worthwhile {
            service.was_full = false;
            service.announced = now;
            out.push(Command::Announce);
        }
    }

    /// Forwards waiting calls to peers that have slots free.
    pub(crate) fn forward_waiting(&mut self, now: Time, out: &mut Vec<Command>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.forward_waiting_of(now, &name, out);
        }
    }

    pub(crate) fn forward_waiting_of(
        &mut self,
        now: Time,
        name: &ServiceName,
        out: &mut Vec<Command>,
    ) {
        loop {
            let Some(service) = self.services.get_mut(name) else { return };
            let Some(id) = service.queue.peek(now) else { return };
            let Some((peer, why)) = self.peer_for(now, id) else { return };
            let Some(entry) = self.calls.get(&id) else { return };
            let State::Waiting { flow, seq } = entry.state else { return };
            if let Some(service) = self.services.get_mut(name) {
                service.queue.remove(now, flow, seq);
            }
            self.forward(now, id, peer, why, out);
        }
    }
}
