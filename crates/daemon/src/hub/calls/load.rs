//! Exchange of load reports with peers.

use std::collections::BTreeMap;

use crossbeam_channel::Sender;
use stakker::{CX, call};
use sycamorerill_calls::router::Event;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::Calls;
use crate::http::Response;
use crate::peer::{self, Hello, Load};

/// Maximum time between two load reports.
const MAX_INTERVAL: Span = Span::from_ms(200);
/// Minimum time between two load reports.
const MIN_INTERVAL: Span = Span::from_ms(10);
/// Time without a load report after which a peer gets no more calls.
const PEER_SILENCE_LIMIT: Span = Span::from_ms(1_000);
/// Timeout of a load report to a peer.
const PEER_TIMEOUT: Span = Span::from_ms(500);

/// Load reports received from peers, and the state of the reports sent to them.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<InstanceName, (Load, Time)>,
    last_sent: Time,
    running_tasks: u32,
}

impl Calls {
    /// Sends the load to all peers unless the last report is newer than [`MIN_INTERVAL`].
    pub(super) fn send_load(&mut self, now: Time) {
        if now.since(self.peer_loads.last_sent) >= MIN_INTERVAL {
            self.send_load_now();
        }
    }

    /// Sends the load to all peers.
    pub(super) fn send_load_now(&mut self) {
        self.peer_loads.last_sent = self.deps.shared.clock.now();
        let load = self.own_load();
        for address in self.peer_addresses.values() {
            self.deps.shared.metrics.message_sent("load");
            let request = peer::Request::Load(load.clone());
            // The next report replaces a lost one.
            self.deps.peers.send(*address, request, PEER_TIMEOUT, |_| {});
        }
    }

    fn own_load(&self) -> Load {
        let running_tasks = self.peer_loads.running_tasks;
        Load { calls: self.deps.router.status(), running_tasks }
    }

    /// Sends the load when a report is due and removes peers that have been silent too long.
    pub(crate) fn refresh_loads(&mut self, cx: CX![]) {
        let now = self.deps.shared.clock.now();
        if now.since(self.peer_loads.last_sent) >= MAX_INTERVAL {
            self.send_load(now);
        }
        let silent = |(name, (_, received)): (&InstanceName, &(Load, Time))| {
            (now.since(*received) > PEER_SILENCE_LIMIT).then(|| name.clone())
        };
        let silent: Vec<_> = self.peer_loads.peers.iter().filter_map(silent).collect();
        for name in silent {
            self.peer_loads.peers.remove(&name);
            self.handle_event(cx, Event::PeerLost { name });
        }
    }

    /// Handles a load report from a peer.
    pub(crate) fn receive_load(&mut self, cx: CX![], from: Hello, load: Load) {
        let now = self.deps.shared.clock.now();
        let status = load.calls.clone();
        self.peer_loads.peers.insert(from.instance.clone(), (load, now));
        self.handle_event(
            cx,
            Event::PeerHeartbeat { name: from.instance, domain: from.domain, status },
        );
    }

    /// Records the number of running tasks in the cells of this instance.
    pub(crate) fn running_tasks(&mut self, _: CX![], running: u32) {
        self.peer_loads.running_tasks = running;
    }

    /// Passes a status request to the control actor with the load of all instances.
    pub(crate) fn status(&mut self, _: CX![], respond: Sender<Response>) {
        let peers = self.peer_loads.peers.iter();
        let mut peer_loads: BTreeMap<_, _> =
            peers.map(|(name, (load, _))| (name.clone(), load.clone())).collect();
        peer_loads.insert(self.deps.hello.instance.clone(), self.own_load());
        call!([self.deps.control], status(peer_loads, respond));
    }
}
