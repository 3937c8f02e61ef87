//! Callers, executors and network in virtual time.

use std::collections::BTreeMap;

use sycamorerill_core::model::Urgency;

use crate::scenario::{Fault, Scenario};
use crate::sim::{
    Action, CROSS_DOMAIN_DELAY_MS, Call, DEADLINE_MS, DOMAINS, EXECUTORS, Executor, FLOOD_TEAM,
    INSTANCES, LONGEST_RUN_MS, MEAN_RUN_MS, Response, SAME_DOMAIN_DELAY_MS, SLOTS,
};
use crate::stats::Stats;

/// Standard deviation of the logarithm of run times.
const RUN_SIGMA: f64 = 0.6;
/// Time after which an attempt to connect fails, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 50.0;
/// Share of the calls that each of the ordinary teams offers.
const TEAM_SHARES: [f64; 4] = [0.4, 0.3, 0.2, 0.1];
/// Share of the calls of each urgency, least urgent first.
const URGENCY_SHARES: [f64; 4] = [0.2, 0.4, 0.2, 0.2];
/// Load of a flood, as a multiple of the capacity of the executors.
const FLOOD_FACTOR: f64 = 10.0;
/// Factor by which a slow executor prolongs run times.
const SLOW_FACTOR: f64 = 10.0;

/// State outside the entry instances: time, network, callers, executors and statistics.
pub(crate) struct Environment {
    pub(crate) now_ms: f64,
    pending: BTreeMap<(u64, u64), Action>,
    serial: u64,
    pub(crate) rng: fastrand::Rng,
    /// Generator of the offered load, separate from the random choices of the policies.
    work: fastrand::Rng,
    pub(crate) executors: Vec<Executor>,
    pub(crate) calls: Vec<Call>,
    pub(crate) stats: Stats,
    pub(crate) scenario: Scenario,
    /// Whether the load balancer sends calls to the instance.
    pub(crate) in_rotation: [bool; INSTANCES],
    /// Requests that were sent and whose end has not been reported yet.
    pub(crate) in_flight: u32,
}

pub(crate) fn domain(index: usize) -> usize {
    index % DOMAINS
}

pub(crate) fn delay_ms(from: usize, to: usize) -> f64 {
    if domain(from) == domain(to) { SAME_DOMAIN_DELAY_MS } else { CROSS_DOMAIN_DELAY_MS }
}

