//! The routers that ship, each executor's slots owned by one of them.

mod faults;
mod forward;
mod names;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use sycamorerill_calls::keys::{Key, Record, Shard};
use sycamorerill_calls::router::{
    Answer, Call, Command, Event, Executor, InProgress, Outcome, PeerAnswer, Reason, Refusal,
    Router, Settings,
};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, Epoch};
use sycamorerill_core::model::Config;
use sycamorerill_core::rate::Share;

use names::{Names, config, names};

use crate::net::{Net, delay_ms, domain};
use crate::scenario::Fault;
use crate::sim::{DEADLINE_MS, DOMAINS, EXECUTORS, Item, NODES, Reach, SLOTS};

const BEAT_MS: f64 = 100.0;
/// Time from a crash to the proof that the process is gone and the record that says so.
const PROOF_MS: f64 = 1_000.0;
/// Time to change the record of an owner.
const RECORD_MS: f64 = 5.0;
const RESTART_MS: f64 = 2_000.0;
/// Time over which records of keys are gathered into one append.
const GROUP_MS: f64 = 50.0;
const SHARDS: u16 = 64;
const BEAT_BYTES: u64 = 96;
const REQUEST_BYTES: u64 = 512;
const ANSWER_BYTES: u64 = 1_024;

/// What reaches a node beside answers of executors.
#[derive(Clone, Debug)]
pub(crate) enum Note {
    Event(Box<Event>),
    Own { executor: usize, in_progress: InProgress },
    Commit,
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct Origin {
    call: u32,
    /// Peer that forwarded the call: node, life, call and attempt there.
    from: Option<(usize, u32, CallId, Attempt)>,
}

struct Node {
    router: Router,
    up: bool,
    draining: bool,
    paused: bool,
    inbox: Vec<Event>,
    life: u32,
    wake_ms: Option<f64>,
    origins: BTreeMap<CallId, Origin>,
    next_id: u64,
    records: Vec<CallId>,
}

pub(crate) struct Owned {
    nodes: Vec<Node>,
    names: Names,
    config: Arc<Config>,
    owners: Vec<Option<usize>>,
    /// Node that an executor is to be handed to.
    wanted: Vec<Option<usize>>,
    epoch: u64,
    hedge_budget: Share,
    out: Vec<Command>,
}

fn time(ms: f64) -> Time {
    Time::ZERO + Span::from_ms_f64(ms)
}

fn first_owner(executor: usize) -> usize {
    let near: Vec<usize> = (0..NODES).filter(|node| domain(*node) == domain(executor)).collect();
    near[executor / DOMAINS % near.len()]
}

impl Owned {
    pub(crate) fn new(net: &mut Net, hedge_budget: f64) -> Self {
        let names = names();
        let config = Arc::new(config(&names));
        let mut owned = Self {
            nodes: Vec::new(),
            config,
            owners: vec![None; EXECUTORS],
            wanted: vec![None; EXECUTORS],
            epoch: 0,
            hedge_budget: Share::new(hedge_budget),
            out: Vec::new(),
            names,
        };
        for node in 0..NODES {
            let new = owned.node(net, node, 0);
            owned.nodes.push(new);
            owned.introduce(net, node);
        }
        for executor in 0..EXECUTORS {
            owned.own(net, first_owner(executor), executor, InProgress::Known(0));
        }
        for shard in 0..SHARDS {
            owned.own_keys(net, shard, usize::from(shard) % NODES);
        }
        owned
    }

    fn node(&self, net: &mut Net, node: usize, life: u32) -> Node {
        let settings = Settings {
            instance: Some(self.names.instances[node].clone()),
            domain: Some(self.names.domains[domain(node)].clone()),
            hedge_budget: self.hedge_budget,
            ..Settings::default()
        };
        Node {
            router: Router::new(settings, net.rng.u64(..)),
            up: true,
            draining: false,
            paused: false,
            inbox: Vec::new(),
            life,
            wake_ms: None,
            origins: BTreeMap::new(),
            next_id: u64::from(life) << 32,
            records: Vec::new(),
        }
    }

