//! Several routers with fakes of the executors, network, ownership records and journal.

#![allow(dead_code)]

mod commands;
mod executors;
mod faults;
pub(crate) mod harness;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use sycamorerill_calls::keys::{Key, Record, Shard};
use sycamorerill_calls::router::{
    Call, Command, Event, Executor, InProgress, KeyRecordError, Outcome, PeerAnswer, Reason,
    Router, SendOutcome, Settings,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, Epoch, ExecutorName, InstanceName, Version};
use sycamorerill_core::model::{Config, Service, Team, Urgency};
use sycamorerill_core::rate::{PerSecond, Share};
use sycamorerill_core::size::Size;

pub(crate) const LONGEST_RUN: Span = Span::from_ms(100);
pub(crate) const SHARDS: u16 = 2;

pub(crate) fn name<T: std::str::FromStr<Err = impl std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) fn service(idempotent: bool) -> Service {
    Service {
        name: name("quote"),
        team: name("desk"),
        urgency: Urgency::Normal,
        idempotent,
        deadline: Span::from_ms(250),
        longest_run: LONGEST_RUN,
        slots: 2,
        max_body: 1_000,
        key_retention: Span::from_secs(60),
        rate: PerSecond(1_000.0),
    }
}

pub(crate) fn config() -> Arc<Config> {
    let team = Team { name: name("desk"), weight: 1, quota: Size::ZERO, borrow: true };
    Arc::new(Config {
        version: Version(1),
        services: [(name("quote"), service(false))].into(),
        teams: [(name("desk"), team)].into(),
        ..Config::default()
    })
}

/// Origin of a call at an instance, which receives the reply.
#[derive(Clone, Debug)]
pub(crate) enum Origin {
    Caller(u64),
    Peer { instance: usize, incarnation: u64, call: CallId, attempt: Attempt, global_id: u64 },
}

impl Origin {
    pub(crate) fn global_id(&self) -> u64 {
        match self {
            Self::Caller(global_id) | Self::Peer { global_id, .. } => *global_id,
        }
    }
}

/// Entry instance; `router` is `None` after its process has ended.
pub(crate) struct Instance {
    pub(crate) router: Option<Router>,
    pub(crate) paused: bool,
    draining: bool,
    next_tick: Option<Time>,
    incarnation: u64,
    inbox: VecDeque<Event>,
    outbox: Vec<Action>,
    origins: BTreeMap<CallId, Origin>,
    next_call: u64,
    /// Shards of keys that the instance assumes to own.
    assumed_shards: BTreeSet<u16>,
}

/// Call from the point of view of its caller.
#[derive(Clone, Debug)]
pub(crate) struct IssuedCall {
    pub(crate) instance: usize,
    incarnation: u64,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<u8>,
    pub(crate) runs: u32,
    pub(crate) replies: Vec<Outcome>,
    pub(crate) abandoned: bool,
    at: Time,
    /// Whether an instance replied that assumed to own the shard of the key but did not.
    superseded: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    instance: usize,
    incarnation: u64,
    call: CallId,
    attempt: Attempt,
    global_id: u64,
    executor: usize,
    longest_run: Span,
}

#[derive(Clone, Debug)]
pub(crate) enum Action {
    Deliver(usize, u64, Event),
    Write(Request),
    Begin(Request),
    End(Request),
    Expire(Request),
    Tick(usize, u64),
    TakeOver { executor: usize, instance: usize, in_progress: InProgress },
    TakeKeys { shard: u16, instance: usize },
    Append { instance: usize, incarnation: u64, call: CallId, record: Record },
}

/// Faults that are currently enabled.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Answers are lost on the way back.
    pub(crate) lose_answers: bool,
    /// Executors run and never answer.
    pub(crate) silent: bool,
    /// Executors refuse requests.
    pub(crate) refuse: bool,
    /// The store refuses appends.
    pub(crate) store_down: bool,
    /// The store appends records, but its answers are lost.
    pub(crate) store_answers_lost: bool,
    /// Answers are delivered twice.
    pub(crate) duplicate_answers: bool,
    /// Executors take the longest run for each call.
    pub(crate) slow: bool,
}

