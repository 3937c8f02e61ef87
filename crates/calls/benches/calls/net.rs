//! Callers, executors and the ways between them, in virtual time.

use std::collections::BTreeMap;

use sycamorerill_core::model::Urgency;

use crate::scenario::{Fault, Scenario};
use crate::sim::{
    Call, DEADLINE_MS, DOMAINS, EXECUTORS, Executor, FAR_MS, FLOOD_TEAM, Item, LONGEST_RUN_MS,
    MEAN_RUN_MS, NEAR_MS, NODES, Reach, SLOTS,
};
use crate::tally::Tally;

/// Spread of run times: the standard deviation of their logarithm.
const RUN_SIGMA: f64 = 0.6;
/// Time after which a connection that cannot be opened is given up.
const CONNECT_TIMEOUT_MS: f64 = 50.0;
/// Part of the calls that each of the ordinary teams offers.
const TEAM_PARTS: [f64; 4] = [0.4, 0.3, 0.2, 0.1];
/// Part of the calls of each urgency, least urgent first.
const URGENCY_PARTS: [f64; 4] = [0.2, 0.4, 0.2, 0.2];
const FLOOD_FACTOR: f64 = 10.0;
const SLOW_FACTOR: f64 = 10.0;

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
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
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
        }
    }

    pub(crate) fn after(&mut self, ms: f64, item: Item) {
        self.serial += 1;
        let at_us = ((self.now_ms + ms) * 1_000.0).round() as u64;
        self.items.insert((at_us, self.serial), item);
    }

    pub(crate) fn next(&mut self) -> Option<Item> {
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

    pub(crate) fn begin(&mut self, node: usize, life: u32, executor: usize, call: u32, tag: u64) {
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

    pub(crate) fn end(&mut self, node: usize, life: u32, executor: usize, call: u32, tag: u64) {
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

    pub(crate) fn arrival(&mut self, flood: bool) -> u32 {
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

    pub(crate) fn balance(&mut self) -> usize {
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
