//! Entry instances that leave, crash and start.

use super::*;

impl Owned {
    pub(crate) fn drain(&mut self, net: &mut Net, node: usize) {
        net.live[node] = false;
        self.nodes[node].draining = true;
        for shard in (0..SHARDS).filter(|shard| usize::from(*shard) % NODES == node) {
            let to = self.poorest(node);
            self.own_keys(net, shard, to);
        }
        self.handle(net, node, Event::Drain);
        if self.nodes[node].up {
            self.announce(net, node);
        }
    }

    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    pub(crate) fn resume(&mut self, net: &mut Net, node: usize) {
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].inbox) {
            self.handle(net, node, event);
        }
        self.handle(net, node, Event::Tick);
    }

    /// The process of a node that finished its drain ends.
    pub(super) fn leave(&mut self, net: &mut Net, node: usize) {
        self.end(net, node);
        self.note(net, node, RESTART_MS, Note::Restart);
    }

    pub(super) fn end(&mut self, net: &mut Net, node: usize) {
        let entry = &mut self.nodes[node];
        entry.up = false;
        entry.life += 1;
        for origin in std::mem::take(&mut entry.origins).into_values() {
            match origin.from {
                None => net.unknown(origin.call),
                Some((to, life, call, attempt)) => {
                    let event = Event::PeerAnswered { call, attempt, answer: PeerAnswer::Unknown };
                    let note = Note::Event(Box::new(event));
                    net.after(delay_ms(node, to), Item::Note { node: to, life, note });
                }
            }
        }
        for other in (0..NODES).filter(|other| *other != node) {
            let name = self.names.instances[node].clone();
            self.handle(net, other, Event::PeerGone { name });
        }
    }

    pub(crate) fn crash(&mut self, net: &mut Net, node: usize) {
        net.live[node] = false;
        self.end(net, node);
        let of_node = |executor: &usize| self.owners[*executor] == Some(node);
        let left: Vec<usize> = (0..EXECUTORS).filter(of_node).collect();
        for executor in left {
            let to = self.poorest(node);
            self.owners[executor] = Some(to);
            let in_progress = InProgress::Unknown;
            self.note(net, to, PROOF_MS, Note::Own { executor, in_progress });
        }
        if net.scenario.fault != Fault::DomainLost {
            self.note(net, node, RESTART_MS, Note::Restart);
        }
    }

    pub(super) fn restart(&mut self, net: &mut Net, node: usize) {
        let life = self.nodes[node].life;
        self.nodes[node] = self.node(net, node, life);
        self.introduce(net, node);
        for other in 0..NODES {
            if self.nodes[other].up {
                self.announce(net, other);
            }
        }
        net.live[node] = true;
        for executor in (0..EXECUTORS).filter(|executor| first_owner(*executor) == node) {
            let Some(owner) = self.owners[executor].filter(|owner| *owner != node) else {
                continue;
            };
            self.wanted[executor] = Some(node);
            let executor = self.names.executors[executor].clone();
            self.handle(net, owner, Event::Released { executor });
        }
    }
}
