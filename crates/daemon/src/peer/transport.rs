//! The thread that holds all connections between entry instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use futures::future::{Either, select};
use sycamorerill_core::clock::Span;
use sycamorerill_schema::peer;

use super::message::{Error, Hello, Reply, Request};
use super::{connection, server};
use crate::event;
use crate::events::Code;
use crate::http;

/// Delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Callback that sends the reply to a peer's request.
pub(crate) type Respond = Box<dyn FnOnce(Reply) + Send>;
/// Callback that receives a peer's reply, or the error of the request.
type OnReply = Box<dyn FnOnce(Result<Reply, Error>) + Send>;

/// Handler of requests of other entry instances.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles a request; `respond` is called with the reply, possibly later.
    fn handle(&self, from: Option<Hello>, request: Request, respond: Respond);
}

/// State shared by all connections from peers.
#[derive(Clone)]
pub(super) struct ServeContext {
    pub(super) own: Hello,
    pub(super) handler: Arc<dyn Handler>,
    /// Number of requests that have no reply yet.
    pub(super) in_flight: Arc<AtomicUsize>,
}

struct OutgoingRequest {
    to: SocketAddr,
    request: Request,
    timeout: Span,
    on_reply: OnReply,
}

/// Connections to and from other entry instances.
pub(crate) struct Peers {
    outgoing: Sender<OutgoingRequest>,
    stop: Sender<Infallible>,
    address: SocketAddr,
    in_flight: Arc<AtomicUsize>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Peers {
    /// Starts the thread and serves other entry instances on `listener` until stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener is not usable or the thread cannot be started.
    pub(crate) fn start(
        listener: TcpListener,
        own: Hello,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, http::Error> {
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let in_flight = Arc::new(AtomicUsize::new(0));
        let context = ServeContext { own: own.clone(), handler, in_flight: Arc::clone(&in_flight) };
        let (outgoing, requests) = async_channel::unbounded();
        let (stop, stopping) = async_channel::bounded(1);
        let builder = thread::Builder::new().name("peers".to_owned());
        let thread = builder.spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            // Tasks hold a weak reference: a task that owned its executor would never be
            // dropped.
            let spawner = Rc::downgrade(&executor);
            let accepting = accept(listener, context, spawner.clone());
            executor.spawn(accepting).detach();
            let sending = send_all(requests, own, spawner);
            executor.spawn(sending).detach();
            // `recv` returns an error when `stop` closes the channel.
            let _ = block_on(executor.run(stopping.recv()));
        })?;
        Ok(Self { outgoing, stop, address, in_flight, thread: Mutex::new(Some(thread)) })
    }

    /// Returns the address on which the listener accepts connections.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of peers' requests that have no reply yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Sends a request.
    ///
    /// `on_reply` is called on the connections' thread, or immediately with an error if
    /// that thread has stopped.
    pub(crate) fn send(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Span,
        on_reply: impl FnOnce(Result<Reply, Error>) + Send + 'static,
    ) {
        let outgoing = OutgoingRequest { to, request, timeout, on_reply: Box::new(on_reply) };
        if let Err(refused) = self.outgoing.try_send(outgoing) {
            let outgoing = refused.into_inner();
            (outgoing.on_reply)(Err(Error::NotSent("the instance has stopped".to_owned())));
        }
    }

    /// Closes all connections immediately and ends the thread.
    pub(crate) fn stop(&self) {
        self.outgoing.close();
        self.stop.close();
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        if let Some(thread) = thread {
            // A panicked thread needs no further cleanup.
            let _ = thread.join();
        }
    }
}

async fn accept(
    listener: Async<TcpListener>,
    context: ServeContext,
    spawner: Weak<LocalExecutor<'static>>,
) {
    loop {
        let next = listener.accept().await;
        let Some(executor) = spawner.upgrade() else {
            return;
        };
        match next {
            Ok((stream, _)) => {
                let serving = server::serve(stream, context.clone());
                executor.spawn(serving).detach();
            }
            Err(reason) => {
                event!(Code::ListenFailed, listener = "peers", reason = reason);
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Clients of the peers, by address.
type Clients = RefCell<BTreeMap<SocketAddr, peer::peer::Client>>;

async fn send_all(
    requests: Receiver<OutgoingRequest>,
    own: Hello,
    spawner: Weak<LocalExecutor<'static>>,
) {
    let clients: Rc<Clients> = Rc::default();
    while let Ok(outgoing) = requests.recv().await {
        let Some(executor) = spawner.upgrade() else {
            return;
        };
        let clients = Rc::clone(&clients);
        let own = own.clone();
        let spawner = Weak::clone(&spawner);
        let exchange = async move {
            let OutgoingRequest { to, request, timeout, on_reply } = outgoing;
            let reply = exchange(&clients, &spawner, &own, to, &request, timeout).await;
            if reply.is_err() {
                clients.borrow_mut().remove(&to);
            }
            on_reply(reply);
        };
        executor.spawn(exchange).detach();
    }
}

async fn exchange(
    clients: &Clients,
    spawner: &Weak<LocalExecutor<'static>>,
    own: &Hello,
    to: SocketAddr,
    request: &Request,
    timeout: Span,
) -> Result<Reply, Error> {
    // A hello identifies the process that listens now, so it needs a new connection.
    let reusable = !matches!(request, Request::Hello);
    let known = clients.borrow().get(&to).filter(|_| reusable).cloned();
    let client = match known {
        Some(client) => client,
        None => {
            let client = connection::connect(to, spawner).await?;
            clients.borrow_mut().insert(to, client.clone());
            client
        }
    };
    let exchange = pin!(connection::exchange(&client, own, request));
    match select(exchange, pin!(Timer::after(timeout.into()))).await {
        Either::Left((reply, _)) => reply,
        Either::Right(_) => Err(Error::Lost("timed out".to_owned())),
    }
}
