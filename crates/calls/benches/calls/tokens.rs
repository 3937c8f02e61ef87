//! Baselines with tokens for slots: fixed shares with borrowing, and leased blocks.

use std::collections::VecDeque;

use crate::environment::{Environment, delay_ms, domain};
use crate::sim::{Action, DEADLINE_MS, EXECUTORS, INSTANCES, MEAN_RUN_MS, SLOTS};

/// Largest number of calls in the queue of an entry instance.
const MAX_QUEUE: usize = 2_000;
/// Interval of heartbeats, in milliseconds.
const HEARTBEAT_MS: f64 = 100.0;
/// Interval at which leased tokens of free slots are returned, in milliseconds.
const RETURN_INTERVAL_MS: f64 = 20.0;
/// Number of tokens in a leased block.
const BLOCK: usize = 2;
/// Size of a message about slots in bytes.
const MESSAGE_BYTES: u64 = 64;

/// Right to use one slot of an executor, and the instance to which it is returned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Token {
    executor: usize,
    lender: usize,
}

/// Message between entry instances about slots.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Request { from: usize },
    Grant { from: usize, tokens: Vec<Token> },
    Return { tokens: Vec<Token> },
    Free { from: usize, free: usize },
}

#[derive(Clone, Debug, Default)]
struct Instance {
    free: Vec<Token>,
    waiting: VecDeque<u32>,
    requested: usize,
    /// Free slots of each instance, as last reported.
    free_elsewhere: [usize; INSTANCES],
}

pub(crate) struct Tokens {
    instances: Vec<Instance>,
    block: usize,
    keep: bool,
    heartbeats: u64,
}

impl Tokens {
    /// Returns the policy in which each instance has one slot of each executor, and borrows
    /// others for one call at a time.
    pub(crate) fn borrowing(env: &mut Environment) -> Self {
        let mut tokens = Self::new(env, 1, false);
        for (lender, instance) in tokens.instances.iter_mut().enumerate() {
            let each = SLOTS as usize / INSTANCES;
            for executor in 0..EXECUTORS {
                instance.free.extend(std::iter::repeat_n(Token { executor, lender }, each));
            }
        }
        tokens
    }

    /// Returns the policy in which an owner has all slots of an executor, and leases them to
    /// others in blocks that are kept while in use.
    pub(crate) fn blocks(env: &mut Environment) -> Self {
        let mut tokens = Self::new(env, BLOCK, true);
        for executor in 0..EXECUTORS {
            let near: Vec<usize> =
                (0..INSTANCES).filter(|instance| domain(*instance) == domain(executor)).collect();
            let lender = near[executor / crate::sim::DOMAINS % near.len()];
            let all = std::iter::repeat_n(Token { executor, lender }, SLOTS as usize);
            tokens.instances[lender].free.extend(all);
        }
        tokens
    }

    fn new(env: &mut Environment, block: usize, keep: bool) -> Self {
        for instance in 0..INSTANCES {
            env.schedule(0.0, Action::Heartbeat { instance, incarnation: 0 });
        }
        Self { instances: vec![Instance::default(); INSTANCES], block, keep, heartbeats: 0 }
    }

    pub(crate) fn arrived(&mut self, env: &mut Environment, instance: usize, call: u32) {
        if self.instances[instance].waiting.len() >= MAX_QUEUE {
            return env.refused(call);
        }
        self.instances[instance].waiting.push_back(call);
        self.dispatch(env, instance);
    }

    fn dispatch(&mut self, env: &mut Environment, instance: usize) {
        let entry = &mut self.instances[instance];
        while !entry.waiting.is_empty() && !entry.free.is_empty() {
            let Some(call) = entry.waiting.pop_front() else { break };
            let waited_ms = env.now_ms - env.calls[call as usize].arrived_ms;
            if waited_ms + MEAN_RUN_MS > DEADLINE_MS {
                env.refused(call);
                continue;
            }
            let place = env.rng.usize(0..entry.free.len());
            let token = entry.free.swap_remove(place);
            env.send(instance, 0, token.executor, call, token.lender as u64);
        }
        self.request_tokens(env, instance);
    }