    fn introduce(&mut self, net: &mut Net, node: usize) {
        let list = (0..EXECUTORS).map(|executor| Executor {
            name: self.names.executors[executor].clone(),
            service: self.names.service.clone(),
            domain: self.names.domains[domain(executor)].clone(),
            slots: SLOTS,
            leaving: false,
        });
        let list = list.collect();
        self.handle(net, node, Event::Configured(self.config.clone()));
        self.handle(net, node, Event::Listed(list));
        let life = self.nodes[node].life;
        net.after(0.0, Item::Beat { node, life });
    }

    fn own(&mut self, net: &mut Net, node: usize, executor: usize, in_progress: InProgress) {
        self.owners[executor] = Some(node);
        self.epoch += 1;
        let epoch = Epoch(self.epoch);
        let executor = self.names.executors[executor].clone();
        self.handle(net, node, Event::Owned { executor, epoch, in_progress });
    }

    fn own_keys(&mut self, net: &mut Net, shard: u16, node: usize) {
        for other in (0..NODES).filter(|other| *other != node) {
            let owner = Some(self.names.instances[node].clone());
            self.handle(net, other, Event::KeysMoved { shard: Shard(shard), owner });
        }
        self.handle(net, node, Event::KeysOwned { shard: Shard(shard), records: Vec::new() });
    }

    /// Lets a router handle an event and carries its commands out.
    fn handle(&mut self, net: &mut Net, node: usize, event: Event) {
        if !self.nodes[node].up {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].inbox.push(event);
        }
        let mut out = std::mem::take(&mut self.out);
        let entry = &mut self.nodes[node];
        entry.router.handle(time(net.now_ms), event, &mut out);
        let next = entry.router.next_wake().map(|at| at.since(Time::ZERO).as_ms_f64());
        if let Some(at_ms) = next.filter(|at| entry.wake_ms.is_none_or(|wake| *at < wake)) {
            entry.wake_ms = Some(at_ms);
            let life = entry.life;
            net.after((at_ms - net.now_ms).max(0.0), Item::Wake { node, life });
        }
        for command in out.drain(..) {
            self.carry_out(net, node, command);
        }
        self.out = out;
    }

    fn carry_out(&mut self, net: &mut Net, node: usize, command: Command) {
        let life = self.nodes[node].life;
        match command {
            Command::Send { call, attempt, executor, .. } => {
                let executor = self.names.numbers[&executor];
                let number = self.nodes[node].origins[&call].call;
                net.send(node, life, executor, number, call.0 << 8 | attempt.0);
            }
            Command::Forward { call, attempt, peer, deadline, hops, claimed } => {
                let to = self.names.instance_numbers[&peer];
                self.forward(net, node, (call, attempt), to, deadline, hops, claimed);
            }
            Command::Reply { call, outcome } => self.reply(net, node, call, outcome),
            Command::Journal { call, record } => self.journal(net, node, call, &record),
            Command::Probe { executor } => {
                let number = self.names.numbers[&executor];
                let ms = 2.0 * delay_ms(node, number) + 1.0;
                let healthy = !net.executors[number].lost;
                let event = Event::Probed { executor, healthy, latency: Span::from_ms_f64(ms) };
                self.note(net, node, ms, Note::Event(Box::new(event)));
            }
            Command::Drained { executor, in_progress } => {
                let executor = self.names.numbers[&executor];
                let in_progress = InProgress::Known(in_progress);
                let to = self.wanted[executor].take().unwrap_or_else(|| self.poorest(node));
                self.owners[executor] = Some(to);
                self.note(net, to, RECORD_MS, Note::Own { executor, in_progress });
            }
            Command::Finished => self.leave(net, node),
            Command::Announce => self.announce(net, node),
            Command::Forget { .. } | Command::Decision(_) => {}
        }
    }

