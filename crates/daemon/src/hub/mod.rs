//! The thread that runs the actors.
//!
//! All other threads hand it messages. It passes each to the actor that it is
//! for, and runs the actors until they have nothing left to do.

mod answer;
mod calls;
mod cells;
mod control;
mod directory;
mod gather;
mod message;
mod operator;
mod records;
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
pub(crate) use self::start::{Parts, start};

use self::calls::Calls;
use self::cells::Cells;
use self::control::Control;
use self::directory::Directory;
use self::shards::Shards;
use crate::event;
use crate::events::Code;
use crate::http::{Head, Request, Response};
use crate::io::Pool;
use crate::peer::{self, Hello, Peers};
use crate::shared::Shared;

/// Longest wait of the hub for a message.
const LONGEST_WAIT: Duration = Duration::from_millis(50);
/// Messages that are taken before the actors run.
const BATCH: usize = 64;
/// Time between two readings of the platform's list.
const LIST_INTERVAL: Span = Span::from_ms(1_000);
/// Time between two looks at whether the load is to be told.
const BEAT_INTERVAL: Span = Span::from_ms(50);
/// Time between two looks at the owners of the keys.
const OWNERS_INTERVAL: Span = Span::from_ms(200);
/// Longest wait for a peer to tell its name.
const HELLO_TIME: Span = Span::from_secs(1);
/// Longest wait for the answer to a peer's operator.
const PEER_OPERATOR_TIME: Duration = Duration::from_secs(5);

/// Why an entry instance ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Everything in progress is finished, and everything owned is handed over.
    Drained,
    /// A successor has fenced the session.
    Fenced,
    /// An operator asked for a graceful shutdown.
    DrainAsked,
}

/// What a request wants of a cell.
pub(crate) enum Errand {
    /// Submit the job.
    Submit(JobName),
    /// Cancel the job.
    Cancel(JobName),
}

/// The hub.
pub(crate) struct Hub {
    shared: Arc<Shared>,
    inbox: Inbox,
    peers: Arc<Peers>,
    shards: Shards,
    name: InstanceName,
    prefix: String,
    static_peers: Vec<std::net::SocketAddr>,
    list: instances::Client,
    lister: Pool,
    connections: Arc<AtomicUsize>,
    done: Sender<End>,
    calls: Actor<Calls>,
    cells: Actor<Cells>,
    control: Actor<Control>,
    /// The actors end with their owners.
    _owned: (ActorOwn<Calls>, ActorOwn<Cells>, ActorOwn<Control>),
    listed: Time,
    beaten: Time,
    looked: Time,
}

