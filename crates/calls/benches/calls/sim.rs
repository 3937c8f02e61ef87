//! One run of a scenario under a policy.

use serde_json::Value;
use sycamorerill_core::model::Urgency;

use crate::net::{Net, domain};
use crate::owned::{Note, Owned};
use crate::scenario::{Fault, Scenario};
use crate::shares::{Pick, Shares};
use crate::tokens::{Message, Tokens};

pub(crate) const NODES: usize = 8;
pub(crate) const EXECUTORS: usize = 50;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const DOMAINS: usize = 3;
pub(crate) const DEADLINE_MS: f64 = 250.0;
pub(crate) const LONGEST_RUN_MS: f64 = 500.0;
pub(crate) const MEAN_RUN_MS: f64 = 20.0;
pub(crate) const NEAR_MS: f64 = 0.1;
pub(crate) const FAR_MS: f64 = 1.5;
/// Team that floods.
pub(crate) const FLOOD_TEAM: usize = 4;
/// Entry instance that is paused where that is measured, how long, and when it is seen.
const PAUSED_NODE: usize = 1;
const PAUSE_MS: f64 = 3_000.0;
const PAUSE_SEEN_MS: f64 = 500.0;
/// Part of the calls that may be hedged where hedging is measured.
const HEDGE_BUDGET: f64 = 0.05;

/// Way to share slots and to choose among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    Owned,
    /// As owned, with second attempts beside late ones.
    Hedged,
    Random,
    RoundRobin,
    Least,
    Borrow,
    Blocks,
}

impl Policy {
    pub(crate) const ALL: [Self; 7] = [
        Self::Owned,
        Self::Hedged,
        Self::Random,
        Self::RoundRobin,
        Self::Least,
        Self::Borrow,
        Self::Blocks,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Owned => "owned",
            Self::Hedged => "owned-hedged",
            Self::Random => "shares-random",
            Self::RoundRobin => "shares-round-robin",
            Self::Least => "shares-least-outstanding",
            Self::Borrow => "shares-borrowing",
            Self::Blocks => "leased-blocks",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) team: usize,
    pub(crate) urgency: Urgency,
    pub(crate) flood: bool,
    pub(crate) keyed: bool,
    pub(crate) arrived_ms: f64,
    pub(crate) run_ms: f64,
    pub(crate) measured: bool,
    pub(crate) ended: bool,
    pub(crate) runs: u32,
}

/// What reaches a node, an executor or the run itself.
#[derive(Clone, Debug)]
pub(crate) enum Item {
    Arrival { flood: bool },
    Begin { node: usize, life: u32, executor: usize, call: u32, tag: u64 },
    End { node: usize, life: u32, executor: usize, call: u32, tag: u64 },
    Answer { node: usize, life: u32, executor: usize, call: u32, tag: u64, answer: Reach },
    Note { node: usize, life: u32, note: Note },
    Message { node: usize, message: Message },
    Wake { node: usize, life: u32 },
    Beat { node: usize, life: u32 },
    Fault { step: u32 },
}

/// How a request to an executor ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Whole,
    NotSent,
    Silent,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Executor {
    pub(crate) running: u32,
    pub(crate) lost: bool,
    pub(crate) slow: bool,
}

enum Nodes {
    Owned(Box<Owned>),
    Shares(Shares),
    Tokens(Tokens),
}

pub(crate) struct Sim {
    net: Net,
    nodes: Nodes,
    policy: Policy,
    seed: u64,
}

