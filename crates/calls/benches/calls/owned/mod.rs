//! Policy of the product: routers of this crate, each executor owned by one of them.

mod faults;
mod forward;
mod names;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use sycamorerill_calls::keys::{Key, Record, Shard};
use sycamorerill_calls::router::{
    Call, Command, Event, Executor, InProgress, KeyRecordError, Outcome, PeerAnswer, Reason,
    Router, SendOutcome, Settings,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, Epoch};
use sycamorerill_core::model::Config;
use sycamorerill_core::rate::Share;

use names::{Names, config, names};

use crate::environment::{Environment, delay_ms, domain};
use crate::scenario::Fault;
use crate::sim::{Action, DEADLINE_MS, DOMAINS, EXECUTORS, INSTANCES, Response, SLOTS};

const HEARTBEAT_MS: f64 = 100.0;
/// Time from a crash until the end of the process is proved and recorded, in milliseconds.
const CRASH_DETECTION_MS: f64 = 1_000.0;
/// Time to write a change of ownership, in milliseconds.
const OWNERSHIP_WRITE_MS: f64 = 5.0;
const RESTART_MS: f64 = 2_000.0;
/// Time over which records of keys are batched into one append, in milliseconds.
const GROUP_COMMIT_MS: f64 = 50.0;
const SHARDS: u16 = 64;
const HEARTBEAT_BYTES: u64 = 96;
const REQUEST_BYTES: u64 = 512;
const ANSWER_BYTES: u64 = 1_024;

/// Delivery to an instance other than an answer of an executor.
#[derive(Clone, Debug)]
pub(crate) enum Delivery {
    Event(Box<Event>),
    Own { executor: usize, in_progress: InProgress },
    Commit,
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct Origin {
    call: u32,
    /// Peer that forwarded the call: its instance, incarnation, call and attempt.
    from: Option<(usize, u32, CallId, Attempt)>,
}

struct Instance {
    router: Router,
    alive: bool,
    draining: bool,
    paused: bool,
    inbox: Vec<Event>,
    incarnation: u32,
    wake_ms: Option<f64>,
    origins: BTreeMap<CallId, Origin>,
    next_id: u64,
    records: Vec<CallId>,
}

pub(crate) struct Owned {
    instances: Vec<Instance>,
    names: Names,
    config: Arc<Config>,
    owners: Vec<Option<usize>>,
    /// Instance to which a released executor must be handed over.
    target_owner: Vec<Option<usize>>,
    epoch: u64,
    hedge_budget: Share,
    out: Vec<Command>,
}

fn time(ms: f64) -> Time {
    Time::ZERO + Span::from_ms_f64(ms)
}

fn initial_owner(executor: usize) -> usize {
    let near: Vec<usize> =
        (0..INSTANCES).filter(|instance| domain(*instance) == domain(executor)).collect();
    near[executor / DOMAINS % near.len()]
}

impl Owned {
    pub(crate) fn new(env: &mut Environment, hedge_budget: f64) -> Self {
        let names = names();
        let config = Arc::new(config(&names));
        let mut owned = Self {
            instances: Vec::new(),
            config,
            owners: vec![None; EXECUTORS],
            target_owner: vec![None; EXECUTORS],
            epoch: 0,
            hedge_budget: Share::new(hedge_budget),
            out: Vec::new(),
            names,
        };
        for instance in 0..INSTANCES {
            let new = owned.new_instance(env, instance, 0);
            owned.instances.push(new);
            owned.initialize(env, instance);
        }
        for executor in 0..EXECUTORS {
            owned.assign_executor(env, initial_owner(executor), executor, InProgress::Known(0));
        }
        for shard in 0..SHARDS {
            owned.assign_keys(env, shard, usize::from(shard) % INSTANCES);
        }
        owned
    }

    fn new_instance(&self, env: &mut Environment, instance: usize, incarnation: u32) -> Instance {
        let settings = Settings {
            instance: Some(self.names.instances[instance].clone()),
            domain: Some(self.names.domains[domain(instance)].clone()),
            hedge_budget: self.hedge_budget,
            ..Settings::default()
        };
        Instance {
            router: Router::new(settings, env.rng.u64(..)),
            alive: true,
            draining: false,
            paused: false,
            inbox: Vec::new(),
            incarnation,
            wake_ms: None,
            origins: BTreeMap::new(),
            next_id: u64::from(incarnation) << 32,
            records: Vec::new(),
        }
    }

