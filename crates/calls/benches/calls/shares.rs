//! Baselines: each entry instance has a fixed share of each executor's slots.

use std::collections::VecDeque;

use crate::net::Net;
use crate::scenario::Fault;
use crate::sim::{DEADLINE_MS, EXECUTORS, Item, MEAN_RUN_MS, NODES, Reach, SLOTS};

/// Slots of each executor that one entry instance may use.
const SHARE: u32 = SLOTS / NODES as u32;
const MAX_QUEUE: usize = 2_000;
/// Time until a lost entry instance is replaced.
const RESTART_MS: f64 = 2_000.0;

/// How an executor is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    Random,
    RoundRobin,
    Least,
}

#[derive(Clone, Debug)]
struct Node {
    used: Vec<u32>,
    /// One queue for each executor, or just the first one for all.
    queues: Vec<VecDeque<u32>>,
    waiting: usize,
    next: usize,
    life: u32,
    sent: Vec<u32>,
}

pub(crate) struct Shares {
    pick: Pick,
    nodes: Vec<Node>,
}

impl Shares {
    pub(crate) fn new(pick: Pick) -> Self {
        let node = Node {
            used: vec![0; EXECUTORS],
            queues: vec![VecDeque::new(); EXECUTORS],
            waiting: 0,
            next: 0,
            life: 0,
            sent: Vec::new(),
        };
        Self { pick, nodes: vec![node; NODES] }
    }

    pub(crate) fn arrived(&mut self, net: &mut Net, node: usize, call: u32) {
        let entry = &mut self.nodes[node];
        if entry.waiting >= MAX_QUEUE {
            return net.refused(call);
        }
        let queue = match self.pick {
            Pick::Random => net.rng.usize(0..EXECUTORS),
            Pick::RoundRobin => entry.next,
            Pick::Least => 0,
        };
        entry.next = (entry.next + 1) % EXECUTORS;
        entry.queues[queue].push_back(call);
        entry.waiting += 1;
        self.dispatch(net, node, queue);
    }

    fn dispatch(&mut self, net: &mut Net, node: usize, queue: usize) {
        while let Some(executor) = self.free(net, node, queue) {
            let entry = &mut self.nodes[node];
            let Some(call) = entry.queues[queue].pop_front() else { return };
            entry.waiting -= 1;
            let waited_ms = net.now_ms - net.calls[call as usize].arrived_ms;
            if waited_ms + MEAN_RUN_MS > DEADLINE_MS {
                net.refused(call);
                continue;
            }
            entry.used[executor] += 1;
            entry.sent.push(call);
            net.send(node, entry.life, executor, call, 0);
        }
    }

    fn free(&self, net: &mut Net, node: usize, queue: usize) -> Option<usize> {
        let used = &self.nodes[node].used;
        if self.pick != Pick::Least {
            return (used[queue] < SHARE).then_some(queue);
        }
        let least = used.iter().copied().min().filter(|used| *used < SHARE)?;
        let count = used.iter().filter(|used| **used == least).count();
        let chosen = net.rng.usize(0..count);
        let mut of_least = (0..EXECUTORS).filter(|executor| used[*executor] == least);
        of_least.nth(chosen)
    }

    pub(crate) fn answered(
        &mut self,
        net: &mut Net,
        node: usize,
        life: u32,
        executor: usize,
        call: u32,
        answer: Reach,
    ) {
        if self.nodes[node].life != life {
            return;
        }
        match answer {
            Reach::Whole => net.answered(call),
            Reach::NotSent => net.refused(call),
            Reach::Silent => net.unknown(call),
        }
        let entry = &mut self.nodes[node];
        entry.used[executor] -= 1;
        if let Some(place) = entry.sent.iter().position(|sent| *sent == call) {
            entry.sent.swap_remove(place);
        }
        let queue = if self.pick == Pick::Least { 0 } else { executor };
        self.dispatch(net, node, queue);
    }

    pub(crate) fn crash(&mut self, net: &mut Net, node: usize) {
        let entry = &mut self.nodes[node];
        let waiting = entry.queues.iter_mut().flat_map(std::mem::take);
        for call in waiting.chain(std::mem::take(&mut entry.sent)) {
            net.unknown(call);
        }
        entry.life += 1;
        entry.waiting = 0;
        entry.used = vec![0; EXECUTORS];
        if net.scenario.fault != Fault::DomainLost {
            net.after(RESTART_MS, Item::Wake { node, life: entry.life });
        }
    }

    pub(crate) fn restart(&mut self, net: &mut Net, node: usize) {
        net.live[node] = true;
    }
}