impl Sim {
    pub(crate) fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut net = Net::new(scenario, seed);
        let nodes = match policy {
            Policy::Owned => Nodes::Owned(Box::new(Owned::new(&mut net, 0.0))),
            Policy::Hedged => Nodes::Owned(Box::new(Owned::new(&mut net, HEDGE_BUDGET))),
            Policy::Random => Nodes::Shares(Shares::new(Pick::Random)),
            Policy::RoundRobin => Nodes::Shares(Shares::new(Pick::RoundRobin)),
            Policy::Least => Nodes::Shares(Shares::new(Pick::Least)),
            Policy::Borrow => Nodes::Tokens(Tokens::borrowing(&mut net)),
            Policy::Blocks => Nodes::Tokens(Tokens::blocks(&mut net)),
        };
        Self { net, nodes, policy, seed }
    }

    pub(crate) fn run(mut self) -> Value {
        self.net.after(0.0, Item::Arrival { flood: false });
        let start_ms = self.net.scenario.warm_up_ms;
        match self.net.scenario.fault {
            Fault::Flood(_) | Fault::OwnFlood(_) => {
                self.net.after(start_ms, Item::Arrival { flood: true });
            }
            Fault::SlowExecutor => self.net.executors[7].slow = true,
            Fault::DomainLost | Fault::Replaced | Fault::Paused => {
                self.net.after(start_ms + 1_000.0, Item::Fault { step: 0 });
            }
            Fault::None | Fault::StoreDown | Fault::Keys => {}
        }
        let last_ms = self.net.end_ms() + 2_000.0;
        while let Some(item) = self.net.next() {
            if self.net.now_ms > last_ms {
                break;
            }
            self.step(item);
        }
        let seconds = self.net.scenario.measured_ms / 1_000.0;
        self.net.tally.line(self.net.scenario.name, self.policy.as_str(), self.seed, seconds)
    }

    fn step(&mut self, item: Item) {
        let net = &mut self.net;
        match item {
            Item::Arrival { flood } => {
                let call = net.arrival(flood);
                let node = net.balance();
                match &mut self.nodes {
                    Nodes::Owned(nodes) => nodes.arrived(net, node, call),
                    Nodes::Shares(nodes) => nodes.arrived(net, node, call),
                    Nodes::Tokens(nodes) => nodes.arrived(net, node, call),
                }
            }
            Item::Begin { node, life, executor, call, tag } => {
                net.begin(node, life, executor, call, tag);
            }
            Item::End { node, life, executor, call, tag } => {
                net.end(node, life, executor, call, tag);
            }
            Item::Answer { node, life, executor, call, tag, answer } => {
                net.busy -= 1;
                match &mut self.nodes {
                    Nodes::Owned(nodes) => nodes.answered(net, node, life, call, tag, answer),
                    Nodes::Shares(nodes) => nodes.answered(net, node, life, executor, call, answer),
                    Nodes::Tokens(nodes) => nodes.answered(net, node, executor, call, tag),
                }
            }
            Item::Note { node, life, note } => {
                if let Nodes::Owned(nodes) = &mut self.nodes {
                    nodes.noted(net, node, life, note);
                }
            }
            Item::Message { node, message } => {
                if let Nodes::Tokens(nodes) = &mut self.nodes {
                    nodes.noted(net, node, message);
                }
            }
            Item::Wake { node, life } => match &mut self.nodes {
                Nodes::Owned(nodes) => nodes.woken(net, node, life),
                Nodes::Shares(nodes) => nodes.restart(net, node),
                Nodes::Tokens(_) => {}
            },
            Item::Beat { node, life } => match &mut self.nodes {
                Nodes::Owned(nodes) => nodes.beat(net, node, life),
                Nodes::Tokens(nodes) => nodes.beat(net, node),
                Nodes::Shares(_) => {}
            },
            Item::Fault { step } => self.fault(step),
        }
    }

    fn pause(&mut self, step: u32) {
        let net = &mut self.net;
        let Nodes::Owned(nodes) = &mut self.nodes else { return };
        match step {
            0 => nodes.pause(PAUSED_NODE),
            1 => net.live[PAUSED_NODE] = false,
            _ => {
                nodes.resume(net, PAUSED_NODE);
                net.live[PAUSED_NODE] = true;
                return;
            }
        }
        let next_ms = if step == 0 { PAUSE_SEEN_MS } else { PAUSE_MS - PAUSE_SEEN_MS };
        net.after(next_ms, Item::Fault { step: step + 1 });
    }

    fn fault(&mut self, step: u32) {
        if self.net.scenario.fault == Fault::Paused {
            return self.pause(step);
        }
        let net = &mut self.net;
        if net.scenario.fault == Fault::DomainLost {
            for executor in (0..EXECUTORS).filter(|executor| domain(*executor) == 0) {
                net.executors[executor].lost = true;
            }
            for node in (0..NODES).filter(|node| domain(*node) == 0) {
                net.live[node] = false;
                match &mut self.nodes {
                    Nodes::Owned(nodes) => nodes.crash(net, node),
                    Nodes::Shares(nodes) => nodes.crash(net, node),
                    Nodes::Tokens(_) => {}
                }
            }
            return;
        }
        let node = step as usize % NODES;
        if step.is_multiple_of(2) {
            match &mut self.nodes {
                Nodes::Owned(nodes) => nodes.drain(net, node),
                Nodes::Shares(_) => {}
                Nodes::Tokens(_) => {}
            }
        } else {
            net.live[node] = false;
            match &mut self.nodes {
                Nodes::Owned(nodes) => nodes.crash(net, node),
                Nodes::Shares(nodes) => nodes.crash(net, node),
                Nodes::Tokens(_) => {}
            }
        }
        net.after(10_000.0, Item::Fault { step: step + 1 });
    }
}
