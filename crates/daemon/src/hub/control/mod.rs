//! The actor that runs the control agent: membership, ownership, journal, configuration
//! and penalties.

mod commands;
mod deferred;
mod digests;
mod journal;
mod operators;
mod penalties;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use stakker::{Actor, CX, MinTimerKey, call, timer_min};
use sycamorerill_calls::keys;
use sycamorerill_control::agent::{Agent, Command, Event};
use sycamorerill_control::membership::{Evidence, ListEntry, MemberState};
use sycamorerill_control::session;
use sycamorerill_control::store::State;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName};
use sycamorerill_core::model::Config;

pub(crate) use self::deferred::DeferredResponse;

use self::journal::PendingRecords;
use self::operators::OperatorRequests;
use super::calls::Calls;
use super::cells::Cells;
use super::message::{Inbox, Message};
use super::shards::ShardLayout;
use crate::event;
use crate::events::Code;
use crate::io::{Pool, Store};
use crate::peer::{self, Hello, Peers};
use crate::shared::Shared;

/// Timeout of a control message or hello request to a peer.
const PEER_TIMEOUT: Span = Span::from_secs(2);
/// Maximum number of concurrent requests to all instances.
const MAX_GATHERS: usize = 4;
/// Maximum number of concurrent requests to the store.
const MAX_STORE_REQUESTS: usize = 32;

/// Everything that the actor needs at its start.
pub(crate) struct Dependencies {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) agent: Agent,
    pub(crate) store: Store,
    pub(crate) hello: Hello,
    pub(crate) shards: ShardLayout,
    pub(crate) end_reason_sender: crossbeam_channel::Sender<super::EndReason>,
}

/// The control actor.
pub(crate) struct Control {
    deps: Dependencies,
    calls: Option<Actor<Calls>>,
    cells: Option<Actor<Cells>>,
    config: Arc<Config>,
    config_bytes: Bytes,
    addresses: BTreeMap<InstanceName, SocketAddr>,
    /// Newest incarnation of each peer from which a message was received.
    incarnations: BTreeMap<InstanceName, Incarnation>,
    /// Last state of the store that was reported to the cells.
    store: State,
    pending_records: PendingRecords,
    operator_requests: OperatorRequests,
    store_pool: Pool,
    timer: MinTimerKey,
    gather_pool: Pool,
    /// Key shards that are being released, with their next owners.
    releasing: BTreeMap<keys::Shard, InstanceName>,
    /// Owner of each key shard at the last check by [`Self::refresh_owners`].
    key_owners: BTreeMap<keys::Shard, Option<InstanceName>>,
    commands: Vec<Command>,
    drain: DrainProgress,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DrainProgress {
    begun: bool,
    calls_finished: bool,
}

impl Control {
    /// Starts the actor.
    pub(crate) fn init(cx: CX![], deps: Dependencies) -> Option<Self> {
        let mut control = Self {
            deps,
            calls: None,
            cells: None,
            config: Arc::default(),
            config_bytes: Bytes::new(),
            addresses: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            store: State::Up,
            pending_records: PendingRecords::default(),
            operator_requests: OperatorRequests::default(),
            store_pool: Pool::new("store", MAX_STORE_REQUESTS),
            timer: MinTimerKey::default(),
            gather_pool: Pool::new("gather", MAX_GATHERS),
            releasing: BTreeMap::new(),
            key_owners: BTreeMap::new(),
            commands: Vec::new(),
            drain: DrainProgress::default(),
        };
        control.handle_event(cx, Event::Tick);
        Some(control)
    }

    /// Sets the actors for calls and cells, which are created after this one.
    pub(crate) fn connect_actors(&mut self, _: CX![], calls: Actor<Calls>, cells: Actor<Cells>) {
        self.calls = Some(calls);
        self.cells = Some(cells);
    }

