//! Forwarding of calls to other entry instances.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Attempt, CallId, InstanceName, ServiceName};

use super::entry::{Request, State, Target};
use super::timer::Timer;
use super::{Cause, Choice, Command, Decision, Router};

/// Minimum difference, in milliseconds, between the largest wait at a peer that
/// [`MAX_REMOTE_WAIT_SHARE`] allows and the actual one.
const MIN_WAIT_SAVED_MS: f64 = 5.0;
/// Largest wait at a peer, network delay included, as a share of the local wait.
const MAX_REMOTE_WAIT_SHARE: f64 = 0.5;
/// Free slots are announced only if more than one in this many usable slots is free.
const MIN_FREE_DIVISOR: u32 = 16;
/// Mean latency of a service without measurements, in milliseconds.
const DEFAULT_MEAN_MS: f64 = 10.0;

impl Router {
    /// Returns the peer to forward a call to, if that is better than waiting at this instance.
    pub(crate) fn choose_peer(&mut self, now: Time, id: CallId) -> Option<(InstanceName, Cause)> {
        let entry = self.calls.get(&id)?;
        if entry.call.hops >= self.settings.max_hops || entry.attempts >= self.settings.max_attempts
        {
            return None;
        }
        let service = entry.call.service.clone();
        let wait_ms = self.wait_ms(&service);
        if wait_ms > self.settings.same_domain_delay.as_ms_f64()
            && let Some(peer) = self.peers.choose_with_free_slot(now, &service, true, &mut self.rng)
        {
            return Some((peer.clone(), Cause::PeerFree));
        }
        if wait_ms > self.settings.cross_domain_delay.as_ms_f64()
            && let Some(peer) =
                self.peers.choose_with_free_slot(now, &service, false, &mut self.rng)
        {
            return Some((peer.clone(), Cause::PeerFree));
        }
        self.choose_shorter_queue(now, &service, wait_ms)
    }

    /// Returns the peer with the shortest queue, if forwarding to it saves enough time.
    fn choose_shorter_queue(
        &self,
        now: Time,
        service: &ServiceName,
        wait_ms: f64,
    ) -> Option<(InstanceName, Cause)> {
        let (peer, per_slot) = self.peers.shortest_queue(now, service)?;
        let remote_ms = per_slot * self.mean_or_default_ms(service)
            + self.settings.cross_domain_delay.as_ms_f64();
        let worthwhile = wait_ms * MAX_REMOTE_WAIT_SHARE > remote_ms + MIN_WAIT_SAVED_MS;
        worthwhile.then(|| (peer.clone(), Cause::PeerShorter))
    }

    fn mean_or_default_ms(&self, service: &ServiceName) -> f64 {
        let mean_ms = self.mean(service).as_ms_f64();
        if mean_ms > 0.0 { mean_ms } else { DEFAULT_MEAN_MS }
    }

    /// Returns the estimated wait of a call that is queued now, in milliseconds.
    fn wait_ms(&self, service: &ServiceName) -> f64 {
        let usable = self.fleet.total(service).usable;
        if usable == 0 {
            return f64::INFINITY;
        }
        let waiting = self.services.get(service).map_or(0, |service| service.queue.len());
        f64::from(waiting + 1) * self.mean_or_default_ms(service) / f64::from(usable)
    }

    pub(crate) fn forward(
        &mut self,
        now: Time,
        id: CallId,
        peer: InstanceName,
        cause: Cause,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.attempts += 1;
        entry.in_flight += 1;
        entry.state = State::Sent;
        let attempt = Attempt(entry.attempts);
        let deadline = entry.call.deadline;
        // Leaves time for the round trip, so that the answer arrives before the deadline.
        let peer_deadline = deadline - self.settings.cross_domain_delay.saturating_mul(2);
        let hops = entry.call.hops + 1;
        let key_recorded = entry.call.key_recorded || entry.holds_key;
        let service = entry.call.service.clone();
        let request = Request { target: Target::Peer(peer.clone()), sent: now };
        self.requests.insert((id, attempt), request);
        self.peers.record_forward(&peer, &service);
        self.set_timer(id, deadline, Timer::Deadline(id));
        let choice = Choice::Forward(peer.clone());
        out.push(Command::Forward {
            call: id,
            attempt,
            peer,
            deadline: peer_deadline,
            hops,
            key_recorded,
        });
        out.push(Command::Decision(Decision { call: id, choice, cause }));
    }

    /// Announces to the peers that slots are free again after all were occupied.
    ///
    /// Without the announcement, the peers would treat the slots as occupied until the next
    /// heartbeat.
    pub(crate) fn announce_free(&mut self, now: Time, name: &ServiceName, out: &mut Vec<Command>) {
        let total = self.fleet.total(name);
        let Some(service) = self.services.get_mut(name) else { return };
        let due = now.since(service.last_announcement) >= self.settings.announce_interval;
        let worthwhile = total.free * MIN_FREE_DIVISOR > total.usable;
        if service.was_full && due && worthwhile {
            service.was_full = false;
            service.last_announcement = now;
            out.push(Command::Announce);
        }
    }

    /// Forwards queued calls of all services to peers that would serve them sooner.
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
            let Some((peer, cause)) = self.choose_peer(now, id) else { return };
            let Some(entry) = self.calls.get(&id) else { return };
            let State::Queued { flow, seq } = entry.state else { return };
            if let Some(service) = self.services.get_mut(name) {
                service.queue.remove(now, flow, seq);
            }
            self.forward(now, id, peer, cause, out);
        }
    }
}
