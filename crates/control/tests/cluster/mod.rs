//! Simulation of several agents in virtual time, with a network, a store and faults.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod node;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fastrand::Rng;
use sycamorerill_control::agent::{Command, Event, Settings};
use sycamorerill_control::membership::{Evidence, ListEntry};
use sycamorerill_control::ownership::{Acquisition, Kind, Shard};
use sycamorerill_control::penalties::{Miss, MissId};
use sycamorerill_control::store::{Request, RequestId, Response};
use sycamorerill_control::{config, penalties, session};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Incarnation, InstanceName, Version};

pub use node::Node;
pub use store::Store;

/// Time after which a response counts as lost.
const REQUEST_TIMEOUT: Span = Span::from_ms(1_000);

/// Faults of the simulated store and network.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether the store rejects all requests.
    pub store_down: bool,
    /// Delay added to each store request.
    pub store_delay: Span,
    /// Fraction of transactions that take effect but whose responses are lost.
    pub lost_answers: f64,
    /// Fraction of transactions that take effect long after their responses timed out.
    pub late_writes: f64,
    /// Fraction of messages that are lost.
    pub lost_messages: f64,
}

enum SimulatedEvent {
    Message { to: InstanceName, from: InstanceName, bytes: Bytes },
    Arrive { node: InstanceName, generation: u64, id: RequestId, request: Request },
    Late { request: Request },
    Answer { node: InstanceName, generation: u64, id: RequestId, response: Response },
    Probe { node: InstanceName, generation: u64, session: session::Name },
    Wake { node: InstanceName, generation: u64 },
}

/// Simulated agents, network and store.
pub struct Cluster {
    pub now: Time,
    pub rng: Rng,
    pub store: Store,
    pub faults: Faults,
    pub nodes: BTreeMap<InstanceName, Node>,
    pub partitioned: BTreeSet<(InstanceName, InstanceName)>,
    pub store_unreachable: BTreeSet<InstanceName>,
    pub listed: BTreeSet<InstanceName>,
    pub template: Settings,
    pub violations: Vec<String>,
    pub log: Vec<(Time, InstanceName, String)>,
    pub outcomes: BTreeMap<config::ApplyId, (Time, config::Outcome)>,
    pub settled: BTreeMap<penalties::SettleId, Result<penalties::Settlement, penalties::Failure>>,
    pub messages: u64,
    pub bytes: u64,
    pub processed_events: u64,
    /// Shards gained, with the time, the instance and how it became the owner.
    pub gained_shards: Vec<(Time, InstanceName, Shard, Acquisition)>,
    /// Wall-clock time spent in the agents.
    pub agent_time: std::time::Duration,
    pub wakes: u64,
    /// Payloads that were durable when their instance ended.
    pub durable: Vec<(Shard, u64)>,
    /// Subjects of misses that were not durable and may not have been replicated when
    /// their instance ended.
    pub possibly_lost: BTreeSet<u64>,
    pub missed: BTreeSet<u64>,
    queue: BTreeMap<(Time, u64), SimulatedEvent>,
    next_event: u64,
}

