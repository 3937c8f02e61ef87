//! Baselines in which each entry instance has a fixed share of the slots of each executor.

use std::collections::VecDeque;

use crate::environment::Environment;
use crate::scenario::Fault;
use crate::sim::{Action, DEADLINE_MS, EXECUTORS, INSTANCES, MEAN_RUN_MS, Response, SLOTS};

/// Number of slots of each executor that one entry instance may use.
const SHARE: u32 = SLOTS / INSTANCES as u32;
/// Largest number of calls in the queue of an entry instance.
const MAX_QUEUE: usize = 2_000;
/// Time until a crashed entry instance is replaced, in milliseconds.
const RESTART_MS: f64 = 2_000.0;

/// Algorithm that chooses an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Balancing {
    Random,
    RoundRobin,
    LeastOutstanding,
}

#[derive(Clone, Debug)]
struct Instance {
    used: Vec<u32>,
    /// One queue per executor; with [`Balancing::LeastOutstanding`] only the first is used.
    queues: Vec<VecDeque<u32>>,
    waiting: usize,
    next: usize,
    incarnation: u32,
    sent: Vec<u32>,
}

pub(crate) struct Shares {
    balancing: Balancing,
    instances: Vec<Instance>,
}

impl Shares {
    pub(crate) fn new(balancing: Balancing) -> Self {
        let instance = Instance {
            used: vec![0; EXECUTORS],
            queues: vec![VecDeque::new(); EXECUTORS],
            waiting: 0,
            next: 0,
            incarnation: 0,
            sent: Vec::new(),
        };
        Self { balancing, instances: vec![instance; INSTANCES] }
    }

    pub(crate) fn arrived(&mut self, env: &mut Environment, instance: usize, call: u32) {
        let entry = &mut self.instances[instance];
        if entry.waiting >= MAX_QUEUE {
            return env.refused(call);
        }
        let queue = match self.balancing {
            Balancing::Random => env.rng.usize(0..EXECUTORS),
            Balancing::RoundRobin => entry.next,
            Balancing::LeastOutstanding => 0,
        };
        entry.next = (entry.next + 1) % EXECUTORS;
        entry.queues[queue].push_back(call);
        entry.waiting += 1;
        self.dispatch(env, instance, queue);
    }

    fn dispatch(&mut self, env: &mut Environment, instance: usize, queue: usize) {
        while let Some(executor) = self.choose_executor(env, instance, queue) {
            let entry = &mut self.instances[instance];
            let Some(call) = entry.queues[queue].pop_front() else { return };
            entry.waiting -= 1;
            let waited_ms = env.now_ms - env.calls[call as usize].arrived_ms;
            if waited_ms + MEAN_RUN_MS > DEADLINE_MS {
                env.refused(call);
                continue;
            }
            entry.used[executor] += 1;
            entry.sent.push(call);
            env.send(instance, entry.incarnation, executor, call, 0);
        }
    }

    fn choose_executor(
        &self,
        env: &mut Environment,
        instance: usize,
        queue: usize,
    ) -> Option<usize> {
        let used = &self.instances[instance].used;
        if self.balancing != Balancing::LeastOutstanding {
            return (used[queue] < SHARE).then_some(queue);
        }
        let least = used.iter().copied().min().filter(|used| *used < SHARE)?;
        let count = used.iter().filter(|used| **used == least).count();
        let chosen = env.rng.usize(0..count);
        let mut of_least = (0..EXECUTORS).filter(|executor| used[*executor] == least);
        of_least.nth(chosen)
    }

    pub(crate) fn answered(
        &mut self,
        env: &mut Environment,
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        answer: Response,
    ) {
        if self.instances[instance].incarnation != incarnation {
            return;
        }
        match answer {
            Response::Complete => env.answered(call),
            Response::NotSent => env.refused(call),
            Response::Lost => env.unknown(call),
        }
        let entry = &mut self.instances[instance];
        entry.used[executor] -= 1;
        if let Some(place) = entry.sent.iter().position(|sent| *sent == call) {
            entry.sent.swap_remove(place);
        }
        let queue = if self.balancing == Balancing::LeastOutstanding { 0 } else { executor };
        self.dispatch(env, instance, queue);
    }

    pub(crate) fn crash(&mut self, env: &mut Environment, instance: usize) {
        let entry = &mut self.instances[instance];
        let waiting = entry.queues.iter_mut().flat_map(std::mem::take);
        for call in waiting.chain(std::mem::take(&mut entry.sent)) {
            env.unknown(call);
        }
        entry.incarnation += 1;
        entry.waiting = 0;
        entry.used = vec![0; EXECUTORS];
        if env.scenario.fault != Fault::DomainLost {
            env.schedule(RESTART_MS, Action::Timer { instance, incarnation: entry.incarnation });
        }
    }

    pub(crate) fn restart(&mut self, env: &mut Environment, instance: usize) {
        env.in_rotation[instance] = true;
    }
}
