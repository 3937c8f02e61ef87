//! The actor that carries the control plane: membership, ownership, journal,
//! configuration and penalties.

mod digests;
mod effects;
mod journal;
mod operate;
mod penalties;
mod release;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use stakker::{Actor, CX, MinTimerKey, call, timer_min};
use sycamorerill_calls::keys;
use sycamorerill_control::agent::{Agent, Command, Event};
use sycamorerill_control::membership::{Evidence, Listing, Standing};
use sycamorerill_control::session;
use sycamorerill_control::store::State;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName};
use sycamorerill_core::model::Config;

pub(crate) use self::release::Release;

use self::journal::Waiting;
use self::operate::Questions;
use super::calls::Calls;
use super::cells::Cells;
use super::message::{Inbox, Message};
use super::shards::Shards;
use crate::event;
use crate::events::Code;
use crate::io::{Pool, Store};
use crate::peer::{self, Hello, Peers};
use crate::shared::Shared;

/// Longest wait for a peer's reply to a control message.
const PEER_TIME: Span = Span::from_secs(2);
/// Questions to all instances at one time.
const MAX_GATHERS: usize = 4;
/// Requests to the store at one time.
const MAX_STORE: usize = 32;

/// What the actor is made of.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) agent: Agent,
    pub(crate) store: Store,
    pub(crate) hello: Hello,
    pub(crate) shards: Shards,
    pub(crate) done: crossbeam_channel::Sender<super::End>,
}

/// The actor.
pub(crate) struct Control {
    parts: Parts,
    calls: Option<Actor<Calls>>,
    cells: Option<Actor<Cells>>,
    config: Arc<Config>,
    content: Bytes,
    addresses: BTreeMap<InstanceName, SocketAddr>,
    /// Newest incarnation of each peer that a message came from.
    incarnations: BTreeMap<InstanceName, Incarnation>,
    /// State of the store as the cells were told.
    store: State,
    waiting: Waiting,
    questions: Questions,
    stores: Pool,
    wake: MinTimerKey,
    gathers: Pool,
    /// Shards of keys that are given up, with their receivers.
    releasing: BTreeMap<keys::Shard, InstanceName>,
    /// Owners of the shards of keys as the calls were told.
    key_owners: BTreeMap<keys::Shard, Option<InstanceName>>,
    commands: Vec<Command>,
    drain: Drain,
}

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Drain {
    begun: bool,
    calls_finished: bool,
}