pub fn name(text: &str) -> InstanceName {
    text.parse().unwrap()
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let template = Settings::new(name("x"), Incarnation(0), "d1".parse().unwrap());
        Self {
            now: Time::from_ms(1_000),
            rng: Rng::with_seed(seed),
            store: Store::default(),
            faults: Faults::default(),
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            store_unreachable: BTreeSet::new(),
            listed: BTreeSet::new(),
            template,
            violations: Vec::new(),
            log: Vec::new(),
            outcomes: BTreeMap::new(),
            settled: BTreeMap::new(),
            messages: 0,
            bytes: 0,
            processed_events: 0,
            gained_shards: Vec::new(),
            agent_time: std::time::Duration::ZERO,
            wakes: 0,
            durable: Vec::new(),
            possibly_lost: BTreeSet::new(),
            missed: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// Starts an instance. An instance that ran before starts as a new process.
    pub fn start(&mut self, instance: &InstanceName, domain: &str, peers: &[InstanceName]) {
        self.listed.insert(instance.clone());
        let before = self.nodes.remove(instance);
        let generation = before.as_ref().map_or(0, |node| node.generation) + 1;
        let carried = before.map(|node| node.carried).unwrap_or_default();
        let settings = Settings {
            instance: instance.clone(),
            incarnation: Incarnation(self.now.as_ms()),
            domain: domain.parse().unwrap(),
            peers: peers.to_vec(),
            seed: self.rng.u64(..),
            ..self.template.clone()
        };
        self.nodes.insert(instance.clone(), Node::new(settings, generation, carried));
        self.event(instance, Event::Tick);
    }

    /// Ends the process of an instance.
    pub fn kill(&mut self, instance: &InstanceName) {
        if let Some(node) = self.nodes.get_mut(instance) {
            node.alive = false;
            node.serving.clear();
            self.durable.append(&mut node.durable);
            let pending = node.agent.pending_misses();
            let lost = pending.keys().filter(|id| !node.carried.contains_key(id));
            self.possibly_lost.extend(lost.map(|id| id.subject));
            self.violations.append(&mut node.violations);
        }
    }

    /// Pauses the process of an instance.
    pub fn pause(&mut self, instance: &InstanceName, span: Span) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(instance) {
            node.paused_until = until;
        }
    }

    /// Partitions two groups of instances from each other, or connects them again.
    pub fn set_partition(
        &mut self,
        one: &[InstanceName],
        other: &[InstanceName],
        partitioned: bool,
    ) {
        for a in one {
            for b in other {
                for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
                    match partitioned {
                        true => _ = self.partitioned.insert(pair),
                        false => _ = self.partitioned.remove(&pair),
                    }
                }
            }
        }
    }

    /// Sends an event to an instance if its process is running.
    pub fn event(&mut self, instance: &InstanceName, event: Event) {
        let Some(node) = self.nodes.get_mut(instance) else { return };
        if !node.alive {
            return;
        }
        let mut commands = Vec::new();
        let started = std::time::Instant::now();
        node.agent.handle(self.now, event, &mut commands);
        self.agent_time += started.elapsed();
        let generation = node.generation;
        for command in commands {
            self.command(instance, generation, command);
        }
        self.schedule_wake(instance);
    }

    /// Adds a missed target on an instance.
    pub fn miss(&mut self, instance: &InstanceName, subject: u64, minute: u64) {
        let miss = new_miss(subject, minute);
        let Some(node) = self.nodes.get_mut(instance).filter(|node| node.alive) else { return };
        if node.agent.add_miss(miss).is_ok() {
            self.missed.insert(subject);
        }
        self.event(instance, Event::Tick);
    }

    /// Processes events until the given instant.
    pub fn run_until(&mut self, end: Time) {
        while let Some((key, _)) = self.queue.first_key_value() {
            let key = *key;
            if key.0 > end {
                break;
            }
            let Some(event) = self.queue.remove(&key) else { break };
            self.now = key.0;
            self.process(event);
        }
        self.now = end;
    }

    pub fn run(&mut self, span: Span) {
        self.run_until(self.now + span);
    }

    /// Sends the platform's list to every instance.
    pub fn list(&mut self) {
        let entries: Vec<ListEntry> = self
            .listed
            .iter()
            .map(|instance| ListEntry { instance: instance.clone(), leaving: false })
            .collect();
        let instances: Vec<InstanceName> = self.nodes.keys().cloned().collect();
        for instance in instances {
            self.event(&instance, Event::InstancesListed { entries: entries.clone() });
        }
    }

    fn schedule(&mut self, delay: Span, event: SimulatedEvent) {
        self.next_event += 1;
        self.queue.insert((self.now + delay, self.next_event), event);
    }

    fn schedule_wake(&mut self, instance: &InstanceName) {
        let Some(node) = self.nodes.get_mut(instance) else { return };
        let wake = node.agent.next_wake(self.now).max(self.now + Span::from_ms(1));
        if wake == Time::MAX || (node.wake > self.now && node.wake <= wake) {
            return;
        }
        node.wake = wake;
        let (node, generation) = (instance.clone(), node.generation);
        self.schedule(wake.since(self.now), SimulatedEvent::Wake { node, generation });
    }

    fn is_running(&self, instance: &InstanceName, generation: u64) -> bool {
        self.nodes.get(instance).is_some_and(|node| node.alive && node.generation == generation)
    }

    fn process(&mut self, event: SimulatedEvent) {
        self.processed_events += 1;
        self.wakes += u64::from(matches!(event, SimulatedEvent::Wake { .. }));
        let target = match &event {
            SimulatedEvent::Message { to, .. } => Some(to.clone()),
            SimulatedEvent::Answer { node, .. }
            | SimulatedEvent::Probe { node, .. }
            | SimulatedEvent::Wake { node, .. } => Some(node.clone()),
            SimulatedEvent::Arrive { .. } | SimulatedEvent::Late { .. } => None,
        };
        if let Some(node) = target.and_then(|target| self.nodes.get(&target))
            && node.paused_until > self.now
        {
            let delay = node.paused_until.since(self.now);
            return self.schedule(delay, event);
        }
        match event {
            SimulatedEvent::Message { to, from, bytes } => {
                self.event(&to, Event::Message { from, bytes });
            }
            SimulatedEvent::Arrive { node, generation, id, request } => {
                self.arrive(node, generation, id, request)
            }
            SimulatedEvent::Late { request } => _ = self.store.apply(request),
            SimulatedEvent::Answer { node, generation, id, response } => {
                if self.is_running(&node, generation) {
                    self.event(&node, Event::Store { id, response });
                }
            }
            SimulatedEvent::Probe { node, generation, session } => {
                self.probe(&node, generation, session)
            }
            SimulatedEvent::Wake { node, generation } => {
                // A wake-up that was rescheduled is ignored.
                let replaced = self.nodes.get(&node).is_some_and(|node| node.wake > self.now);
                if self.is_running(&node, generation) && !replaced {
                    if let Some(node) = self.nodes.get_mut(&node) {
                        node.wake = Time::ZERO;
                    }
                    self.event(&node, Event::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, node: InstanceName, generation: u64, id: RequestId, request: Request) {
        let back =
            Span::from_ms_f64(1.0 + 2.0 * self.rng.f64()) + self.faults.store_delay.scale(0.5);
        let transaction = matches!(request, Request::Transact(_));
        if self.faults.store_down || self.store_unreachable.contains(&node) {
            let response = Response::Unavailable;
            return self.schedule(back, SimulatedEvent::Answer { node, generation, id, response });
        }
        if transaction && self.rng.f64() < self.faults.late_writes {
            let delay = Span::from_ms(self.rng.u64(500..6_000));
            self.schedule(delay, SimulatedEvent::Late { request });
            let response = Response::Unknown;
            return self.schedule(
                REQUEST_TIMEOUT,
                SimulatedEvent::Answer { node, generation, id, response },
            );
        }
        let response = self.store.apply(request);
        if transaction && self.rng.f64() < self.faults.lost_answers {
            let response = Response::Unknown;
            return self.schedule(
                REQUEST_TIMEOUT,
                SimulatedEvent::Answer { node, generation, id, response },
            );
        }
        self.schedule(back, SimulatedEvent::Answer { node, generation, id, response });
    }

    fn probe(&mut self, from: &InstanceName, generation: u64, session: session::Name) {
        let target = &session.instance;
        let refused = self.nodes.get(target).is_none_or(|node| !node.alive);
        let partitioned = self.partitioned.contains(&(from.clone(), target.clone()));
        if refused && !partitioned && self.is_running(from, generation) {
            let evidence = Evidence::ConnectionRefused;
            self.event(from, Event::Evidence { session, evidence });
        }
    }

    fn command(&mut self, instance: &InstanceName, generation: u64, command: Command) {
        match command {
            Command::Store { id, request } => {
                let to = Span::from_ms_f64(1.0 + 2.0 * self.rng.f64())
                    + self.faults.store_delay.scale(0.5);
                let node = instance.clone();
                self.schedule(to, SimulatedEvent::Arrive { node, generation, id, request });
            }
            Command::Send { to, message } => self.send(instance, to, message),
            Command::Probe { session } => {
                let node = instance.clone();
                self.schedule(
                    Span::from_ms(3),
                    SimulatedEvent::Probe { node, generation, session },
                );
            }
            Command::ApplyFinished { id, outcome } => {
                self.outcomes.insert(id, (self.now, outcome));
            }
            Command::SettleFinished { id, outcome } => {
                self.settled.insert(id, outcome);
            }
            Command::Fenced { .. } => self.fenced(instance),
            Command::Decision(decision) => {
                self.log.push((self.now, instance.clone(), decision.to_string()));
            }
            command => self.local(instance, command),
        }
    }

    fn send(&mut self, from: &InstanceName, to: InstanceName, bytes: Bytes) {
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        let partitioned = self.partitioned.contains(&(from.clone(), to.clone()));
        if partitioned || self.rng.f64() < self.faults.lost_messages {
            return;
        }
        let delay = Span::from_ms_f64(1.0 + self.rng.f64());
        self.schedule(delay, SimulatedEvent::Message { to, from: from.clone(), bytes });
    }

    fn local(&mut self, instance: &InstanceName, command: Command) {
        if let Command::StartServing(gained) = &command {
            self.check_gained(instance, gained.shard);
            self.gained_shards.push((self.now, instance.clone(), gained.shard, gained.acquisition));
        }
        let now = self.now;
        let Some(node) = self.nodes.get_mut(instance) else { return };
        if let Some(event) = node.command(now, command) {
            self.event(instance, event);
        }
    }

    /// Checks that no other live process, paused or not, serves the same shard of slots.
    fn check_gained(&mut self, instance: &InstanceName, shard: Shard) {
        if shard.kind != Kind::Slots {
            return;
        }
        for (name, node) in &self.nodes {
            if name != instance && node.alive && node.serving.contains_key(&shard) {
                self.violations.push(format!("{shard} is served by both {name} and {instance}"));
            }
        }
    }

    /// Ends a fenced process; it must be restarted.
    fn fenced(&mut self, instance: &InstanceName) {
        let Some(node) = self.nodes.get_mut(instance) else { return };
        node.fence();
        self.kill(instance);
    }

    pub fn version(&self, instance: &InstanceName) -> Version {
        self.nodes.get(instance).map(|node| node.version).unwrap_or_default()
    }

    /// Returns the payloads that any instance has reported as durable.
    pub fn durable_payloads(&self) -> Vec<(Shard, u64)> {
        let running = self.nodes.values().flat_map(|node| node.durable.iter().copied());
        self.durable.iter().copied().chain(running).collect()
    }

    /// Returns all violations found in the simulation.
    pub fn all_violations(&self) -> Vec<String> {
        let violations = self.nodes.values().flat_map(|node| node.violations.iter().cloned());
        let all = self.violations.iter().chain(&self.store.violations).cloned();
        all.chain(violations).collect()
    }

    pub fn alive(&self) -> Vec<InstanceName> {
        let alive = self.nodes.iter().filter(|(_, node)| node.alive);
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Restarts every process that has ended.
    pub fn restart_dead(&mut self, domain: &str) {
        let dead: Vec<InstanceName> = self
            .nodes
            .iter()
            .filter(|(_, node)| !node.alive)
            .map(|(name, _)| name.clone())
            .collect();
        let all: Vec<InstanceName> = self.nodes.keys().cloned().collect();
        for instance in dead {
            self.start(&instance, domain, &all);
        }
    }
}

pub fn new_miss(subject: u64, minute: u64) -> Miss {
    Miss {
        id: MissId {
            minute: penalties::Minute(minute),
            target: "quotes".parse().unwrap(),
            subject,
        },
        team: "counter".parse().unwrap(),
        service: Some("quote".parse().unwrap()),
        amount: sycamorerill_core::money::Amount(250),
    }
}