    fn note(&mut self, net: &mut Net, node: usize, after_ms: f64, note: Note) {
        let life = self.nodes[node].life;
        net.after(after_ms, Item::Note { node, life, note });
    }

    /// Returns the node with the fewest executors that stays.
    fn poorest(&self, but: usize) -> usize {
        let staying = (0..NODES)
            .filter(|node| *node != but && self.nodes[*node].up && !self.nodes[*node].draining);
        let count = |node: &usize| self.owners.iter().filter(|o| **o == Some(*node)).count();
        staying.min_by_key(count).unwrap_or(but)
    }

    pub(crate) fn arrived(&mut self, net: &mut Net, node: usize, number: u32) {
        let id = self.enter(node, Origin { call: number, from: None });
        let deadline = time(net.now_ms + DEADLINE_MS);
        let call = self.call(net, id, number, deadline, 0, false);
        self.handle(net, node, Event::Arrived(call));
    }

    pub(crate) fn answered(
        &mut self,
        net: &mut Net,
        node: usize,
        life: u32,
        _number: u32,
        tag: u64,
        answer: Reach,
    ) {
        if self.nodes[node].life != life {
            return;
        }
        let answer = match answer {
            Reach::Whole => Answer::Whole { status: 200 },
            Reach::NotSent => Answer::NotSent,
            Reach::Silent => Answer::Expired,
        };
        let (call, attempt) = (CallId(tag >> 8), Attempt(tag & 0xff));
        self.handle(net, node, Event::Answered { call, attempt, answer });
    }

    fn journal(&mut self, net: &mut Net, node: usize, call: CallId, record: &Record) {
        if net.scenario.fault == Fault::StoreDown {
            if matches!(record, Record::Begun { .. }) {
                let event = Event::KeyRefused { call, refusal: Refusal::Down };
                self.note(net, node, 1.0, Note::Event(Box::new(event)));
            }
            return;
        }
        if self.nodes[node].records.is_empty() {
            self.note(net, node, GROUP_MS, Note::Commit);
        }
        self.nodes[node].records.push(call);
    }

    fn commit(&mut self, net: &mut Net, node: usize) {
        net.tally.appends += u64::from(net.is_measured());
        for call in std::mem::take(&mut self.nodes[node].records) {
            self.handle(net, node, Event::KeyDurable { call });
        }
    }

    pub(crate) fn noted(&mut self, net: &mut Net, node: usize, life: u32, note: Note) {
        if self.nodes[node].life != life {
            return;
        }
        match note {
            Note::Event(event) => self.handle(net, node, *event),
            Note::Own { executor, in_progress } => self.own(net, node, executor, in_progress),
            Note::Commit => self.commit(net, node),
            Note::Restart => self.restart(net, node),
        }
    }

    pub(crate) fn woken(&mut self, net: &mut Net, node: usize, life: u32) {
        if self.nodes[node].life == life {
            self.nodes[node].wake_ms = None;
            self.handle(net, node, Event::Tick);
        }
    }

    pub(crate) fn beat(&mut self, net: &mut Net, node: usize, life: u32) {
        if self.nodes[node].life != life || !self.nodes[node].up {
            return;
        }
        if !self.nodes[node].paused {
            self.announce(net, node);
        }
        if net.now_ms < net.end_ms() {
            net.after(BEAT_MS, Item::Beat { node, life });
        }
    }

    fn announce(&mut self, net: &mut Net, node: usize) {
        let status = self.nodes[node].router.status();
        for other in (0..NODES).filter(|other| *other != node) {
            if !self.nodes[other].up {
                continue;
            }
            net.message(1, BEAT_BYTES);
            let event = Event::Peer {
                name: self.names.instances[node].clone(),
                domain: self.names.domains[domain(node)].clone(),
                status: status.clone(),
            };
            self.note(net, other, delay_ms(node, other), Note::Event(Box::new(event)));
        }
    }
}
