//! Faults of processes, and what must hold when all are over.

use super::*;

impl World {
    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    pub(crate) fn resume(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        target.paused = false;
        let outbox = std::mem::take(&mut target.outbox);
        for item in outbox {
            self.happen(item);
        }
        while let Some(event) = self.nodes[node].inbox.pop_front() {
            self.event(node, event);
        }
        self.event(node, Event::Tick);
    }

    /// Ends the process of a node and has its executors and keys taken over.
    pub(crate) fn crash(&mut self, node: usize) {
        let live = self.nodes.iter().filter(|node| node.router.is_some()).count();
        if live < 2 || self.nodes[node].router.is_none() {
            return;
        }
        self.nodes[node].router = None;
        self.nodes[node].paused = false;
        self.nodes[node].inbox.clear();
        self.nodes[node].outbox.clear();
        self.break_calls_from_peers(node);
        for executor in 0..self.sites.len() {
            if self.sites[executor].owner == Some(node) {
                let to = self.any_live();
                let in_progress = InProgress::Unknown;
                self.schedule(Span::from_ms(5), Item::TakeOver { executor, node: to, in_progress });
                self.sites[executor].owner = None;
            }
        }
        for shard in 0..SHARDS {
            if self.key_owner.get(&shard).is_some_and(|(owner, _)| *owner == node) {
                let to = self.any_live();
                self.schedule(Span::from_ms(5), Item::TakeKeys { shard, node: to });
            }
        }
        for other in 0..self.nodes.len() {
            self.event(other, Event::PeerGone { name: instance_name(node) });
        }
    }

    pub(crate) fn break_calls_from_peers(&mut self, node: usize) {
        let origins = std::mem::take(&mut self.nodes[node].origins);
        for origin in origins.into_values() {
            if let Origin::Peer { node, incarnation, call, attempt, .. } = origin {
                let event = Event::PeerAnswered { call, attempt, answer: PeerAnswer::Unknown };
                self.schedule(Span::from_ms(1), Item::Deliver(node, incarnation, event));
            }
        }
    }

    pub(crate) fn restart(&mut self, node: usize) {
        if self.nodes[node].router.is_some() {
            return;
        }
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = self.node(node, incarnation);
        self.introduce(node);
        self.heartbeats();
    }

    pub(crate) fn release(&mut self, executor: usize) {
        if let Some(owner) = self.sites[executor].owner {
            self.event(owner, Event::Released { executor: executor_name(executor) });
        }
    }

    /// Asks a node to leave, unless it is the last one that stays.
    pub(crate) fn drain(&mut self, node: usize) {
        let staying = self.nodes.iter().filter(|node| node.router.is_some() && !node.draining);
        if staying.count() < 2 {
            return;
        }
        self.nodes[node].draining = true;
        self.event(node, Event::Drain);
    }

    /// The process of a node that finished its drain ends.
    pub(crate) fn leave(&mut self, node: usize) {
        let mut unseen = BTreeSet::new();
        for event in &self.nodes[node].inbox {
            if let Event::Arrived(call) = event {
                unseen.insert(call.id);
            }
        }
        for (call, origin) in &self.nodes[node].origins {
            let Origin::Caller(global) = origin else { continue };
            let issued = &self.issued[global];
            let ended = issued.abandoned || !issued.replies.is_empty() || unseen.contains(call);
            assert!(ended, "node {node} left while call {global} was in progress");
        }
        self.finished.insert(node);
        self.note(|| format!("i{node} has finished"));
        self.crash(node);
    }

    pub(crate) fn owner(&self, executor: usize) -> Option<usize> {
        self.sites[executor].owner
    }

    pub(crate) fn move_keys(&mut self, shard: u16, node: usize) {
        if self.nodes[node].router.is_some() {
            self.own_keys(shard, node);
        }
    }

    /// Tells a node that nobody owns any shard of the keys.
    pub(crate) fn lose_key_owner(&mut self, node: usize) {
        for shard in 0..SHARDS {
            self.event(node, Event::KeysMoved { shard: Shard(shard), owner: None });
        }
    }

    /// Ends all faults and lets everything come to an end; checks what must hold then.
    pub(crate) fn settle(&mut self) {
        self.faults = Faults::default();
        for node in 0..self.nodes.len() {
            self.resume(node);
        }
        self.pass(Span::from_secs(3));
        for (global, issued) in &self.issued {
            let alive = self.nodes[issued.node].incarnation == issued.incarnation
                && self.nodes[issued.node].router.is_some();
            if alive && !issued.abandoned {
                assert_eq!(issued.replies.len(), 1, "call {global} got no reply");
            }
        }
        for node in &self.nodes {
            let left = node.router.as_ref().map_or(0, Router::in_progress);
            assert_eq!(left, 0, "calls were left in a router");
        }
    }
}
