//! Virtual time: callers, executors and the ways between them.

use std::collections::BTreeMap;

use serde_json::Value;
use sycamorerill_core::model::Urgency;

use crate::owned::{Note, Owned};
use crate::scenario::{Fault, Scenario};
use crate::shares::{Pick, Shares};
use crate::tally::Tally;
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
/// Spread of run times: the standard deviation of their logarithm.
const RUN_SIGMA: f64 = 0.6;
/// Time after which a connection that cannot be opened is given up.
const CONNECT_TIMEOUT_MS: f64 = 50.0;
/// Part of the calls that each of the ordinary teams offers.
const TEAM_PARTS: [f64; 4] = [0.4, 0.3, 0.2, 0.1];
/// Part of the calls of each urgency, least urgent first.
const URGENCY_PARTS: [f64; 4] = [0.2, 0.4, 0.2, 0.2];
/// Team that floods.
pub(crate) const FLOOD_TEAM: usize = 4;
const FLOOD_FACTOR: f64 = 10.0;
const SLOW_FACTOR: f64 = 10.0;
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
    slow: bool,
}

/// Everything but the nodes.
pub(crate) struct Net {
    pub(crate) now_ms: f64,
    items: BTreeMap<(u64, u64), Item>,
    serial: u64,
    pub(crate) rng: fastrand::Rng,
    work: fastrand::Rng,
    pub(crate) executors: Vec<Executor>,
    pub(crate) calls: Vec<Call>,
    pub(crate) tally: Tally,
    pub(crate) scenario: Scenario,
    pub(crate) live: [bool; NODES],
    /// Requests that were sent and whose end was not yet learned.
    pub(crate) busy: u32,
}

pub(crate) fn domain(index: usize) -> usize {
    index % DOMAINS
}

pub(crate) fn delay_ms(from: usize, to: usize) -> f64 {
    if domain(from) == domain(to) { NEAR_MS } else { FAR_MS }
}

impl Net {
    pub(crate) fn after(&mut self, ms: f64, item: Item) {
        self.serial += 1;
        let at_us = ((self.now_ms + ms) * 1_000.0).round() as u64;
        self.items.insert((at_us, self.serial), item);
    }

    fn next(&mut self) -> Option<Item> {
        let ((at_us, _), item) = self.items.pop_first()?;
        self.now_ms = at_us as f64 / 1_000.0;
        Some(item)
    }

    pub(crate) fn end_ms(&self) -> f64 {
        self.scenario.warm_up_ms + self.scenario.measured_ms
    }

    pub(crate) fn is_measured(&self) -> bool {
        self.now_ms >= self.scenario.warm_up_ms
    }

    /// Sends a request to an executor.
    pub(crate) fn send(&mut self, node: usize, life: u32, executor: usize, call: u32, tag: u64) {
        let way = delay_ms(node, executor);
        self.busy += 1;
        if self.executors[executor].lost {
            let answer = Reach::NotSent;
            let item = Item::Answer { node, life, executor, call, tag, answer };
            return self.after(CONNECT_TIMEOUT_MS, item);
        }
        self.after(way, Item::Begin { node, life, executor, call, tag });
    }

    fn begin(&mut self, node: usize, life: u32, executor: usize, call: u32, tag: u64) {
        let site = &mut self.executors[executor];
        site.running += 1;
        let over = site.running > SLOTS;
        // A further attempt draws anew, so that hedging is judged at its best.
        let run_ms = match self.calls[call as usize].runs {
            0 => self.calls[call as usize].run_ms,
            _ => run_ms(&mut self.rng),
        };
        let run_ms = run_ms * if site.slow { SLOW_FACTOR } else { 1.0 };
        self.tally.overcommits += u64::from(over);
        let entry = &mut self.calls[call as usize];
        entry.runs += 1;
        if entry.runs > 1 && entry.keyed {
            self.tally.ran_twice += 1;
        }
        if entry.measured && entry.runs == 1 {
            self.tally.wait(self.now_ms - entry.arrived_ms, entry.flood);
        }
        let run_ms = run_ms.min(LONGEST_RUN_MS);
        self.after(run_ms, Item::End { node, life, executor, call, tag });
    }

    fn end(&mut self, node: usize, life: u32, executor: usize, call: u32, tag: u64) {
        self.executors[executor].running -= 1;
        let lost = self.executors[executor].lost;
        let answer = if lost { Reach::Silent } else { Reach::Whole };
        let way = if lost { LONGEST_RUN_MS } else { delay_ms(node, executor) };
        self.after(way, Item::Answer { node, life, executor, call, tag, answer });
    }

