//! Simulation of one scenario under one policy.

use serde_json::Value;
use sycamorerill_core::model::Urgency;

use crate::environment::{Environment, domain};
use crate::owned::{Delivery, Owned};
use crate::scenario::{Fault, Scenario};
use crate::shares::{Balancing, Shares};
use crate::tokens::{Message, Tokens};

pub(crate) const INSTANCES: usize = 8;
pub(crate) const EXECUTORS: usize = 50;
/// Number of slots of each executor.
pub(crate) const SLOTS: u32 = 8;
pub(crate) const DOMAINS: usize = 3;
pub(crate) const DEADLINE_MS: f64 = 250.0;
pub(crate) const LONGEST_RUN_MS: f64 = 500.0;
pub(crate) const MEAN_RUN_MS: f64 = 20.0;
pub(crate) const SAME_DOMAIN_DELAY_MS: f64 = 0.1;
pub(crate) const CROSS_DOMAIN_DELAY_MS: f64 = 1.5;
/// Team that only offers calls in a flood.
pub(crate) const FLOOD_TEAM: usize = 4;
/// Entry instance that is paused in the `paused` scenario.
const PAUSED_INSTANCE: usize = 1;
/// Duration of the pause, in milliseconds.
const PAUSE_MS: f64 = 3_000.0;
/// Time until the load balancer detects the pause, in milliseconds.
const PAUSE_DETECTION_MS: f64 = 500.0;
/// Hedge budget of the hedged policy, as a share of the calls.
const HEDGE_BUDGET: f64 = 0.05;

/// Policy for sharing slots among the instances and choosing executors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    Owned,
    /// As `Owned`, with hedged requests.
    Hedged,
    Random,
    RoundRobin,
    LeastOutstanding,
    Borrowing,
    LeasedBlocks,
}

impl Policy {
    pub(crate) const ALL: [Self; 7] = [
        Self::Owned,
        Self::Hedged,
        Self::Random,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::Borrowing,
        Self::LeasedBlocks,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Owned => "owned",
            Self::Hedged => "owned-hedged",
            Self::Random => "shares-random",
            Self::RoundRobin => "shares-round-robin",
            Self::LeastOutstanding => "shares-least-outstanding",
            Self::Borrowing => "shares-borrowing",
            Self::LeasedBlocks => "leased-blocks",
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

/// Scheduled action at an instance, an executor or the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Arrival {
        flood: bool,
    },
    Begin {
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        tag: u64,
    },
    End {
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        tag: u64,
    },
    Answer {
        instance: usize,
        incarnation: u32,
        executor: usize,
        call: u32,
        tag: u64,
        answer: Response,
    },
    Delivery {
        instance: usize,
        incarnation: u32,
        delivery: Delivery,
    },
    Message {
        instance: usize,
        message: Message,
    },
    Timer {
        instance: usize,
        incarnation: u32,
    },
    Heartbeat {
        instance: usize,
        incarnation: u32,
    },
    Fault {
        step: u32,
    },
}

/// Result of a request to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    Complete,
    NotSent,
    Lost,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Executor {
    pub(crate) running: u32,
    pub(crate) lost: bool,
    pub(crate) slow: bool,
}

enum Strategy {
    Owned(Box<Owned>),
    Shares(Shares),
    Tokens(Tokens),
}

pub(crate) struct Sim {
    env: Environment,
    strategy: Strategy,
    policy: Policy,
    seed: u64,
}