    fn initialize(&mut self, env: &mut Environment, instance: usize) {
        let list = (0..EXECUTORS).map(|executor| Executor {
            name: self.names.executors[executor].clone(),
            service: self.names.service.clone(),
            domain: self.names.domains[domain(executor)].clone(),
            slots: SLOTS,
            leaving: false,
        });
        let list = list.collect();
        self.handle(env, instance, Event::Configured(self.config.clone()));
        self.handle(env, instance, Event::ExecutorsListed(list));
        let incarnation = self.instances[instance].incarnation;
        env.schedule(0.0, Action::Heartbeat { instance, incarnation });
    }

    fn assign_executor(
        &mut self,
        env: &mut Environment,
        instance: usize,
        executor: usize,
        in_progress: InProgress,
    ) {
        self.owners[executor] = Some(instance);
        self.epoch += 1;
        let epoch = Epoch(self.epoch);
        let executor = self.names.executors[executor].clone();
        self.handle(env, instance, Event::ExecutorOwned { executor, epoch, in_progress });
    }

    fn assign_keys(&mut self, env: &mut Environment, shard: u16, instance: usize) {
        for other in (0..INSTANCES).filter(|other| *other != instance) {
            let owner = Some(self.names.instances[instance].clone());
            self.handle(env, other, Event::KeyOwnerChanged { shard: Shard(shard), owner });
        }
        self.handle(
            env,
            instance,
            Event::KeyShardOwned { shard: Shard(shard), records: Vec::new() },
        );
    }

    /// Passes an event to a router and executes its commands.
    fn handle(&mut self, env: &mut Environment, instance: usize, event: Event) {
        if !self.instances[instance].alive {
            return;
        }
        if self.instances[instance].paused {
            return self.instances[instance].inbox.push(event);
        }
        let mut out = std::mem::take(&mut self.out);
        let entry = &mut self.instances[instance];
        entry.router.handle(time(env.now_ms), event, &mut out);
        let next = entry.router.next_wake().map(|at| at.since(Time::ZERO).as_ms_f64());
        if let Some(at_ms) = next.filter(|at| entry.wake_ms.is_none_or(|wake| *at < wake)) {
            entry.wake_ms = Some(at_ms);
            let incarnation = entry.incarnation;
            env.schedule((at_ms - env.now_ms).max(0.0), Action::Timer { instance, incarnation });
        }
        for command in out.drain(..) {
            self.execute(env, instance, command);
        }
        self.out = out;
    }

    fn execute(&mut self, env: &mut Environment, instance: usize, command: Command) {
        let incarnation = self.instances[instance].incarnation;
        match command {
            Command::Send { call, attempt, executor, .. } => {
                let executor = self.names.numbers[&executor];
                let number = self.instances[instance].origins[&call].call;
                env.send(instance, incarnation, executor, number, call.0 << 8 | attempt.0);
            }
            Command::Forward { call, attempt, peer, deadline, hops, key_recorded } => {
                let to = self.names.instance_numbers[&peer];
                self.forward(env, instance, (call, attempt), to, deadline, hops, key_recorded);
            }
            Command::Reply { call, outcome } => self.reply(env, instance, call, outcome),
            Command::Journal { call, record } => self.journal(env, instance, call, &record),
            Command::Probe { executor } => {
                let number = self.names.numbers[&executor];
                let ms = 2.0 * delay_ms(instance, number) + 1.0;
                let healthy = !env.executors[number].lost;
                let event = Event::Probed { executor, healthy, latency: Span::from_ms_f64(ms) };
                self.deliver(env, instance, ms, Delivery::Event(Box::new(event)));
            }
            Command::HandOver { executor, in_progress } => {
                let executor = self.names.numbers[&executor];
                let in_progress = InProgress::Known(in_progress);
                let to = self.target_owner[executor]
                    .take()
                    .unwrap_or_else(|| self.least_loaded(instance));
                self.owners[executor] = Some(to);
                self.deliver(env, to, OWNERSHIP_WRITE_MS, Delivery::Own { executor, in_progress });
            }
            Command::DrainComplete => self.exit(env, instance),
            Command::Announce => self.announce(env, instance),
            Command::DropAnswer { .. } | Command::Decision(_) => {}
        }
    }

    fn deliver(
        &mut self,
        env: &mut Environment,
        instance: usize,
        after_ms: f64,
        delivery: Delivery,
    ) {
        let incarnation = self.instances[instance].incarnation;
        env.schedule(after_ms, Action::Delivery { instance, incarnation, delivery });
    }

