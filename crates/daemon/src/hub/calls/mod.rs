//! The actor that runs the call router and connects it to callers, peers and endpoints.

mod call_request;
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
use sycamorerill_calls::router::{self, Command, Event, PeerAnswer, Router, SendOutcome};
use sycamorerill_clients::endpoint;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, ExecutorName, InstanceName};
use sycamorerill_core::model::Config;

use self::call_request::CallRequest;
use self::load::PeerLoads;
use self::pending::{Answer, Pending, Waiter};
use self::slots::Slots;
use self::targets::Targets;
use super::control::Control;
use super::message::Inbox;
use super::shards::ShardLayout;
use crate::event;
use crate::events::Code;
use crate::http::{Request, Response};
use crate::io::Pool;
use crate::peer::{self, Hello, Peers};
use crate::shared::Shared;

/// Maximum number of concurrent requests to endpoints.
const MAX_SENDS: usize = 1_024;

/// Everything that the actor needs at its start.
pub(crate) struct Dependencies {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) control: Actor<Control>,
    pub(crate) shards: ShardLayout,
    pub(crate) hello: Hello,
    pub(crate) router: Router,
    /// Prefix of call identities, unique to this process.
    pub(crate) prefix: String,
}

/// The call actor.
pub(crate) struct Calls {
    deps: Dependencies,
    config: Arc<Config>,
    targets: Targets,
    endpoints: BTreeMap<ExecutorName, endpoint::Client>,
    peer_addresses: BTreeMap<InstanceName, SocketAddr>,
    pending: BTreeMap<CallId, Pending>,
    /// Answers of the first call with each idempotency key, for repeats.
    replay_answers: BTreeMap<CallId, Answer>,
    slots: Slots,
    peer_loads: PeerLoads,
    send_pool: Pool,
    timer: MinTimerKey,
    commands: Vec<Command>,
}

impl Calls {
    /// Starts the actor.
    pub(crate) fn init(_: CX![], deps: Dependencies) -> Option<Self> {
        Some(Self {
            deps,
            config: Arc::default(),
            targets: Targets::default(),
            endpoints: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            pending: BTreeMap::new(),
            replay_answers: BTreeMap::new(),
            slots: Slots::default(),
            peer_loads: PeerLoads::default(),
            send_pool: Pool::new("sends", MAX_SENDS),
            timer: MinTimerKey::default(),
            commands: Vec::new(),
        })
    }

    /// Handles a request of a caller.
    pub(crate) fn handle_caller(
        &mut self,
        cx: CX![],
        call: CallId,
        request: Request,
        respond: oneshot::Sender<Response>,
    ) {
        match CallRequest::read(request, &self.config) {
            Ok(call_request) => {
                self.start_call(cx, call, call_request, 0, false, Waiter::Caller(respond))
            }
            Err(error) => {
                event!(Code::CallerRefused, call = call, reason = error);
                // The send fails if the caller has closed its connection.
                let _ = respond.send(error.into());
            }
        }
    }

    /// Handles a call that a peer forwarded.
    pub(crate) fn handle_forwarded(
        &mut self,
        cx: CX![],
        forwarded: peer::Call,
        respond: peer::Respond,
    ) {
        if self.config.version.0 == 0 {
            // This instance has no configuration yet; another one can take the call.
            return respond(peer::Reply::Call(peer::Answer::not_sent()));
        }
        let call = self.deps.shared.next_call();
        let (hops, key_recorded) = (forwarded.hops, forwarded.key_recorded);
        let call_request = CallRequest::from(forwarded);
        self.start_call(cx, call, call_request, hops, key_recorded, Waiter::Peer(respond));
    }

    fn start_call(
        &mut self,
        cx: CX![],
        id: CallId,
        call_request: CallRequest,
        hops: u8,
        key_recorded: bool,
        waiter: Waiter,
    ) {
        let now = self.deps.shared.clock.now();
        let call = router::Call {
            id,
            service: call_request.service.clone(),
            team: call_request.team.clone(),
            urgency: call_request.urgency,
            deadline: now + call_request.budget,
            idempotent: call_request.idempotent,
            key: call_request.key.clone(),
            key_recorded,
            hops,
        };
        let identity = format!("{}-{}", self.deps.prefix, id.0);
        let pending = Pending::new(call_request, now, identity, waiter);
        self.pending.insert(id, pending);
        self.handle_event(cx, Event::Arrived(call));
    }

    /// Abandons a call whose caller has disconnected.
    pub(crate) fn caller_disconnected(&mut self, cx: CX![], call: CallId) {
        let waits = self.pending.get(&call).is_some_and(|pending| pending.waiter.is_some());
        if waits {
            self.handle_event(cx, Event::Abandoned { call });
        }
    }

    /// Handles the result of a request to an endpoint.
    pub(crate) fn endpoint_answered(
        &mut self,
        cx: CX![],
        call: CallId,
        attempt: Attempt,
        outcome: endpoint::Outcome,
    ) {
        let answer = match outcome {
            endpoint::Outcome::Complete { status, body, content_type } => {
                let media = content_type.unwrap_or_default();
                self.store_answer(call, attempt, Answer { status, media, body });
                SendOutcome::Complete { status }
            }
            endpoint::Outcome::Refused => SendOutcome::Refused,
            endpoint::Outcome::NotSent { .. } => SendOutcome::NotSent,
            endpoint::Outcome::Unknown(sycamorerill_clients::UnknownCause::Timeout) => {
                SendOutcome::TimedOut
            }
            endpoint::Outcome::Unknown(_) => SendOutcome::Unknown,
        };
        self.attempt_finished(call);
        self.handle_event(cx, Event::Answered { call, attempt, answer });
        self.remove_if_finished(call);
    }

