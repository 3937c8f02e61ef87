//! The actor that carries calls between callers, peers, endpoints and the router.

mod arrival;
mod keys;
mod load;
mod pending;
mod reply;
mod send;
mod slots;
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use futures::channel::oneshot;
use stakker::{Actor, CX, MinTimerKey, call, timer_min};
use sycamorerill_calls::router::{self, Answer as Attempted, Command, Event, PeerAnswer, Router};
use sycamorerill_clients::endpoint;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, ExecutorName, InstanceName};
use sycamorerill_core::model::Config;

use self::arrival::Arrival;
use self::load::Loads;
use self::pending::{Answer, Pending, Waiter};
use self::slots::Slots;
use self::targets::Targets;
use super::control::Control;
use super::message::Inbox;
use super::shards::Shards;
use crate::event;
use crate::events::Code;
use crate::http::{Request, Response};
use crate::io::Pool;
use crate::peer::{self, Hello, Peers};
use crate::shared::Shared;

/// Requests to endpoints at one time.
const MAX_SENDS: usize = 1_024;

/// What the actor is made of.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) control: Actor<Control>,
    pub(crate) shards: Shards,
    pub(crate) hello: Hello,
    pub(crate) router: Router,
    /// Start of the identity of every call, unique to this process.
    pub(crate) prefix: String,
}

/// The actor.
pub(crate) struct Calls {
    parts: Parts,
    config: Arc<Config>,
    targets: Targets,
    executors: BTreeMap<ExecutorName, endpoint::Client>,
    members: BTreeMap<InstanceName, SocketAddr>,
    pending: BTreeMap<CallId, Pending>,
    kept: BTreeMap<CallId, Answer>,
    slots: Slots,
    loads: Loads,
    sends: Pool,
    wake: MinTimerKey,
    commands: Vec<Command>,
}

impl Calls {
    /// Starts the actor.
    pub(crate) fn init(_: CX![], parts: Parts) -> Option<Self> {
        Some(Self {
            parts,
            config: Arc::default(),
            targets: Targets::default(),
            executors: BTreeMap::new(),
            members: BTreeMap::new(),
            pending: BTreeMap::new(),
            kept: BTreeMap::new(),
            slots: Slots::default(),
            loads: Loads::default(),
            sends: Pool::new("sends", MAX_SENDS),
            wake: MinTimerKey::default(),
            commands: Vec::new(),
        })
    }

    /// Takes a request of a caller.
    pub(crate) fn caller(
        &mut self,
        cx: CX![],
        call: CallId,
        request: Request,
        respond: oneshot::Sender<Response>,
    ) {
        match Arrival::read(request, &self.config) {
            Ok(arrival) => self.arrive(cx, call, arrival, 0, false, Waiter::Caller(respond)),
            Err(error) => {
                event!(Code::CallerRefused, call = call, reason = error);
                // The receiver is gone when the caller has closed its connection.
                let _ = respond.send(error.into());
            }
        }
    }

    /// Takes a call that a peer forwards.
    pub(crate) fn forwarded(&mut self, cx: CX![], forwarded: peer::Call, respond: peer::Respond) {
        if self.config.version.0 == 0 {
            // This instance has just started; another one can take the call.
            return respond(peer::Reply::Call(peer::Answer::not_sent()));
        }
        let call = self.parts.shared.next_call();
        let (hops, claimed) = (forwarded.hops, forwarded.claimed);
        let arrival = Arrival::from(forwarded);
        self.arrive(cx, call, arrival, hops, claimed, Waiter::Peer(respond));
    }

    fn arrive(
        &mut self,
        cx: CX![],
        id: CallId,
        arrival: Arrival,
        hops: u8,
        claimed: bool,
        waiter: Waiter,
    ) {
        let now = self.parts.shared.clock.now();
        let call = router::Call {
            id,
            service: arrival.service.clone(),
            team: arrival.team.clone(),
            urgency: arrival.urgency,
            deadline: now + arrival.budget,
            idempotent: arrival.idempotent,
            key: arrival.key.clone(),
            claimed,
            hops,
        };
        let identity = format!("{}-{}", self.parts.prefix, id.0);
        let pending = Pending::new(arrival, now, identity, waiter);
        self.pending.insert(id, pending);
        self.drive(cx, Event::Arrived(call));
    }

    /// Notes that the caller waits no longer.
    pub(crate) fn caller_gone(&mut self, cx: CX![], call: CallId) {
        let waits = self.pending.get(&call).is_some_and(|pending| pending.waiter.is_some());
        if waits {
            self.drive(cx, Event::Abandoned { call });
        }
    }

    /// Takes the end of a request to an endpoint.
    pub(crate) fn answered(
        &mut self,
        cx: CX![],
        call: CallId,
        attempt: Attempt,
        answer: endpoint::Answer,
    ) {
        let answer = match answer {
            endpoint::Answer::Whole { status, body, content_type } => {
                let media = content_type.unwrap_or_default();
                self.keep(call, attempt, Answer { status, media, body });
                Attempted::Whole { status }
            }
            endpoint::Answer::Refused => Attempted::Refused,
            endpoint::Answer::NotSent { .. } => Attempted::NotSent,
            endpoint::Answer::Unknown(sycamorerill_clients::Doubt::Timeout) => Attempted::Expired,
            endpoint::Answer::Unknown(_) => Attempted::Unknown,
        };
        self.close(call);
        self.drive(cx, Event::Answered { call, attempt, answer });
        self.forget_ended(call);
    }