    /// Returns the instance with the fewest executors that is neither draining nor `excluded`.
    fn least_loaded(&self, excluded: usize) -> usize {
        let staying = (0..INSTANCES).filter(|instance| {
            *instance != excluded
                && self.instances[*instance].alive
                && !self.instances[*instance].draining
        });
        let count =
            |instance: &usize| self.owners.iter().filter(|o| **o == Some(*instance)).count();
        staying.min_by_key(count).unwrap_or(excluded)
    }

    pub(crate) fn arrived(&mut self, env: &mut Environment, instance: usize, number: u32) {
        let id = self.add_origin(instance, Origin { call: number, from: None });
        let deadline = time(env.now_ms + DEADLINE_MS);
        let call = self.call(env, id, number, deadline, 0, false);
        self.handle(env, instance, Event::Arrived(call));
    }

    pub(crate) fn answered(
        &mut self,
        env: &mut Environment,
        instance: usize,
        incarnation: u32,
        _number: u32,
        tag: u64,
        answer: Response,
    ) {
        if self.instances[instance].incarnation != incarnation {
            return;
        }
        let answer = match answer {
            Response::Complete => SendOutcome::Complete { status: 200 },
            Response::NotSent => SendOutcome::NotSent,
            Response::Lost => SendOutcome::TimedOut,
        };
        let (call, attempt) = (CallId(tag >> 8), Attempt(tag & 0xff));
        self.handle(env, instance, Event::Answered { call, attempt, answer });
    }

    fn journal(&mut self, env: &mut Environment, instance: usize, call: CallId, record: &Record) {
        if env.scenario.fault == Fault::StoreDown {
            if matches!(record, Record::Begun { .. }) {
                let event = Event::KeyNotDurable { call, error: KeyRecordError::Unavailable };
                self.deliver(env, instance, 1.0, Delivery::Event(Box::new(event)));
            }
            return;
        }
        if self.instances[instance].records.is_empty() {
            self.deliver(env, instance, GROUP_COMMIT_MS, Delivery::Commit);
        }
        self.instances[instance].records.push(call);
    }

    fn commit(&mut self, env: &mut Environment, instance: usize) {
        env.stats.appends += u64::from(env.is_measured());
        for call in std::mem::take(&mut self.instances[instance].records) {
            self.handle(env, instance, Event::KeyDurable { call });
        }
    }

    pub(crate) fn received(
        &mut self,
        env: &mut Environment,
        instance: usize,
        incarnation: u32,
        delivery: Delivery,
    ) {
        if self.instances[instance].incarnation != incarnation {
            return;
        }
        match delivery {
            Delivery::Event(event) => self.handle(env, instance, *event),
            Delivery::Own { executor, in_progress } => {
                self.assign_executor(env, instance, executor, in_progress)
            }
            Delivery::Commit => self.commit(env, instance),
            Delivery::Restart => self.restart(env, instance),
        }
    }

    pub(crate) fn handle_timer(
        &mut self,
        env: &mut Environment,
        instance: usize,
        incarnation: u32,
    ) {
        if self.instances[instance].incarnation == incarnation {
            self.instances[instance].wake_ms = None;
            self.handle(env, instance, Event::Tick);
        }
    }

    pub(crate) fn send_heartbeat(
        &mut self,
        env: &mut Environment,
        instance: usize,
        incarnation: u32,
    ) {
        if self.instances[instance].incarnation != incarnation || !self.instances[instance].alive {
            return;
        }
        if !self.instances[instance].paused {
            self.announce(env, instance);
        }
        if env.now_ms < env.end_ms() {
            env.schedule(HEARTBEAT_MS, Action::Heartbeat { instance, incarnation });
        }
    }

    fn announce(&mut self, env: &mut Environment, instance: usize) {
        let status = self.instances[instance].router.status();
        for other in (0..INSTANCES).filter(|other| *other != instance) {
            if !self.instances[other].alive {
                continue;
            }
            env.record_messages(1, HEARTBEAT_BYTES);
            let event = Event::PeerHeartbeat {
                name: self.names.instances[instance].clone(),
                domain: self.names.domains[domain(instance)].clone(),
                status: status.clone(),
            };
            self.deliver(env, other, delay_ms(instance, other), Delivery::Event(Box::new(event)));
        }
    }
}
