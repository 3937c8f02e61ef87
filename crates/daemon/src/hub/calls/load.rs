//! Tells peers the load here and takes theirs.

use std::collections::BTreeMap;

use crossbeam_channel::Sender;
use stakker::{CX, call};
use sycamorerill_calls::router::Event;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::Calls;
use crate::http::Response;
use crate::peer::{self, Hello, Load};

/// Longest time between two tellings.
const INTERVAL: Span = Span::from_ms(200);
/// Shortest time between two tellings.
const SHORTEST: Span = Span::from_ms(10);
/// Silence after which a peer gets no more calls.
const SILENCE: Span = Span::from_ms(1_000);
/// Longest wait for a peer to take what it is told.
const PEER_TIME: Span = Span::from_ms(500);

/// What is known of the load of peers.
#[derive(Debug, Default)]
pub(super) struct Loads {
    peers: BTreeMap<InstanceName, (Load, Time)>,
    told: Time,
    running_tasks: u32,
}

impl Calls {
    /// Tells all peers the load here, unless that was done just now.
    pub(super) fn announce(&mut self, now: Time) {
        if now.since(self.loads.told) >= SHORTEST {
            self.announce_now();
        }
    }

    /// Tells all peers the load here.
    pub(super) fn announce_now(&mut self) {
        self.loads.told = self.parts.shared.clock.now();
        let load = self.own_load();
        for address in self.members.values() {
            self.parts.shared.metrics.sent("load");
            let request = peer::Request::Load(load.clone());
            // A lost telling is made good by the next one.
            self.parts.peers.send(*address, request, PEER_TIME, |_| {});
        }
    }

    fn own_load(&self) -> Load {
        let running_tasks = self.loads.running_tasks;
        Load { calls: self.parts.router.status(), running_tasks }
    }

    /// Tells peers the load now and then, and forgets those that are silent.
    pub(crate) fn beat(&mut self, cx: CX![]) {
        let now = self.parts.shared.clock.now();
        if now.since(self.loads.told) >= INTERVAL {
            self.announce(now);
        }
        let silent = |(name, (_, heard)): (&InstanceName, &(Load, Time))| {
            (now.since(*heard) > SILENCE).then(|| name.clone())
        };
        let silent: Vec<_> = self.loads.peers.iter().filter_map(silent).collect();
        for name in silent {
            self.loads.peers.remove(&name);
            self.drive(cx, Event::PeerGone { name });
        }
    }

    /// Takes the load of a peer.
    pub(crate) fn heard(&mut self, cx: CX![], from: Hello, load: Load) {
        let now = self.parts.shared.clock.now();
        let status = load.calls.clone();
        self.loads.peers.insert(from.instance.clone(), (load, now));
        self.drive(cx, Event::Peer { name: from.instance, domain: from.domain, status });
    }

    /// Notes how many tasks run in the cells here.
    pub(crate) fn running_tasks(&mut self, _: CX![], running: u32) {
        self.loads.running_tasks = running;
    }

    /// Passes a question for the state of all instances on, with their load.
    pub(crate) fn status(&mut self, _: CX![], respond: Sender<Response>) {
        let peers = self.loads.peers.iter();
        let mut loads: BTreeMap<_, _> =
            peers.map(|(name, (load, _))| (name.clone(), load.clone())).collect();
        loads.insert(self.parts.hello.instance.clone(), self.own_load());
        call!([self.parts.control], status(loads, respond));
    }
}