    /// Takes the end of a forwarded call.
    pub(crate) fn peer_answered(
        &mut self,
        cx: CX![],
        call: CallId,
        attempt: Attempt,
        reply: Result<peer::Reply, peer::Error>,
    ) {
        let answer = match reply {
            Ok(peer::Reply::Call(answer)) => self.read_answer(call, attempt, answer),
            Ok(_) | Err(peer::Error::Lost(_) | peer::Error::Malformed(_)) => PeerAnswer::Unknown,
            Err(peer::Error::Refused | peer::Error::NotSent(_)) => PeerAnswer::NotSent,
        };
        self.close(call);
        self.drive(cx, Event::PeerAnswered { call, attempt, answer });
        self.forget_ended(call);
    }

    fn read_answer(&mut self, call: CallId, attempt: Attempt, answer: peer::Answer) -> PeerAnswer {
        let peer::Answer { outcome, status, media, body, reason, repeat } = answer;
        match outcome {
            peer::Outcome::Answered => {
                self.keep(call, attempt, Answer { status, media, body });
                if repeat { PeerAnswer::Repeat { status } } else { PeerAnswer::Answered { status } }
            }
            peer::Outcome::NotRun => match reason.parse() {
                Ok(reason) => PeerAnswer::NotRun(reason),
                Err(_) => PeerAnswer::NotRun(router::Reason::NotSent),
            },
            peer::Outcome::Unknown => PeerAnswer::Unknown,
        }
    }

    fn keep(&mut self, call: CallId, attempt: Attempt, answer: Answer) {
        if let Some(pending) = self.pending.get_mut(&call) {
            pending.answers.insert(attempt, answer);
        }
    }

    fn close(&mut self, call: CallId) {
        if let Some(pending) = self.pending.get_mut(&call) {
            pending.open = pending.open.saturating_sub(1);
        }
    }

    /// Lets go of a call that nobody waits for and that has no open attempt.
    fn forget_ended(&mut self, call: CallId) {
        let ended = |pending: &Pending| pending.waiter.is_none() && pending.open == 0;
        if self.pending.get(&call).is_some_and(ended) {
            self.pending.remove(&call);
        }
    }

    /// Takes the end of a probe of an executor.
    pub(crate) fn probed(
        &mut self,
        cx: CX![],
        executor: ExecutorName,
        healthy: bool,
        latency: Span,
    ) {
        self.drive(cx, Event::Probed { executor, healthy, latency });
    }

    /// Tells the router what happened and carries out its commands.
    pub(crate) fn drive(&mut self, cx: CX![], event: Event) {
        let now = self.parts.shared.clock.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.parts.router.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.carry_out(cx, now, command);
        }
        self.commands = commands;
        self.schedule(cx);
    }

    /// Wakes the router at the instant that it asked for.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        self.drive(cx, Event::Tick);
    }

    fn schedule(&mut self, cx: CX![]) {
        if let Some(wake) = self.parts.router.next_wake() {
            let at = self.parts.shared.clock.instant(wake);
            timer_min!(&mut self.wake, at, [cx], tick());
        }
    }

    /// Replaces the clients of the executors and the addresses of the peers.
    pub(crate) fn listed(
        &mut self,
        cx: CX![],
        executors: Vec<router::Executor>,
        clients: BTreeMap<ExecutorName, endpoint::Client>,
    ) {
        // A client that is there already holds connections worth keeping.
        for (name, client) in clients {
            self.executors.entry(name).or_insert(client);
        }
        let mut by_shard: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for executor in &executors {
            let shard = self.parts.shards.of_executor(&executor.name);
            by_shard.entry(shard).or_default().insert(executor.name.clone());
        }
        self.slots.list(by_shard);
        self.drive(cx, Event::Listed(executors));
        self.tell_owned(cx);
    }

    /// Notes where a peer listens.
    pub(crate) fn member(&mut self, _: CX![], name: InstanceName, address: SocketAddr) {
        self.members.insert(name, address);
    }

    /// Puts a configuration in force.
    pub(crate) fn configured(&mut self, cx: CX![], config: Arc<Config>) {
        self.targets = Targets::new(&config);
        self.config = Arc::clone(&config);
        self.drive(cx, Event::Configured(config));
    }

    /// Begins a graceful shutdown.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        self.drive(cx, Event::Drain);
        // Peers send calls here until they hear of it.
        self.announce_now();
    }

    fn carry_out(&mut self, cx: CX![], now: Time, command: Command) {
        match command {
            Command::Send { call, attempt, executor, deadline, longest_run } => {
                let timeout = longest_run;
                self.send(call, attempt, &executor, deadline.since(now), timeout);
            }
            Command::Forward { call, attempt, peer, deadline, hops, claimed } => {
                let budget = deadline.since(now);
                self.forward(call, attempt, &peer, budget, hops, claimed);
            }
            Command::Reply { call, outcome } => self.reply(cx, now, call, outcome),
            Command::Journal { call, record } => {
                call!([self.parts.control], journal_key(call, record));
            }
            Command::Forget { call } => {
                self.kept.remove(&call);
            }
            Command::Probe { executor } => self.probe(executor),
            Command::Drained { executor, in_progress } => {
                self.executor_drained(&executor, in_progress);
            }
            Command::Announce => self.announce(now),
            Command::Finished => call!([self.parts.control], calls_finished()),
            Command::Decision(decision) => {
                event!(Code::CallRouted, decision = decision);
            }
        }
    }
}