    /// The caller of a call is told the answer.
    pub(crate) fn answered(&mut self, call: u32) {
        let entry = &mut self.calls[call as usize];
        if std::mem::replace(&mut entry.ended, true) {
            return;
        }
        let ms = self.now_ms - entry.arrived_ms;
        let in_time = ms <= DEADLINE_MS;
        self.tally.answer(entry.urgency, entry.flood, entry.measured, ms, in_time);
    }

    /// The caller of a call is told that it did not run for want of capacity.
    pub(crate) fn refused(&mut self, call: u32) {
        let idle = self.is_idle();
        self.refuse(call, idle);
    }

    /// The caller of a call is told that it did not run because of its key.
    pub(crate) fn refused_key(&mut self, call: u32) {
        self.refuse(call, false);
    }

    fn refuse(&mut self, call: u32, idle: bool) {
        let entry = &mut self.calls[call as usize];
        if std::mem::replace(&mut entry.ended, true) || !entry.measured {
            return;
        }
        if entry.keyed {
            self.tally.key_refusal(self.now_ms - entry.arrived_ms);
        }
        self.tally.refused += 1;
        self.tally.refused_idle += u64::from(idle);
    }

    pub(crate) fn unknown(&mut self, call: u32) {
        let entry = &mut self.calls[call as usize];
        if !std::mem::replace(&mut entry.ended, true) && entry.measured {
            self.tally.unknown += 1;
        }
    }

    /// Reports whether a slot of an executor that was not lost stands idle.
    pub(crate) fn is_idle(&self) -> bool {
        let live = self.executors.iter().filter(|executor| !executor.lost).count() as u32;
        self.busy < live * SLOTS
    }

    /// Counts messages between entry instances while measuring.
    pub(crate) fn message(&mut self, messages: u64, bytes: u64) {
        if self.is_measured() {
            self.tally.message(messages, bytes);
        }
    }

    fn arrival(&mut self, flood: bool) -> u32 {
        let capacity = (EXECUTORS as u32 * SLOTS) as f64 / MEAN_RUN_MS;
        let factor = if flood { FLOOD_FACTOR } else { self.scenario.load };
        let gap_ms = -self.work.f64().max(1e-12).ln() / (capacity * factor);
        if self.now_ms + gap_ms < self.end_ms() {
            self.after(gap_ms, Item::Arrival { flood });
        }
        let urgency = match self.scenario.fault {
            Fault::Flood(urgency) | Fault::OwnFlood(urgency) if flood => urgency,
            _ => Urgency::ALL[draw(&mut self.work, &URGENCY_PARTS)],
        };
        let team = match self.scenario.fault {
            Fault::OwnFlood(_) if flood => 0,
            _ if flood => FLOOD_TEAM,
            _ => draw(&mut self.work, &TEAM_PARTS),
        };
        // Ordinary calls of the flow that floods cannot be told from the flood.
        let of_flow = self.scenario.fault == Fault::OwnFlood(urgency) && team == 0;
        let flood = flood || of_flow;
        let keyed = self.work.f64() < self.scenario.keyed;
        let measured = self.is_measured();
        self.tally.offer(urgency, flood, measured);
        self.calls.push(Call {
            team,
            urgency,
            flood,
            keyed,
            arrived_ms: self.now_ms,
            run_ms: run_ms(&mut self.work),
            measured,
            ended: false,
            runs: 0,
        });
        self.calls.len() as u32 - 1
    }

    fn balance(&mut self) -> usize {
        loop {
            let node = self.work.usize(0..NODES);
            if self.live[node] {
                return node;
            }
        }
    }
}

fn draw(rng: &mut fastrand::Rng, parts: &[f64]) -> usize {
    let mut point = rng.f64();
    for (index, part) in parts.iter().enumerate() {
        if point < *part {
            return index;
        }
        point -= part;
    }
    parts.len() - 1
}

/// Draws a log-normal run time.
fn run_ms(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * rng.f64().max(1e-12).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    let mu = MEAN_RUN_MS.ln() - RUN_SIGMA * RUN_SIGMA / 2.0;
    (mu + RUN_SIGMA * normal).exp().clamp(0.1, LONGEST_RUN_MS)
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
        let mut net = Net {
            now_ms: 0.0,
            items: BTreeMap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            work: fastrand::Rng::with_seed(seed),
            executors: vec![Executor::default(); EXECUTORS],
            calls: Vec::new(),
            tally: Tally::new(),
            scenario,
            live: [true; NODES],
            busy: 0,
        };
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
            Fault::DomainLost | Fault::Replaced => {
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

    fn fault(&mut self, step: u32) {
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