    fn request_tokens(&mut self, env: &mut Environment, instance: usize) {
        let entry = &mut self.instances[instance];
        while entry.waiting.len() > entry.requested * self.block {
            let best = (0..INSTANCES)
                .filter(|other| *other != instance && entry.free_elsewhere[*other] > 0);
            let Some(other) = best.max_by_key(|other| entry.free_elsewhere[*other]) else { return };
            entry.free_elsewhere[other] = entry.free_elsewhere[other].saturating_sub(self.block);
            entry.requested += 1;
            send(env, instance, other, Message::Request { from: instance });
        }
    }

    pub(crate) fn received(&mut self, env: &mut Environment, instance: usize, message: Message) {
        match message {
            Message::Request { from } => {
                let tokens = self.lend(instance);
                send(env, instance, from, Message::Grant { from: instance, tokens });
            }
            Message::Grant { from, tokens } => {
                let entry = &mut self.instances[instance];
                entry.requested -= 1;
                if tokens.is_empty() {
                    entry.free_elsewhere[from] = 0;
                }
                entry.free.extend(tokens);
                self.dispatch(env, instance);
                if !self.keep {
                    self.return_tokens(env, instance);
                }
            }
            Message::Return { tokens } => {
                self.instances[instance].free.extend(tokens);
                self.dispatch(env, instance);
            }
            Message::Free { from, free } => {
                self.instances[instance].free_elsewhere[from] = free;
                self.request_tokens(env, instance);
            }
        }
    }

    fn lend(&mut self, instance: usize) -> Vec<Token> {
        let block = self.block;
        let entry = &mut self.instances[instance];
        let mut lent = Vec::new();
        while lent.len() < block && entry.waiting.is_empty() {
            let Some(place) = entry.free.iter().position(|token| token.lender == instance) else {
                break;
            };
            lent.push(entry.free.swap_remove(place));
        }
        lent
    }

    /// Returns the tokens of free slots to their lenders if no call waits.
    fn return_tokens(&mut self, env: &mut Environment, instance: usize) {
        if !self.instances[instance].waiting.is_empty() {
            return;
        }
        for lender in (0..INSTANCES).filter(|lender| *lender != instance) {
            let free = &mut self.instances[instance].free;
            let tokens: Vec<Token> = free.extract_if(.., |token| token.lender == lender).collect();
            if !tokens.is_empty() {
                send(env, instance, lender, Message::Return { tokens });
            }
        }
    }

    pub(crate) fn answered(
        &mut self,
        env: &mut Environment,
        instance: usize,
        executor: usize,
        call: u32,
        lender: u64,
    ) {
        env.answered(call);
        let token = Token { executor, lender: lender as usize };
        self.instances[instance].free.push(token);
        self.dispatch(env, instance);
        if !self.keep {
            self.return_tokens(env, instance);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, env: &mut Environment, instance: usize) {
        self.heartbeats += 1;
        if self.keep {
            self.return_tokens(env, instance);
        }
        let period = if self.keep { RETURN_INTERVAL_MS } else { HEARTBEAT_MS };
        let round = self.heartbeats / INSTANCES as u64;
        if round.is_multiple_of((HEARTBEAT_MS / period) as u64) {
            let own = self.instances[instance].free.iter().filter(|token| token.lender == instance);
            let free = if self.instances[instance].waiting.is_empty() { own.count() } else { 0 };
            for other in (0..INSTANCES).filter(|other| *other != instance) {
                send(env, instance, other, Message::Free { from: instance, free });
            }
        }
        if env.now_ms < env.end_ms() {
            env.schedule(period, Action::Heartbeat { instance, incarnation: 0 });
        }
    }
}

fn send(env: &mut Environment, from: usize, to: usize, message: Message) {
    env.record_messages(1, MESSAGE_BYTES);
    env.schedule(delay_ms(from, to), Action::Message { instance: to, message });
}
