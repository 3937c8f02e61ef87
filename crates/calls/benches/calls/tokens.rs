//! Two other ways to share slots: fixed shares with borrowing, and blocks on lease.

use std::collections::VecDeque;

use crate::net::{Net, delay_ms, domain};
use crate::sim::{DEADLINE_MS, EXECUTORS, Item, MEAN_RUN_MS, NODES, SLOTS};

const MAX_QUEUE: usize = 2_000;
/// Time between two heartbeats, and between two looks at idle slots.
const BEAT_MS: f64 = 100.0;
const RETURN_MS: f64 = 20.0;
/// Slots that are leased at a time.
const BLOCK: usize = 2;
/// Bytes of one message about slots.
const MESSAGE_BYTES: u64 = 64;

/// The right to one slot of an executor, and who it goes back to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Token {
    executor: usize,
    lender: usize,
}

/// What entry instances tell each other about slots.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Ask { from: usize },
    Grant { from: usize, tokens: Vec<Token> },
    Return { tokens: Vec<Token> },
    Free { from: usize, free: usize },
}

#[derive(Clone, Debug, Default)]
struct Node {
    free: Vec<Token>,
    waiting: VecDeque<u32>,
    asked: usize,
    hints: [usize; NODES],
}

pub(crate) struct Tokens {
    nodes: Vec<Node>,
    block: usize,
    keep: bool,
    beats: u64,
}

impl Tokens {
    /// One slot of each executor for each entry instance, borrowed call by call.
    pub(crate) fn borrowing(net: &mut Net) -> Self {
        let mut tokens = Self::new(net, 1, false);
        for (lender, node) in tokens.nodes.iter_mut().enumerate() {
            let each = SLOTS as usize / NODES;
            for executor in 0..EXECUTORS {
                node.free.extend(std::iter::repeat_n(Token { executor, lender }, each));
            }
        }
        tokens
    }

    /// All slots of an executor at its owner, leased in blocks and kept while in use.
    pub(crate) fn blocks(net: &mut Net) -> Self {
        let mut tokens = Self::new(net, BLOCK, true);
        for executor in 0..EXECUTORS {
            let near: Vec<usize> =
                (0..NODES).filter(|node| domain(*node) == domain(executor)).collect();
            let lender = near[executor / crate::sim::DOMAINS % near.len()];
            let all = std::iter::repeat_n(Token { executor, lender }, SLOTS as usize);
            tokens.nodes[lender].free.extend(all);
        }
        tokens
    }

    fn new(net: &mut Net, block: usize, keep: bool) -> Self {
        for node in 0..NODES {
            net.after(0.0, Item::Beat { node, life: 0 });
        }
        Self { nodes: vec![Node::default(); NODES], block, keep, beats: 0 }
    }

    pub(crate) fn arrived(&mut self, net: &mut Net, node: usize, call: u32) {
        if self.nodes[node].waiting.len() >= MAX_QUEUE {
            return net.refused(call);
        }
        self.nodes[node].waiting.push_back(call);
        self.dispatch(net, node);
    }

    fn dispatch(&mut self, net: &mut Net, node: usize) {
        let entry = &mut self.nodes[node];
        while !entry.waiting.is_empty() && !entry.free.is_empty() {
            let Some(call) = entry.waiting.pop_front() else { break };
            let waited_ms = net.now_ms - net.calls[call as usize].arrived_ms;
            if waited_ms + MEAN_RUN_MS > DEADLINE_MS {
                net.refused(call);
                continue;
            }
            let place = net.rng.usize(0..entry.free.len());
            let token = entry.free.swap_remove(place);
            net.send(node, 0, token.executor, call, token.lender as u64);
        }
        self.ask(net, node);
    }

    fn ask(&mut self, net: &mut Net, node: usize) {
        let entry = &mut self.nodes[node];
        while entry.waiting.len() > entry.asked * self.block {
            let best = (0..NODES).filter(|other| *other != node && entry.hints[*other] > 0);
            let Some(other) = best.max_by_key(|other| entry.hints[*other]) else { return };
            entry.hints[other] = entry.hints[other].saturating_sub(self.block);
            entry.asked += 1;
            send(net, node, other, Message::Ask { from: node });
        }
    }

    pub(crate) fn noted(&mut self, net: &mut Net, node: usize, message: Message) {
        match message {
            Message::Ask { from } => {
                let tokens = self.lend(node);
                send(net, node, from, Message::Grant { from: node, tokens });
            }
            Message::Grant { from, tokens } => {
                let entry = &mut self.nodes[node];
                entry.asked -= 1;
                if tokens.is_empty() {
                    entry.hints[from] = 0;
                }
                entry.free.extend(tokens);
                self.dispatch(net, node);
                if !self.keep {
                    self.give_back(net, node);
                }
            }
            Message::Return { tokens } => {
                self.nodes[node].free.extend(tokens);
                self.dispatch(net, node);
            }
            Message::Free { from, free } => {
                self.nodes[node].hints[from] = free;
                self.ask(net, node);
            }
        }
    }

    fn lend(&mut self, node: usize) -> Vec<Token> {
        let block = self.block;
        let entry = &mut self.nodes[node];
        let mut lent = Vec::new();
        while lent.len() < block && entry.waiting.is_empty() {
            let Some(place) = entry.free.iter().position(|token| token.lender == node) else {
                break;
            };
            lent.push(entry.free.swap_remove(place));
        }
        lent
    }

    /// Returns idle slots to their lenders.
    fn give_back(&mut self, net: &mut Net, node: usize) {
        if !self.nodes[node].waiting.is_empty() {
            return;
        }
        for lender in (0..NODES).filter(|lender| *lender != node) {
            let free = &mut self.nodes[node].free;
            let tokens: Vec<Token> = free.extract_if(.., |token| token.lender == lender).collect();
            if !tokens.is_empty() {
                send(net, node, lender, Message::Return { tokens });
            }
        }
    }

    pub(crate) fn answered(
        &mut self,
        net: &mut Net,
        node: usize,
        executor: usize,
        call: u32,
        lender: u64,
    ) {
        net.answered(call);
        let token = Token { executor, lender: lender as usize };
        self.nodes[node].free.push(token);
        self.dispatch(net, node);
        if !self.keep {
            self.give_back(net, node);
        }
    }

    pub(crate) fn beat(&mut self, net: &mut Net, node: usize) {
        self.beats += 1;
        if self.keep {
            self.give_back(net, node);
        }
        let period = if self.keep { RETURN_MS } else { BEAT_MS };
        let round = self.beats / NODES as u64;
        if round.is_multiple_of((BEAT_MS / period) as u64) {
            let own = self.nodes[node].free.iter().filter(|token| token.lender == node);
            let free = if self.nodes[node].waiting.is_empty() { own.count() } else { 0 };
            for other in (0..NODES).filter(|other| *other != node) {
                send(net, node, other, Message::Free { from: node, free });
            }
        }
        if net.now_ms < net.end_ms() {
            net.after(period, Item::Beat { node, life: 0 });
        }
    }
}

fn send(net: &mut Net, from: usize, to: usize, message: Message) {
    net.message(1, MESSAGE_BYTES);
    net.after(delay_ms(from, to), Item::Message { node: to, message });
}