#[derive(Default)]
pub(crate) struct FakeExecutor {
    running: u32,
    owner: Option<usize>,
    epoch: u64,
}

pub(crate) struct Cluster {
    pub(crate) now: Time,
    pub(crate) instances: Vec<Instance>,
    executors: Vec<FakeExecutor>,
    pub(crate) slots: u32,
    pending: BTreeMap<(Time, u64), Action>,
    serial: u64,
    pub(crate) issued: BTreeMap<u64, IssuedCall>,
    pub(crate) key_runs: BTreeMap<u8, Time>,
    journal: BTreeMap<u16, Vec<Record>>,
    key_owner: BTreeMap<u16, (usize, u64)>,
    pub(crate) faults: Faults,
    pub(crate) rng: fastrand::Rng,
    pub(crate) finished: BTreeSet<usize>,
    pub(crate) send_times: BTreeMap<usize, Vec<Time>>,
    moving: BTreeSet<usize>,
    /// Whether faults and times are fixed, as scripts need it, instead of random.
    pub(crate) scripted: bool,
    pub(crate) log: Vec<String>,
    issued_count: u64,
}

impl Cluster {
    pub(crate) fn new(instances: usize, executors: usize, slots: u32, seed: u64) -> Self {
        let mut cluster = Self {
            now: Time::from_ms(1),
            instances: Vec::new(),
            executors: (0..executors).map(|_| FakeExecutor::default()).collect(),
            slots,
            pending: BTreeMap::new(),
            serial: 0,
            issued: BTreeMap::new(),
            key_runs: BTreeMap::new(),
            journal: BTreeMap::new(),
            key_owner: BTreeMap::new(),
            faults: Faults::default(),
            rng: fastrand::Rng::with_seed(seed),
            finished: BTreeSet::new(),
            send_times: BTreeMap::new(),
            moving: BTreeSet::new(),
            scripted: false,
            log: Vec::new(),
            issued_count: 0,
        };
        for instance in 0..instances {
            let new = cluster.new_instance(instance, 1);
            cluster.instances.push(new);
            cluster.initialize(instance);
        }
        for executor in 0..executors {
            let instance = executor % instances;
            cluster.executors[executor].epoch = 1;
            cluster.assign_executor(executor, instance, InProgress::Known(0));
        }
        for shard in 0..SHARDS {
            cluster.assign_keys(shard, usize::from(shard) % instances);
        }
        cluster.send_heartbeats();
        cluster.advance(Span::ZERO);
        cluster
    }

    pub(crate) fn new_instance(&mut self, instance: usize, incarnation: u64) -> Instance {
        let settings = Settings {
            instance: Some(name(&format!("i{instance}"))),
            domain: Some(name("d0")),
            hand_over_timeout: Span::from_ms(20),
            hedge_budget: Share::new(0.5),
            keys: sycamorerill_calls::keys::Settings { shards: SHARDS, ..Default::default() },
            ..Settings::default()
        };
        Instance {
            router: Some(Router::new(settings, self.rng.u64(..))),
            paused: false,
            draining: false,
            next_tick: None,
            incarnation,
            inbox: VecDeque::new(),
            outbox: Vec::new(),
            origins: BTreeMap::new(),
            next_call: 0,
            assumed_shards: BTreeSet::new(),
        }
    }

    pub(crate) fn list(&self, leaving: Option<usize>) -> Vec<Executor> {
        let one = |executor| Executor {
            name: executor_name(executor),
            service: name("quote"),
            domain: name("d0"),
            slots: self.slots,
            leaving: leaving == Some(executor),
        };
        (0..self.executors.len()).map(one).collect()
    }

    pub(crate) fn initialize(&mut self, instance: usize) {
        self.event(instance, Event::Configured(config()));
        self.event(instance, Event::ExecutorsListed(self.list(None)));
        for (shard, (owner, _)) in self.key_owner.clone() {
            let owner = Some(instance_name(owner)).filter(|_| owner != instance);
            self.event(instance, Event::KeyOwnerChanged { shard: Shard(shard), owner });
        }
    }