impl Sim {
    pub(crate) fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut env = Environment::new(scenario, seed);
        let strategy = match policy {
            Policy::Owned => Strategy::Owned(Box::new(Owned::new(&mut env, 0.0))),
            Policy::Hedged => Strategy::Owned(Box::new(Owned::new(&mut env, HEDGE_BUDGET))),
            Policy::Random => Strategy::Shares(Shares::new(Balancing::Random)),
            Policy::RoundRobin => Strategy::Shares(Shares::new(Balancing::RoundRobin)),
            Policy::LeastOutstanding => Strategy::Shares(Shares::new(Balancing::LeastOutstanding)),
            Policy::Borrowing => Strategy::Tokens(Tokens::borrowing(&mut env)),
            Policy::LeasedBlocks => Strategy::Tokens(Tokens::blocks(&mut env)),
        };
        Self { env, strategy, policy, seed }
    }

    pub(crate) fn run(mut self) -> Value {
        self.env.schedule(0.0, Action::Arrival { flood: false });
        let start_ms = self.env.scenario.warm_up_ms;
        match self.env.scenario.fault {
            Fault::Flood(_) | Fault::FloodByBusiestTeam(_) => {
                self.env.schedule(start_ms, Action::Arrival { flood: true });
            }
            Fault::SlowExecutor => self.env.executors[7].slow = true,
            Fault::DomainLost | Fault::InstancesReplaced | Fault::InstancePaused => {
                self.env.schedule(start_ms + 1_000.0, Action::Fault { step: 0 });
            }
            Fault::None | Fault::StoreDown | Fault::Keys => {}
        }
        let last_ms = self.env.end_ms() + 2_000.0;
        while let Some(action) = self.env.next() {
            if self.env.now_ms > last_ms {
                break;
            }
            self.step(action);
        }
        let seconds = self.env.scenario.measured_ms / 1_000.0;
        self.env.stats.line(self.env.scenario.name, self.policy.as_str(), self.seed, seconds)
    }

    fn step(&mut self, action: Action) {
        let env = &mut self.env;
        match action {
            Action::Arrival { flood } => {
                let call = env.arrival(flood);
                let instance = env.choose_instance();
                match &mut self.strategy {
                    Strategy::Owned(strategy) => strategy.arrived(env, instance, call),
                    Strategy::Shares(strategy) => strategy.arrived(env, instance, call),
                    Strategy::Tokens(strategy) => strategy.arrived(env, instance, call),
                }
            }
            Action::Begin { instance, incarnation, executor, call, tag } => {
                env.begin(instance, incarnation, executor, call, tag);
            }
            Action::End { instance, incarnation, executor, call, tag } => {
                env.end(instance, incarnation, executor, call, tag);
            }
            Action::Answer { instance, incarnation, executor, call, tag, answer } => {
                env.in_flight -= 1;
                match &mut self.strategy {
                    Strategy::Owned(strategy) => {
                        strategy.answered(env, instance, incarnation, call, tag, answer)
                    }
                    Strategy::Shares(strategy) => {
                        strategy.answered(env, instance, incarnation, executor, call, answer)
                    }
                    Strategy::Tokens(strategy) => {
                        strategy.answered(env, instance, executor, call, tag)
                    }
                }
            }
            Action::Delivery { instance, incarnation, delivery } => {
                if let Strategy::Owned(strategy) = &mut self.strategy {
                    strategy.received(env, instance, incarnation, delivery);
                }
            }
            Action::Message { instance, message } => {
                if let Strategy::Tokens(strategy) = &mut self.strategy {
                    strategy.received(env, instance, message);
                }
            }
            Action::Timer { instance, incarnation } => match &mut self.strategy {
                Strategy::Owned(strategy) => strategy.handle_timer(env, instance, incarnation),
                Strategy::Shares(strategy) => strategy.restart(env, instance),
                Strategy::Tokens(_) => {}
            },
            Action::Heartbeat { instance, incarnation } => match &mut self.strategy {
                Strategy::Owned(strategy) => strategy.send_heartbeat(env, instance, incarnation),
                Strategy::Tokens(strategy) => strategy.send_heartbeat(env, instance),
                Strategy::Shares(_) => {}
            },
            Action::Fault { step } => self.fault(step),
        }
    }

    fn pause(&mut self, step: u32) {
        let env = &mut self.env;
        let Strategy::Owned(strategy) = &mut self.strategy else { return };
        match step {
            0 => strategy.pause(PAUSED_INSTANCE),
            1 => env.in_rotation[PAUSED_INSTANCE] = false,
            _ => {
                strategy.resume(env, PAUSED_INSTANCE);
                env.in_rotation[PAUSED_INSTANCE] = true;
                return;
            }
        }
        let next_ms = if step == 0 { PAUSE_DETECTION_MS } else { PAUSE_MS - PAUSE_DETECTION_MS };
        env.schedule(next_ms, Action::Fault { step: step + 1 });
    }

    fn fault(&mut self, step: u32) {
        if self.env.scenario.fault == Fault::InstancePaused {
            return self.pause(step);
        }
        let env = &mut self.env;
        if env.scenario.fault == Fault::DomainLost {
            for executor in (0..EXECUTORS).filter(|executor| domain(*executor) == 0) {
                env.executors[executor].lost = true;
            }
            for instance in (0..INSTANCES).filter(|instance| domain(*instance) == 0) {
                env.in_rotation[instance] = false;
                match &mut self.strategy {
                    Strategy::Owned(strategy) => strategy.crash(env, instance),
                    Strategy::Shares(strategy) => strategy.crash(env, instance),
                    Strategy::Tokens(_) => {}
                }
            }
            return;
        }
        let instance = step as usize % INSTANCES;
        if step.is_multiple_of(2) {
            match &mut self.strategy {
                Strategy::Owned(strategy) => strategy.drain(env, instance),
                Strategy::Shares(_) => {}
                Strategy::Tokens(_) => {}
            }
        } else {
            env.in_rotation[instance] = false;
            match &mut self.strategy {
                Strategy::Owned(strategy) => strategy.crash(env, instance),
                Strategy::Shares(strategy) => strategy.crash(env, instance),
                Strategy::Tokens(_) => {}
            }
        }
        env.schedule(10_000.0, Action::Fault { step: step + 1 });
    }
}
