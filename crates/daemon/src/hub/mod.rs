//! The hub: the event loop that runs the actors on a single thread.
//!
//! All other threads send messages to the hub. It dispatches each message to an
//! actor and then runs the actors until none has work left.

mod calls;
mod cells;
mod control;
mod directory;
mod gather;
mod message;
mod operator;
mod records;
mod response;
mod shards;
mod start;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use stakker::{Actor, ActorOwn, Stakker, call};
use sycamorerill_clients::instances;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{InstanceName, JobName};

pub(crate) use self::message::{Inbox, Message};
pub(crate) use self::start::{Dependencies, start};

use self::calls::Calls;
use self::cells::Cells;
use self::control::Control;
use self::directory::Directory;
use self::shards::ShardLayout;
use crate::event;
use crate::events::Code;
use crate::http::{Head, Request, Response};
use crate::io::Pool;
use crate::peer::{self, Hello, Peers};
use crate::shared::Shared;

/// Maximum time that the hub waits for a message.
const MAX_POLL_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of further messages that are dispatched before the actors run.
const MESSAGE_BATCH: usize = 64;
/// Time between two reads of the platform's instance list.
const LIST_INTERVAL: Span = Span::from_ms(1_000);
/// Time between two checks whether the load is due to be sent to the peers.
const LOAD_CHECK_INTERVAL: Span = Span::from_ms(50);
/// Time between two checks of the owners of the key shards.
const OWNER_CHECK_INTERVAL: Span = Span::from_ms(200);
/// Timeout of a hello request to a peer.
const HELLO_TIMEOUT: Span = Span::from_secs(1);
/// Maximum wait for the response to an operator's request that a peer forwarded.
const PEER_OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// The reason for which an entry instance ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The graceful shutdown is complete: no work is in progress, and all owned shards
    /// are handed over if a peer can take them.
    Drained,
    /// A successor has fenced the session of this instance.
    Fenced,
    /// An operator requested a graceful shutdown.
    DrainRequested,
}

/// A command on a job of a cell.
pub(crate) enum JobCommand {
    /// Submits the job.
    Submit(JobName),
    /// Cancels the job.
    Cancel(JobName),
}

/// State of the hub's event loop.
pub(crate) struct Hub {
    shared: Arc<Shared>,
    inbox: Inbox,
    peers: Arc<Peers>,
    shards: ShardLayout,
    name: InstanceName,
    prefix: String,
    static_peers: Vec<std::net::SocketAddr>,
    instance_list: instances::Client,
    blocking_pool: Pool,
    connections: Arc<AtomicUsize>,
    end_reason_sender: Sender<EndReason>,
    calls: Actor<Calls>,
    cells: Actor<Cells>,
    control: Actor<Control>,
    /// Keeps the actors alive: an actor ends when its owner is dropped.
    _owned: (ActorOwn<Calls>, ActorOwn<Cells>, ActorOwn<Control>),
    last_listed: Time,
    last_load_check: Time,
    last_owner_check: Time,
}

impl Hub {
    /// Dispatches messages and runs the actors until [`Message::Stop`] arrives.
    fn run(mut self, stakker: &mut Stakker, messages: &Receiver<Message>) {
        loop {
            self.run_periodic_work();
            stakker.run(Instant::now(), false);
            let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, false);
            match messages.recv_timeout(wait) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(message) => self.dispatch(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for message in messages.try_iter().take(MESSAGE_BATCH) {
                if matches!(message, Message::Stop) {
                    return;
                }
                self.dispatch(message);
            }
        }
    }

    fn run_periodic_work(&mut self) {
        let now = self.shared.clock.now();
        self.shared.record_heartbeat(now);
        if now.since(self.last_listed) >= LIST_INTERVAL {
            self.last_listed = now;
            self.read_list();
            self.request_hellos();
            let connections = self.connections.load(Ordering::Relaxed);
            self.shared.metrics.set_load(self.inbox.queue_length(), connections);
        }
        if now.since(self.last_load_check) >= LOAD_CHECK_INTERVAL {
            self.last_load_check = now;
            call!([self.calls], refresh_loads());
        }
        if now.since(self.last_owner_check) >= OWNER_CHECK_INTERVAL {
            self.last_owner_check = now;
            call!([self.control], refresh_owners());
        }
    }

    fn read_list(&mut self) {
        let list = self.instance_list.clone();
        let inbox = self.inbox.clone();
        let shared = Arc::clone(&self.shared);
        self.blocking_pool.run(move || {
            if shared.is_alive() {
                inbox.send(Message::InstancesListed { list: list.list() });
            }
        });
    }

