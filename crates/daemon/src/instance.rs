//! Startup and shutdown of an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded, unbounded};
use sycamorerill_core::id::Incarnation;

use crate::event;
use crate::events::Code;
use crate::handler::HubHandler;
use crate::http::{self, Callers, Operators};
use crate::hub::{self, EndReason, Inbox, Message};
use crate::peer::{Hello, Peers};
use crate::settings::Settings;
use crate::shared::Shared;

/// Time between two checks for in-flight replies during shutdown.
const REPLY_FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time to wait for in-flight replies to peers during shutdown.
const MAX_REPLY_FLUSH: Duration = Duration::from_secs(2);
/// Capacity of the channel of end reasons.
const MAX_QUEUED_END_REASONS: usize = 4;

/// Errors that prevent an entry instance from starting.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A listener failed to start.
    #[error(transparent)]
    #[diagnostic(code(instance::listen), help("stop what uses the port or choose another one"))]
    Listen(#[from] http::Error),
    /// The operating system refused to start a thread.
    #[error("cannot start a thread: {0}")]
    #[diagnostic(code(instance::thread), help("raise the limit on threads"))]
    Thread(#[from] std::io::Error),
}

/// Addresses on which an entry instance listens, with the ports that were assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entry instances.
    pub peers: SocketAddr,
}

/// A running entry instance.
pub struct Daemon {
    shared: Arc<Shared>,
    inbox: Inbox,
    addresses: Addresses,
    callers: Callers,
    operators: Operators,
    peers: Arc<Peers>,
    hub: JoinHandle<()>,
    end_reasons: Receiver<EndReason>,
    drain_time: Duration,
}

impl Daemon {
    /// Binds all listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let (shared, ready) = Shared::new();
        let shared = Arc::new(shared);
        let (sender, messages) = unbounded();
        let inbox = Inbox::new(sender);
        let handler = HubHandler::new(Arc::clone(&shared), inbox.clone());
        let hello = Hello {
            instance: settings.name.clone(),
            incarnation: Incarnation(shared.clock.now().as_ms()),
            domain: settings.domain.clone(),
            address: settings.peer_listen,
        };
        let (peers, hello) = start_peers(hello, handler.clone())?;
        let body_bytes = settings.limits.body_bytes;
        let operator_handler = Arc::new(handler.clone());
        let operators = Operators::start(settings.operator_listen, body_bytes, operator_handler)?;
        let callers = Callers::start(settings.listen, settings.limits.clone(), ready, handler)?;
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
        let (end_reason_sender, end_reasons) = bounded(MAX_QUEUED_END_REASONS);
        let deps = hub::Dependencies {
            shared: Arc::clone(&shared),
            inbox: inbox.clone(),
            peers: Arc::clone(&peers),
            connections: callers.open_connections(),
            settings,
            hello,
            end_reason_sender,
        };
        let hub = hub::start(deps, messages)?;
        Ok(Self {
            shared,
            inbox,
            addresses,
            callers,
            operators,
            peers,
            hub,
            end_reasons,
            drain_time,
        })
    }

    /// Returns the addresses on which the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully.
    ///
    /// The instance accepts no new work, hands its shards over to its peers, finishes
    /// the work in progress and then stops.
    ///
    /// Returns whether all work in progress was finished within
    /// [`Settings::drain_time`].
    pub fn drain(self) -> bool {
        event!(Code::Draining, time = self.drain_time.as_millis());
        self.shared.set_ready(false);
        self.inbox.send(Message::Drain);
        self.callers.drain();
        let finished = self.wait_until_drained();
        if !finished {
            event!(Code::DrainTimedOut, time = self.drain_time.as_millis());
        }
        self.wait_for_replies();
        self.stop();
        finished
    }

    /// Waits until replies have been sent and peers have had time to learn that this
    /// instance is shutting down.
    fn wait_for_replies(&self) {
        let end = Instant::now() + MAX_REPLY_FLUSH;
        thread::sleep(REPLY_FLUSH_INTERVAL);
        while self.peers.in_flight() > 0 && Instant::now() < end {
            thread::sleep(REPLY_FLUSH_INTERVAL);
        }
    }

    /// Returns the channel that receives the reasons for which the instance ends.
    pub fn end_reasons(&self) -> &Receiver<EndReason> {
        &self.end_reasons
    }

    fn wait_until_drained(&self) -> bool {
        let end = Instant::now() + self.drain_time;
        while let Ok(reason) = self.end_reasons.recv_deadline(end) {
            if reason == EndReason::Drained {
                return true;
            }
        }
        false
    }

    /// Stops immediately, like a killed process: sends nothing more and closes every
    /// connection.
    pub fn kill(self) {
        self.shared.kill();
        self.stop();
    }

    fn stop(self) {
        self.shared.kill();
        self.callers.stop();
        self.peers.stop();
        self.inbox.send(Message::Stop);
        // A panicked thread needs no further cleanup.
        let _ = self.hub.join();
        self.operators.stop();
        event!(Code::Stopped);
    }
}

/// Starts the listener for peers and returns `hello` with the address that was bound.
fn start_peers(hello: Hello, handler: HubHandler) -> Result<(Arc<Peers>, Hello), http::Error> {
    let address = hello.address;
    let failed = |reason| http::Error::Listen { address, reason };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let hello = Hello { address, ..hello };
    let peers = Peers::start(listener, hello.clone(), Arc::new(handler))?;
    Ok((Arc::new(peers), hello))
}