    pub(crate) fn assign_executor(
        &mut self,
        executor: usize,
        instance: usize,
        in_progress: InProgress,
    ) {
        self.executors[executor].owner = Some(instance);
        self.executors[executor].epoch += 1;
        let epoch = Epoch(self.executors[executor].epoch);
        self.moving.remove(&executor);
        self.log_line(|| format!("i{instance} owns x{executor}, in progress {in_progress:?}"));
        self.event(
            instance,
            Event::ExecutorOwned { executor: executor_name(executor), epoch, in_progress },
        );
    }

    pub(crate) fn assign_keys(&mut self, shard: u16, instance: usize) {
        self.key_owner.insert(shard, (instance, self.instances[instance].incarnation));
        let records = self.journal.get(&shard).cloned().unwrap_or_default();
        for other in 0..self.instances.len() {
            if other != instance {
                let owner = Some(instance_name(instance));
                self.event(other, Event::KeyOwnerChanged { shard: Shard(shard), owner });
            }
        }
        self.event(instance, Event::KeyShardOwned { shard: Shard(shard), records });
    }

    pub(crate) fn send_heartbeats(&mut self) {
        for instance in 0..self.instances.len() {
            self.send_heartbeat(instance);
        }
    }

    /// Sends the load of an instance to all others.
    pub(crate) fn send_heartbeat(&mut self, instance: usize) {
        let status = match &self.instances[instance].router {
            Some(router) if !self.instances[instance].paused => router.status(),
            _ => return,
        };
        for other in (0..self.instances.len()).filter(|other| *other != instance) {
            let event = Event::PeerHeartbeat {
                name: instance_name(instance),
                domain: name("d0"),
                status: status.clone(),
            };
            let incarnation = self.instances[other].incarnation;
            self.schedule(Span::ZERO, Action::Deliver(other, incarnation, event));
        }
    }

    pub(crate) fn schedule(&mut self, after: Span, action: Action) {
        self.serial += 1;
        self.pending.insert((self.now + after, self.serial), action);
    }

    pub(crate) fn network_delay(&mut self) -> Span {
        if self.scripted { Span::from_ms(1) } else { Span::from_ms(self.rng.u64(0..4)) }
    }

    /// Returns whether an enabled fault occurs: at random, or always in scripts.
    pub(crate) fn fault_occurs(&mut self, fault: bool) -> bool {
        fault && (self.scripted || self.rng.bool())
    }

    pub(crate) fn log_line(&mut self, text: impl FnOnce() -> String) {
        if self.scripted {
            let line = format!("{}ms {}", self.now.as_ms(), text());
            self.log.push(line);
        }
    }

    /// Delivers an event to an instance now, or at the end of its pause.
    pub(crate) fn event(&mut self, instance: usize, event: Event) {
        let target = &mut self.instances[instance];
        if target.paused {
            target.inbox.push_back(event);
            return;
        }
        let Some(router) = target.router.as_mut() else { return };
        match &event {
            Event::KeyShardOwned { shard, .. } => drop(target.assumed_shards.insert(shard.0)),
            Event::KeyOwnerChanged { shard, .. } => drop(target.assumed_shards.remove(&shard.0)),
            _ => {}
        }
        let mut out = Vec::new();
        router.handle(self.now, event, &mut out);
        let due = router.next_wake().filter(|at| target.next_tick.is_none_or(|next| *at < next));
        if let Some(at) = due {
            target.next_tick = Some(at);
            let incarnation = target.incarnation;
            self.schedule(at.since(self.now), Action::Tick(instance, incarnation));
        }
        for command in out {
            self.execute(instance, command);
        }
    }
}

pub(crate) fn key_of(key: u8) -> Key {
    Key { text: Bytes::copy_from_slice(&[key]), digest: u64::from(key) }
}

pub(crate) fn executor_name(executor: usize) -> ExecutorName {
    name(&format!("x{executor}"))
}

pub(crate) fn executor_number(executor: &ExecutorName) -> usize {
    executor.as_str()[1..].parse().unwrap()
}

pub(crate) fn instance_name(instance: usize) -> InstanceName {
    name(&format!("i{instance}"))
}
