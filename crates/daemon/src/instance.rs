//! One running entry instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded, unbounded};
use sycamorerill_core::id::Incarnation;

use crate::event;
use crate::events::Code;
use crate::front::Front;
use crate::http::{self, Callers, Operators};
use crate::hub::{self, End, Inbox, Message};
use crate::peer::{Hello, Peers};
use crate::settings::Settings;
use crate::shared::Shared;

/// Time that replies to callers and peers take to arrive.
const LINGER: Duration = Duration::from_millis(250);
/// Longest wait for replies to peers.
const LINGER_MOST: Duration = Duration::from_secs(2);
/// Reasons to end that may be waiting to be read.
const MAX_ENDS: usize = 4;

/// The ways in which an entry instance can fail to start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A listener cannot be started.
    #[error(transparent)]
    #[diagnostic(code(instance::listen), help("stop what uses the port or choose another one"))]
    Listen(#[from] http::Error),
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    #[diagnostic(code(instance::thread), help("raise the limit on threads"))]
    Thread(#[from] std::io::Error),
}

/// Addresses that an entry instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entry instances.
    pub peers: SocketAddr,
}

/// One running entry instance.
pub struct Daemon {
    shared: Arc<Shared>,
    inbox: Inbox,
    addresses: Addresses,
    callers: Callers,
    operators: Operators,
    peers: Arc<Peers>,
    hub: JoinHandle<()>,
    ends: Receiver<End>,
    drain_time: Duration,
}

impl Daemon {
    /// Binds all listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let (shared, gate) = Shared::new();
        let shared = Arc::new(shared);
        let (sender, messages) = unbounded();
        let inbox = Inbox::new(sender);
        let front = Front::new(Arc::clone(&shared), inbox.clone());
        let hello = Hello {
            instance: settings.name.clone(),
            incarnation: Incarnation(shared.clock.now().as_ms()),
            domain: settings.domain.clone(),
            address: settings.peer_listen,
        };
        let (peers, hello) = start_peers(hello, front.clone())?;
        let body_bytes = settings.limits.body_bytes;
        let operator_front = Arc::new(front.clone());
        let operators = Operators::start(settings.operator_listen, body_bytes, operator_front)?;
        let callers = Callers::start(settings.listen, settings.limits.clone(), gate, front)?;
        let addresses = Addresses {
            callers: callers.address(),
            operators: operators.address(),
            peers: peers.address(),
        };
        event!(
            Code::Started,
            name = settings.name,
            incarnation = hello.incarnation,
            callers = addresses.callers,
            operators = addresses.operators,
            peers = addresses.peers,
        );
        let drain_time = settings.drain_time.into();
        let (done, ends) = bounded(MAX_ENDS);
        let parts = hub::Parts {
            shared: Arc::clone(&shared),
            inbox: inbox.clone(),
            peers: Arc::clone(&peers),
            connections: callers.open(),
            settings,
            hello,
            done,
        };
        let hub = hub::start(parts, messages)?;
        Ok(Self { shared, inbox, addresses, callers, operators, peers, hub, ends, drain_time })
    }

    /// Returns the addresses that are listened on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Leaves gracefully: accepts nothing new, hands over what is owned, finishes
    /// what is in progress and ends.
    ///
    /// Returns whether everything in progress was finished within the drain time.
    pub fn drain(self) -> bool {
        event!(Code::Draining, time = self.drain_time.as_millis());
        self.shared.set_ready(false);
        self.inbox.send(Message::Drain);
        self.callers.drain();
        let finished = self.wait_drained();
        if !finished {
            event!(Code::DrainTimedOut, time = self.drain_time.as_millis());
        }
        self.linger();
        self.stop();
        finished
    }

    /// Stays while replies are on their way, and while peers may not have heard yet
    /// that this instance leaves.
    fn linger(&self) {
        let end = Instant::now() + LINGER_MOST;
        thread::sleep(LINGER);
        while self.peers.serving() > 0 && Instant::now() < end {
            thread::sleep(LINGER);
        }
    }

    /// Returns what ends the instance, once something has.
    pub fn ends(&self) -> &Receiver<End> {
        &self.ends
    }

    fn wait_drained(&self) -> bool {
        let end = Instant::now() + self.drain_time;
        while let Ok(reason) = self.ends.recv_deadline(end) {
            if reason == End::Drained {
                return true;
            }
        }
        false
    }

    /// Ends at once, as a process does that is killed: nothing more is sent, and
    /// every connection is closed.
    pub fn kill(self) {
        self.shared.kill();
        self.stop();
    }

    fn stop(self) {
        self.shared.kill();
        self.callers.stop();
        self.peers.stop();
        self.inbox.send(Message::Stop);
        // A thread that panicked has nothing left to close.
        let _ = self.hub.join();
        self.operators.stop();
        event!(Code::Stopped);
    }
}

/// Listens for peers and returns who this instance is, with its final address.
fn start_peers(hello: Hello, front: Front) -> Result<(Arc<Peers>, Hello), http::Error> {
    let address = hello.address;
    let failed = |reason| http::Error::Listen { address, reason };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let hello = Hello { address, ..hello };
    let peers = Peers::start(listener, hello.clone(), Arc::new(front))?;
    Ok((Arc::new(peers), hello))
}