impl Hub {
    /// Passes messages on and runs the actors until told to stop.
    fn run(mut self, stakker: &mut Stakker, messages: &Receiver<Message>) {
        loop {
            self.do_periodic();
            stakker.run(Instant::now(), false);
            let wait = stakker.next_wait_max(Instant::now(), LONGEST_WAIT, false);
            match messages.recv_timeout(wait) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(message) => self.pass(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for message in messages.try_iter().take(BATCH) {
                if matches!(message, Message::Stop) {
                    return;
                }
                self.pass(message);
            }
        }
    }

    fn do_periodic(&mut self) {
        let now = self.shared.clock.now();
        self.shared.beat(now);
        if now.since(self.listed) >= LIST_INTERVAL {
            self.listed = now;
            self.read_list();
            self.greet();
            let connections = self.connections.load(Ordering::Relaxed);
            self.shared.metrics.set_load(self.inbox.waiting(), connections);
        }
        if now.since(self.beaten) >= BEAT_INTERVAL {
            self.beaten = now;
            call!([self.calls], beat());
        }
        if now.since(self.looked) >= OWNERS_INTERVAL {
            self.looked = now;
            call!([self.control], beat());
        }
    }

    fn read_list(&mut self) {
        let list = self.list.clone();
        let inbox = self.inbox.clone();
        let shared = Arc::clone(&self.shared);
        self.lister.run(move || {
            if shared.is_alive() {
                inbox.send(Message::Listed { list: list.list() });
            }
        });
    }

    /// Asks the peers that only their addresses are known of for their names.
    fn greet(&self) {
        for address in &self.static_peers {
            let inbox = self.inbox.clone();
            self.peers.send(*address, peer::Request::Hello, HELLO_TIME, move |reply| {
                if let Ok(peer::Reply::Hello(hello)) = reply {
                    inbox.send(Message::Greeted { hello });
                }
            });
        }
    }

    fn pass(&mut self, message: Message) {
        match message {
            Message::Caller { call, request, respond } => {
                call!([self.calls], caller(call, request, respond));
            }
            Message::CallerGone { call } => call!([self.calls], caller_gone(call)),
            Message::Operator { request, respond } => self.operate(request, 0, respond),
            Message::Peer { from, request, respond } => {
                self.peer(from, request, respond);
            }
            Message::Endpoint { call, attempt, answer } => {
                call!([self.calls], answered(call, attempt, answer));
            }
            Message::Forwarded { call, attempt, reply } => {
                call!([self.calls], peer_answered(call, attempt, reply));
            }
            Message::Probed { executor, healthy, latency } => {
                call!([self.calls], probed(executor, healthy, latency));
            }
            Message::Exchanged { domain, worker, epoch, number, answer } => {
                call!([self.cells], exchanged(domain, worker, epoch, number, answer));
            }
            Message::Stored { id, response } => call!([self.control], stored(id, response)),
            Message::Evidence { session, evidence } => {
                call!([self.control], evidence(session, evidence));
            }
            Message::Greeted { hello } => call!([self.control], greeted(hello)),
            Message::Offered { from, to, transfer } => {
                call!([self.cells], offered(from, to, transfer));
            }
            Message::Taken { to, job } => call!([self.cells], taken(to, job)),
            Message::Listed { list } => self.take_list(list),
            Message::DrainAsked => {
                // The other end is gone when the instance is stopping already.
                let _ = self.done.try_send(End::DrainAsked);
            }
            Message::Drain => call!([self.control], drain()),
            Message::Stop => {}
        }
    }

    fn take_list(&mut self, list: Result<Vec<instances::Instance>, sycamorerill_clients::Error>) {
        let list = match list {
            Ok(list) => list,
            Err(error) => {
                event!(Code::ListState, error = error);
                return;
            }
        };
        let Directory { executors, endpoints, workers, clients, entries } =
            Directory::new(list, &self.name);
        call!([self.calls], listed(executors, endpoints));
        call!([self.cells], listed(workers, clients));
        call!([self.control], listed(entries));
    }

    fn peer(&mut self, from: Option<Hello>, request: peer::Request, respond: peer::Respond) {
        match (request, from) {
            (peer::Request::Control(bytes), Some(from)) => {
                call!([self.control], message(from, bytes));
                respond(peer::Reply::Received);
            }
            (peer::Request::Load(load), Some(from)) => {
                call!([self.calls], heard(from, load));
                respond(peer::Reply::Received);
            }
            (peer::Request::Call(call), _) => call!([self.calls], forwarded(call, respond)),
            (peer::Request::Operate { method, path, query, body, hops }, _) => {
                let head = Head { method, path, query, fields: Vec::new() };
                let (sender, answer) = bounded(1);
                self.operate(Request { head, body }, hops, sender);
                self.lister.run(move || reply_later(&answer, respond));
            }
            // The peer names itself in every message that needs its name.
            (peer::Request::Hello | peer::Request::Control(_) | peer::Request::Load(_), _) => {
                respond(peer::Reply::Received);
            }
        }
    }
}

/// Waits for the answer to a peer's operator and passes it back.
fn reply_later(answer: &Receiver<Response>, respond: peer::Respond) {
    let Ok(response) = answer.recv_timeout(PEER_OPERATOR_TIME) else {
        let failure = Response::failure(
            sycamorerill_core::api::Kind::Unknown,
            "the owner did not answer in time",
            "ask again",
        );
        return respond(operated(failure));
    };
    respond(operated(response));
}

fn operated(response: Response) -> peer::Reply {
    let Response { status, media, body, .. } = response;
    peer::Reply::Operate { status, media, body }
}