impl Environment {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            now_ms: 0.0,
            pending: BTreeMap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            work: fastrand::Rng::with_seed(seed),
            executors: vec![Executor::default(); EXECUTORS],
            calls: Vec::new(),
            stats: Stats::new(),
            scenario,
            in_rotation: [true; INSTANCES],
            in_flight: 0,
        }
    }

    pub(crate) fn schedule(&mut self, ms: f64, action: Action) {
        self.serial += 1;
        let at_us = ((self.now_ms + ms) * 1_000.0).round() as u64;
        self.pending.insert((at_us, self.serial), action);
    }

    pub(crate) fn next(&mut self) -> Option<Action> {
        let ((at_us, _), action) = self.pending.pop_first()?;
        self.now_ms = at_us as f64 / 1_000.0;
        Some(action)
    }

    pub(crate) fn end_ms(&self) -> f64 {
        self.scenario.warm_up_ms + self.scenario.measured_ms
    }

    pub(crate) fn is_measured(&self) -> bool {
        self.now_ms >= self.scenario.warm_up_ms
    }

    /// Sends a request to an executor.
    pub(crate) fn send(
        &mut self,
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        tag: u64,
    ) {
        let transit_ms = delay_ms(instance, executor);
        self.in_flight += 1;
        if self.executors[executor].lost {
            let answer = Response::NotSent;
            let action = Action::Answer { instance, incarnation, executor, call, tag, answer };
            return self.schedule(CONNECT_TIMEOUT_MS, action);
        }
        self.schedule(transit_ms, Action::Begin { instance, incarnation, executor, call, tag });
    }

    pub(crate) fn begin(
        &mut self,
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        tag: u64,
    ) {
        let target = &mut self.executors[executor];
        target.running += 1;
        let over = target.running > SLOTS;
        // A further attempt draws a new run time, which is the best case for hedging.
        let run_ms = match self.calls[call as usize].runs {
            0 => self.calls[call as usize].run_ms,
            _ => run_ms(&mut self.rng),
        };
        let run_ms = run_ms * if target.slow { SLOW_FACTOR } else { 1.0 };
        self.stats.overcommits += u64::from(over);
        let entry = &mut self.calls[call as usize];
        entry.runs += 1;
        if entry.runs > 1 && entry.keyed {
            self.stats.ran_twice += 1;
        }
        if entry.measured && entry.runs == 1 {
            self.stats.record_wait(self.now_ms - entry.arrived_ms, entry.flood);
        }
        let run_ms = run_ms.min(LONGEST_RUN_MS);
        self.schedule(run_ms, Action::End { instance, incarnation, executor, call, tag });
    }

    pub(crate) fn end(
        &mut self,
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        tag: u64,
    ) {
        self.executors[executor].running -= 1;
        let lost = self.executors[executor].lost;
        let answer = if lost { Response::Lost } else { Response::Complete };
        let transit_ms = if lost { LONGEST_RUN_MS } else { delay_ms(instance, executor) };
        self.schedule(
            transit_ms,
            Action::Answer { instance, incarnation, executor, call, tag, answer },
        );
    }

    /// Records that the caller of a call receives the answer.
    pub(crate) fn answered(&mut self, call: u32) {
        let entry = &mut self.calls[call as usize];
        if std::mem::replace(&mut entry.ended, true) {
            return;
        }
        let ms = self.now_ms - entry.arrived_ms;
        let in_time = ms <= DEADLINE_MS;
        self.stats.record_answer(entry.urgency, entry.flood, entry.measured, ms, in_time);
    }

    /// Records that the caller of a call learns that it did not run for lack of capacity.
    pub(crate) fn refused(&mut self, call: u32) {
        let free_slot = self.has_free_slot();
        self.refuse(call, free_slot);
    }

    /// Records that the caller of a call learns that it did not run because of its key.
    pub(crate) fn refused_key(&mut self, call: u32) {
        self.refuse(call, false);
    }

    fn refuse(&mut self, call: u32, free_slot: bool) {
        let entry = &mut self.calls[call as usize];
        if std::mem::replace(&mut entry.ended, true) || !entry.measured {
            return;
        }
        if entry.keyed {
            self.stats.record_key_refusal(self.now_ms - entry.arrived_ms);
        }
        self.stats.refused += 1;
        self.stats.refused_idle += u64::from(free_slot);
    }

    pub(crate) fn unknown(&mut self, call: u32) {
        let entry = &mut self.calls[call as usize];
        if !std::mem::replace(&mut entry.ended, true) && entry.measured {
            self.stats.unknown += 1;
        }
    }

    /// Returns whether an executor that is not lost has a free slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        let live = self.executors.iter().filter(|executor| !executor.lost).count() as u32;
        self.in_flight < live * SLOTS
    }

    /// Records messages between entry instances during the measurement.
    pub(crate) fn record_messages(&mut self, messages: u64, bytes: u64) {
        if self.is_measured() {
            self.stats.record_messages(messages, bytes);
        }
    }

    pub(crate) fn arrival(&mut self, flood: bool) -> u32 {
        let capacity = (EXECUTORS as u32 * SLOTS) as f64 / MEAN_RUN_MS;
        let factor = if flood { FLOOD_FACTOR } else { self.scenario.load };
        let gap_ms = -self.work.f64().max(1e-12).ln() / (capacity * factor);
        if self.now_ms + gap_ms < self.end_ms() {
            self.schedule(gap_ms, Action::Arrival { flood });
        }
        let urgency = match self.scenario.fault {
            Fault::Flood(urgency) | Fault::FloodByBusiestTeam(urgency) if flood => urgency,
            _ => Urgency::ALL[draw(&mut self.work, &URGENCY_SHARES)],
        };
        let team = match self.scenario.fault {
            Fault::FloodByBusiestTeam(_) if flood => 0,
            _ if flood => FLOOD_TEAM,
            _ => draw(&mut self.work, &TEAM_SHARES),
        };
        // Ordinary calls of the flooding flow cannot be distinguished from the flood.
        let of_flow = self.scenario.fault == Fault::FloodByBusiestTeam(urgency) && team == 0;
        let flood = flood || of_flow;
        let keyed = self.work.f64() < self.scenario.keyed;
        let measured = self.is_measured();
        self.stats.record_offer(urgency, flood, measured);
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

    pub(crate) fn choose_instance(&mut self) -> usize {
        loop {
            let instance = self.work.usize(0..INSTANCES);
            if self.in_rotation[instance] {
                return instance;
            }
        }
    }
}

fn draw(rng: &mut fastrand::Rng, shares: &[f64]) -> usize {
    let mut point = rng.f64();
    for (index, share) in shares.iter().enumerate() {
        if point < *share {
            return index;
        }
        point -= share;
    }
    shares.len() - 1
}

/// Draws a log-normal run time.
fn run_ms(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * rng.f64().max(1e-12).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    let mu = MEAN_RUN_MS.ln() - RUN_SIGMA * RUN_SIGMA / 2.0;
    (mu + RUN_SIGMA * normal).exp().clamp(0.1, LONGEST_RUN_MS)
}