    /// Passes an event to the agent and executes the commands that it returns.
    fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = self.deps.shared.clock.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.deps.agent.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute(cx, command);
        }
        self.commands = commands;
        self.release_key_shards(cx);
        self.schedule(cx);
        self.check_drained();
    }

    /// Handles the agent's timer.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        self.handle_event(cx, Event::Tick);
    }

    fn schedule(&mut self, cx: CX![]) {
        let wake = self.deps.agent.next_wake(self.deps.shared.clock.now());
        let at = self.deps.shared.clock.instant(wake);
        timer_min!(&mut self.timer, at, [cx], tick());
    }

    /// Handles the store's response to a request.
    pub(crate) fn store_answered(
        &mut self,
        cx: CX![],
        id: sycamorerill_control::store::RequestId,
        response: sycamorerill_control::store::Response,
    ) {
        self.handle_event(cx, Event::Store { id, response });
    }

    /// Handles a control message from a peer.
    pub(crate) fn control_message(&mut self, cx: CX![], from: Hello, bytes: Bytes) {
        self.record_peer(&from);
        self.handle_event(cx, Event::Message { from: from.instance, bytes });
    }

    /// Records the address and the newest incarnation of a peer.
    pub(crate) fn record_peer(&mut self, from: &Hello) {
        let incarnation = self.incarnations.entry(from.instance.clone()).or_default();
        *incarnation = from.incarnation.max(*incarnation);
        let known = self.addresses.insert(from.instance.clone(), from.address);
        if known != Some(from.address)
            && let Some(calls) = &self.calls
        {
            call!([calls], set_peer_address(from.instance.clone(), from.address));
        }
    }

    /// Handles a peer's answer to a hello request.
    pub(crate) fn peer_identified(&mut self, _: CX![], hello: Hello) {
        self.record_peer(&hello);
    }

    /// Updates the entry instances from the platform's list.
    pub(crate) fn update_members(&mut self, cx: CX![], entries: Vec<(ListEntry, SocketAddr)>) {
        let mut list = Vec::with_capacity(entries.len());
        for (entry, address) in entries {
            if entry.instance != self.deps.hello.instance {
                let known = self.addresses.insert(entry.instance.clone(), address);
                if known != Some(address)
                    && let Some(calls) = &self.calls
                {
                    call!([calls], set_peer_address(entry.instance.clone(), address));
                }
            }
            list.push(entry);
        }
        self.handle_event(cx, Event::InstancesListed { entries: list });
    }

    /// Handles evidence that the process behind a session has ended.
    pub(crate) fn session_evidence(
        &mut self,
        cx: CX![],
        session: session::Name,
        evidence: Evidence,
    ) {
        self.handle_event(cx, Event::Evidence { session, evidence });
    }

    fn send(&self, to: &InstanceName, message: Bytes) {
        let Some(address) = self.addresses.get(to).copied() else {
            return;
        };
        self.deps.shared.metrics.message_sent("control");
        // A message of this incarnation was received before the connection is opened, so a
        // refused connection shows that its process has ended.
        let incarnation = self.incarnations.get(to).copied();
        let session =
            incarnation.map(|incarnation| session::Name { instance: to.clone(), incarnation });
        let inbox = self.deps.inbox.clone();
        let request = peer::Request::Control(message);
        self.deps.peers.send(address, request, PEER_TIMEOUT, move |reply| {
            // The agent itself recovers from all other lost messages.
            if let (Err(peer::Error::Refused), Some(session)) = (reply, session) {
                inbox.send(Message::SessionEvidence {
                    session,
                    evidence: Evidence::ConnectionRefused,
                });
            }
        });
    }

    fn probe(&self, session: session::Name) {
        let Some(address) = self.addresses.get(&session.instance).copied() else {
            return;
        };
        let inbox = self.deps.inbox.clone();
        self.deps.peers.send(address, peer::Request::Hello, PEER_TIMEOUT, move |reply| {
            let evidence = match reply {
                Err(peer::Error::Refused) => Evidence::ConnectionRefused,
                Ok(peer::Reply::Hello(hello))
                    if hello.instance == session.instance
                        && hello.incarnation > session.incarnation =>
                {
                    Evidence::NewerIncarnation
                }
                _ => return,
            };
            inbox.send(Message::SessionEvidence { session, evidence });
        });
    }

    /// Reports changes of the store's state and of the owners of key shards.
    pub(crate) fn refresh_owners(&mut self, _: CX![]) {
        let store = self.deps.agent.store(self.deps.shared.clock.now());
        self.deps.shared.metrics.set_store_up(store == State::Up);
        self.report_store_state(store);
        let Some(calls) = &self.calls else {
            return;
        };
        for shard in self.deps.shards.all_key_shards() {
            let known = self.deps.agent.owner(ShardLayout::of_keys(shard));
            let owner = known.map(|known| known.instance);
            let own = owner.as_ref() == Some(&self.deps.hello.instance);
            let changed = self.key_owners.get(&shard) != Some(&owner);
            if changed && !own {
                call!([calls], key_owner_changed(shard, owner.clone()));
            }
            self.key_owners.insert(shard, owner);
        }
    }

    /// Reports the state of the store to the cells when it has changed.
    fn report_store_state(&mut self, store: State) {
        if std::mem::replace(&mut self.store, store) == store {
            return;
        }
        event!(Code::StoreState, state = store.as_str());
        if let Some(cells) = &self.cells {
            call!([cells], store_changed(store == State::Up));
        }
    }

    /// Returns the actor for cells, or `None` before [`Self::connect_actors`].
    pub(super) fn cells(&self) -> Option<&Actor<Cells>> {
        self.cells.as_ref()
    }

    /// Returns the instance that owns the cell of a failure domain.
    pub(super) fn owner_of_cell(&self, domain: &DomainName) -> Option<InstanceName> {
        let shard = self.deps.shards.of_cell(domain)?;
        Some(self.deps.agent.owner(shard)?.instance)
    }

    /// Returns whether `instance` is this one.
    pub(super) fn is_self(&self, instance: &InstanceName) -> bool {
        *instance == self.deps.hello.instance
    }

    /// Returns the address of an instance for peers.
    pub(super) fn address_of(&self, instance: &InstanceName) -> Option<SocketAddr> {
        self.addresses.get(instance).copied()
    }

    /// Returns all other instances that are not known to have ended.
    pub(super) fn other_instances(&self) -> impl Iterator<Item = InstanceName> + use<> {
        let status = self.deps.agent.status(self.deps.shared.clock.now());
        let own = self.deps.hello.instance.clone();
        let there = status.instances.into_iter().filter(|row| row.state != MemberState::Gone);
        there.map(|row| row.instance).filter(move |instance| *instance != own)
    }

    /// Returns whether another instance can take over the shards of this instance.
    fn has_handover_target(&self) -> bool {
        let status = self.deps.agent.status(self.deps.shared.clock.now());
        let own = &self.deps.hello.instance;
        let mut others = status.instances.iter().filter(|row| row.instance != *own);
        others.any(|row| matches!(row.state, MemberState::Joining | MemberState::Serving))
    }

    /// Runs `wait`, which blocks until several instances have responded, on a pool thread.
    pub(super) fn run_gather(&mut self, wait: impl FnOnce() + Send + 'static) {
        self.gather_pool.run(wait);
    }

    /// Starts a graceful shutdown.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        if std::mem::replace(&mut self.drain.begun, true) {
            return;
        }
        if let Some(calls) = &self.calls {
            call!([calls], drain());
        }
        self.handle_event(cx, Event::Drain);
    }

    /// Records that no calls are in progress any more.
    pub(crate) fn calls_finished(&mut self, _: CX![]) {
        self.drain.calls_finished = true;
        self.check_drained();
    }

    fn check_drained(&mut self) {
        if !self.drain.begun || !self.drain.calls_finished {
            return;
        }
        // The last running instance has no peer to hand its shards over to. The next
        // instance to start takes them over, because the address of this one then refuses
        // connections.
        let handed_over = self.deps.agent.owned_count() == 0 || !self.has_handover_target();
        if handed_over && self.pending_records.is_empty() {
            // The send fails if the drain timeout has expired.
            let _ = self.deps.end_reason_sender.try_send(super::EndReason::Drained);
        }
    }
}