    /// Requests the names of the peers that are configured by address.
    fn request_hellos(&self) {
        for address in &self.static_peers {
            let inbox = self.inbox.clone();
            self.peers.send(*address, peer::Request::Hello, HELLO_TIMEOUT, move |reply| {
                if let Ok(peer::Reply::Hello(hello)) = reply {
                    inbox.send(Message::PeerIdentified { hello });
                }
            });
        }
    }

    fn dispatch(&mut self, message: Message) {
        match message {
            Message::Caller { call, request, respond } => {
                call!([self.calls], handle_caller(call, request, respond));
            }
            Message::CallerDisconnected { call } => call!([self.calls], caller_disconnected(call)),
            Message::Operator { request, respond } => {
                self.handle_operator_request(request, 0, respond)
            }
            Message::Peer { from, request, respond } => {
                self.handle_peer_request(from, request, respond);
            }
            Message::EndpointAnswered { call, attempt, outcome } => {
                call!([self.calls], endpoint_answered(call, attempt, outcome));
            }
            Message::ForwardFinished { call, attempt, reply } => {
                call!([self.calls], forward_finished(call, attempt, reply));
            }
            Message::ProbeFinished { executor, healthy, latency } => {
                call!([self.calls], probe_finished(executor, healthy, latency));
            }
            Message::ExchangeFinished { domain, worker, epoch, number, response } => {
                call!([self.cells], exchange_finished(domain, worker, epoch, number, response));
            }
            Message::StoreAnswered { id, response } => {
                call!([self.control], store_answered(id, response))
            }
            Message::SessionEvidence { session, evidence } => {
                call!([self.control], session_evidence(session, evidence));
            }
            Message::PeerIdentified { hello } => call!([self.control], peer_identified(hello)),
            Message::HandoverOffered { from, to, transfer } => {
                call!([self.cells], handover_offered(from, to, transfer));
            }
            Message::HandoverConfirmed { to, job } => {
                call!([self.cells], handover_confirmed(to, job))
            }
            Message::InstancesListed { list } => self.apply_list(list),
            Message::DrainRequested => {
                // The send fails if the instance is already stopping.
                let _ = self.end_reason_sender.try_send(EndReason::DrainRequested);
            }
            Message::Drain => call!([self.control], drain()),
            Message::Stop => {}
        }
    }

    fn apply_list(&mut self, list: Result<Vec<instances::Instance>, sycamorerill_clients::Error>) {
        let list = match list {
            Ok(list) => list,
            Err(error) => {
                event!(Code::ListState, error = error);
                return;
            }
        };
        let Directory { executors, endpoints, workers, clients, entries } =
            Directory::new(list, &self.name);
        call!([self.calls], update_executors(executors, endpoints));
        call!([self.cells], update_workers(workers, clients));
        call!([self.control], update_members(entries));
    }

    fn handle_peer_request(
        &mut self,
        from: Option<Hello>,
        request: peer::Request,
        respond: peer::Respond,
    ) {
        match (request, from) {
            (peer::Request::Control(bytes), Some(from)) => {
                call!([self.control], control_message(from, bytes));
                respond(peer::Reply::Received);
            }
            (peer::Request::Load(load), Some(from)) => {
                call!([self.calls], receive_load(from, load));
                respond(peer::Reply::Received);
            }
            (peer::Request::Call(call), _) => call!([self.calls], handle_forwarded(call, respond)),
            (peer::Request::Operate { method, path, query, body, hops }, _) => {
                let head = Head { method, path, query, fields: Vec::new() };
                let (sender, answer) = bounded(1);
                self.handle_operator_request(Request { head, body }, hops, sender);
                self.blocking_pool.run(move || await_and_reply(&answer, respond));
            }
            // Control and load messages without a sender are ignored: a peer identifies
            // itself in each of them.
            (peer::Request::Hello | peer::Request::Control(_) | peer::Request::Load(_), _) => {
                respond(peer::Reply::Received);
            }
        }
    }
}

/// Waits for the response to a forwarded operator request and returns it to the peer.
fn await_and_reply(answer: &Receiver<Response>, respond: peer::Respond) {
    let Ok(response) = answer.recv_timeout(PEER_OPERATOR_TIMEOUT) else {
        let failure = Response::failure(
            sycamorerill_core::api::Kind::Unknown,
            "the owner did not answer in time",
            "ask again",
        );
        return respond(operator_reply(failure));
    };
    respond(operator_reply(response));
}

fn operator_reply(response: Response) -> peer::Reply {
    let Response { status, media, body, .. } = response;
    peer::Reply::Operate { status, media, body }
}