    /// Handles the result of a forwarded call.
    pub(crate) fn forward_finished(
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
        self.attempt_finished(call);
        self.handle_event(cx, Event::PeerAnswered { call, attempt, answer });
        self.remove_if_finished(call);
    }

    fn read_answer(&mut self, call: CallId, attempt: Attempt, answer: peer::Answer) -> PeerAnswer {
        let peer::Answer { outcome, status, media, body, reason, repeat } = answer;
        match outcome {
            peer::Outcome::Answered => {
                self.store_answer(call, attempt, Answer { status, media, body });
                if repeat { PeerAnswer::Repeat { status } } else { PeerAnswer::Answered { status } }
            }
            peer::Outcome::NotRun => match reason.parse() {
                Ok(reason) => PeerAnswer::NotRun(reason),
                Err(_) => PeerAnswer::NotRun(router::Reason::NotSent),
            },
            peer::Outcome::Unknown => PeerAnswer::Unknown,
        }
    }

    fn store_answer(&mut self, call: CallId, attempt: Attempt, answer: Answer) {
        if let Some(pending) = self.pending.get_mut(&call) {
            pending.answers.insert(attempt, answer);
        }
    }

    fn attempt_finished(&mut self, call: CallId) {
        if let Some(pending) = self.pending.get_mut(&call) {
            pending.open_attempts = pending.open_attempts.saturating_sub(1);
        }
    }

    /// Removes a call that has neither a waiter nor an open attempt.
    fn remove_if_finished(&mut self, call: CallId) {
        let ended = |pending: &Pending| pending.waiter.is_none() && pending.open_attempts == 0;
        if self.pending.get(&call).is_some_and(ended) {
            self.pending.remove(&call);
        }
    }

    /// Handles the result of a probe of an executor.
    pub(crate) fn probe_finished(
        &mut self,
        cx: CX![],
        executor: ExecutorName,
        healthy: bool,
        latency: Span,
    ) {
        self.handle_event(cx, Event::Probed { executor, healthy, latency });
    }

    /// Passes an event to the router and executes the commands that it returns.
    pub(crate) fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = self.deps.shared.clock.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.deps.router.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute(cx, now, command);
        }
        self.commands = commands;
        self.schedule(cx);
    }

    /// Handles the router's timer.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        self.handle_event(cx, Event::Tick);
    }

    fn schedule(&mut self, cx: CX![]) {
        if let Some(wake) = self.deps.router.next_wake() {
            let at = self.deps.shared.clock.instant(wake);
            timer_min!(&mut self.timer, at, [cx], tick());
        }
    }

    /// Updates the executors from the platform's list.
    pub(crate) fn update_executors(
        &mut self,
        cx: CX![],
        executors: Vec<router::Executor>,
        clients: BTreeMap<ExecutorName, endpoint::Client>,
    ) {
        // Existing clients are kept because they hold open connections.
        for (name, client) in clients {
            self.endpoints.entry(name).or_insert(client);
        }
        let mut by_shard: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for executor in &executors {
            let shard = self.deps.shards.of_executor(&executor.name);
            by_shard.entry(shard).or_default().insert(executor.name.clone());
        }
        self.slots.set_listed(by_shard);
        self.handle_event(cx, Event::ExecutorsListed(executors));
        self.report_new_executors(cx);
    }

    pub(crate) fn set_peer_address(&mut self, _: CX![], name: InstanceName, address: SocketAddr) {
        self.peer_addresses.insert(name, address);
    }

    /// Activates a configuration.
    pub(crate) fn apply_config(&mut self, cx: CX![], config: Arc<Config>) {
        self.targets = Targets::new(&config);
        self.config = Arc::clone(&config);
        self.handle_event(cx, Event::Configured(config));
    }

    /// Starts a graceful shutdown.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        self.handle_event(cx, Event::Drain);
        // Peers forward calls to this instance until they learn that it is draining.
        self.send_load_now();
    }

    fn execute(&mut self, cx: CX![], now: Time, command: Command) {
        match command {
            Command::Send { call, attempt, executor, deadline, longest_run } => {
                let timeout = longest_run;
                self.send(call, attempt, &executor, deadline.since(now), timeout);
            }
            Command::Forward { call, attempt, peer, deadline, hops, key_recorded } => {
                let budget = deadline.since(now);
                self.forward(call, attempt, &peer, budget, hops, key_recorded);
            }
            Command::Reply { call, outcome } => self.reply(cx, now, call, outcome),
            Command::Journal { call, record } => {
                call!([self.deps.control], journal_key(call, record));
            }
            Command::DropAnswer { call } => {
                self.replay_answers.remove(&call);
            }
            Command::Probe { executor } => self.probe(executor),
            Command::HandOver { executor, in_progress } => {
                self.record_drained_executor(&executor, in_progress);
            }
            Command::Announce => self.send_load(now),
            Command::DrainComplete => call!([self.deps.control], calls_finished()),
            Command::Decision(decision) => {
                event!(Code::CallRouted, decision = decision);
            }
        }
    }
}