impl Control {
    /// Starts the actor.
    pub(crate) fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let mut control = Self {
            parts,
            calls: None,
            cells: None,
            config: Arc::default(),
            content: Bytes::new(),
            addresses: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            store: State::Up,
            waiting: Waiting::default(),
            questions: Questions::default(),
            stores: Pool::new("store", MAX_STORE),
            wake: MinTimerKey::default(),
            gathers: Pool::new("gather", MAX_GATHERS),
            releasing: BTreeMap::new(),
            key_owners: BTreeMap::new(),
            commands: Vec::new(),
            drain: Drain::default(),
        };
        control.drive(cx, Event::Tick);
        Some(control)
    }

    /// Tells the actor where calls and cells are.
    pub(crate) fn wire(&mut self, _: CX![], calls: Actor<Calls>, cells: Actor<Cells>) {
        self.calls = Some(calls);
        self.cells = Some(cells);
    }

    /// Tells the agent what happened and carries out its commands.
    fn drive(&mut self, cx: CX![], event: Event) {
        let now = self.parts.shared.clock.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.parts.agent.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.carry_out(cx, command);
        }
        self.commands = commands;
        self.release_keys(cx);
        self.schedule(cx);
        self.check_drained();
    }

    /// Wakes the agent at the instant that it asked for.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        self.drive(cx, Event::Tick);
    }

    fn schedule(&mut self, cx: CX![]) {
        let wake = self.parts.agent.next_wake(self.parts.shared.clock.now());
        let at = self.parts.shared.clock.instant(wake);
        timer_min!(&mut self.wake, at, [cx], tick());
    }

    /// Takes the store's answer to a request.
    pub(crate) fn stored(
        &mut self,
        cx: CX![],
        id: sycamorerill_control::store::RequestId,
        response: sycamorerill_control::store::Response,
    ) {
        self.drive(cx, Event::Store { id, response });
    }

    /// Takes a control message of a peer.
    pub(crate) fn message(&mut self, cx: CX![], from: Hello, bytes: Bytes) {
        self.learn(&from);
        self.drive(cx, Event::Message { from: from.instance, bytes });
    }

    /// Notes where a peer listens.
    pub(crate) fn learn(&mut self, from: &Hello) {
        let incarnation = self.incarnations.entry(from.instance.clone()).or_default();
        *incarnation = from.incarnation.max(*incarnation);
        let known = self.addresses.insert(from.instance.clone(), from.address);
        if known != Some(from.address)
            && let Some(calls) = &self.calls
        {
            call!([calls], member(from.instance.clone(), from.address));
        }
    }

    /// Notes where a peer listens, as the peer itself says.
    pub(crate) fn greeted(&mut self, _: CX![], hello: Hello) {
        self.learn(&hello);
    }

    /// Takes the entry instances that the platform's list names.
    pub(crate) fn listed(&mut self, cx: CX![], entries: Vec<(Listing, SocketAddr)>) {
        let mut listings = Vec::with_capacity(entries.len());
        for (listing, address) in entries {
            if listing.instance != self.parts.hello.instance {
                let known = self.addresses.insert(listing.instance.clone(), address);
                if known != Some(address)
                    && let Some(calls) = &self.calls
                {
                    call!([calls], member(listing.instance.clone(), address));
                }
            }
            listings.push(listing);
        }
        self.drive(cx, Event::Listed { listings });
    }

    /// Notes that the process of an incarnation is gone.
    pub(crate) fn evidence(&mut self, cx: CX![], session: session::Name, evidence: Evidence) {
        self.drive(cx, Event::Evidence { session, evidence });
    }

    fn send(&self, to: &InstanceName, message: Bytes) {
        let Some(address) = self.addresses.get(to).copied() else {
            return;
        };
        self.parts.shared.metrics.sent("control");
        // A message of the incarnation was here before the connection is started, so a
        // refusal shows that its process is gone.
        let incarnation = self.incarnations.get(to).copied();
        let session =
            incarnation.map(|incarnation| session::Name { instance: to.clone(), incarnation });
        let inbox = self.parts.inbox.clone();
        let request = peer::Request::Control(message);
        self.parts.peers.send(address, request, PEER_TIME, move |reply| {
            // Any other loss is the agent's to make good.
            if let (Err(peer::Error::Refused), Some(session)) = (reply, session) {
                inbox.send(Message::Evidence { session, evidence: Evidence::Refused });
            }
        });
    }

    fn probe(&self, session: session::Name) {
        let Some(address) = self.addresses.get(&session.instance).copied() else {
            return;
        };
        let inbox = self.parts.inbox.clone();
        self.parts.peers.send(address, peer::Request::Hello, PEER_TIME, move |reply| {
            let evidence = match reply {
                Err(peer::Error::Refused) => Evidence::Refused,
                Ok(peer::Reply::Hello(hello))
                    if hello.instance == session.instance
                        && hello.incarnation > session.incarnation =>
                {
                    Evidence::Newer
                }
                _ => return,
            };
            inbox.send(Message::Evidence { session, evidence });
        });
    }

    /// Tells the calls who owns the shards of keys, where that has changed.
    pub(crate) fn beat(&mut self, _: CX![]) {
        let store = self.parts.agent.store(self.parts.shared.clock.now());
        self.parts.shared.metrics.set_store(store == State::Up);
        self.tell_store(store);
        let Some(calls) = &self.calls else {
            return;
        };
        for shard in self.parts.shards.all_keys() {
            let place = self.parts.agent.place(Shards::of_keys(shard));
            let owner = place.map(|place| place.instance);
            let own = owner.as_ref() == Some(&self.parts.hello.instance);
            let changed = self.key_owners.get(&shard) != Some(&owner);
            if changed && !own {
                call!([calls], keys_moved(shard, owner.clone()));
            }
            self.key_owners.insert(shard, owner);
        }
    }

    /// Tells the cells when the store has gone down or come up.
    fn tell_store(&mut self, store: State) {
        if std::mem::replace(&mut self.store, store) == store {
            return;
        }
        event!(Code::StoreState, state = store.as_str());
        if let Some(cells) = &self.cells {
            call!([cells], store_is(store == State::Up));
        }
    }

    /// Returns the actor of the cells.
    pub(super) fn cells(&self) -> Option<&Actor<Cells>> {
        self.cells.as_ref()
    }

    /// Returns the instance at which the cell of a failure domain is at work.
    pub(super) fn owner_of_cell(&self, domain: &DomainName) -> Option<InstanceName> {
        let shard = self.parts.shards.of_cell(domain)?;
        Some(self.parts.agent.place(shard)?.instance)
    }

    /// Reports whether `instance` is this one.
    pub(super) fn is_self(&self, instance: &InstanceName) -> bool {
        *instance == self.parts.hello.instance
    }

    /// Returns the address at which an instance listens for peers.
    pub(super) fn address_of(&self, instance: &InstanceName) -> Option<SocketAddr> {
        self.addresses.get(instance).copied()
    }

    /// Returns the other instances that are thought to be there.
    pub(super) fn others(&self) -> impl Iterator<Item = InstanceName> + use<> {
        let status = self.parts.agent.status(self.parts.shared.clock.now());
        let own = self.parts.hello.instance.clone();
        let there = status.instances.into_iter().filter(|row| row.standing != Standing::Gone);
        there.map(|row| row.instance).filter(move |instance| *instance != own)
    }

    /// Reports whether another instance could take over what is owned here.
    fn has_receiver(&self) -> bool {
        let status = self.parts.agent.status(self.parts.shared.clock.now());
        let own = &self.parts.hello.instance;
        let mut others = status.instances.iter().filter(|row| row.instance != *own);
        others.any(|row| matches!(row.standing, Standing::Joining | Standing::Serving))
    }

    /// Runs a wait for several instances on a thread of its own.
    pub(super) fn gather(&mut self, wait: impl FnOnce() + Send + 'static) {
        self.gathers.run(wait);
    }

    /// Begins a graceful shutdown.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        if std::mem::replace(&mut self.drain.begun, true) {
            return;
        }
        if let Some(calls) = &self.calls {
            call!([calls], drain());
        }
        self.drive(cx, Event::Drain);
    }

    /// Notes that no call is in progress any more.
    pub(crate) fn calls_finished(&mut self, _: CX![]) {
        self.drain.calls_finished = true;
        self.check_drained();
    }

    fn check_drained(&mut self) {
        if !self.drain.begun || !self.drain.calls_finished {
            return;
        }
        // The last instance to leave has nobody to hand over to. What it owns is taken
        // over by the next one to start, as its address refuses connections then.
        let handed_over = self.parts.agent.held() == 0 || !self.has_receiver();
        if handed_over && self.waiting.is_empty() {
            // The other end is gone when the drain time is over.
            let _ = self.parts.done.try_send(super::End::Drained);
        }
    }
}
