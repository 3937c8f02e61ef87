//! The thread that holds the connections between entry instances.

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

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes the reply to one request.
pub(crate) type Respond = Box<dyn FnOnce(Reply) + Send>;
/// Takes the reply of a peer or the failure to get one.
type Done = Box<dyn FnOnce(Result<Reply, Error>) + Send>;

/// Answers the requests of other entry instances.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Takes a request; the reply is given to `respond`, now or later.
    fn handle(&self, from: Option<Hello>, request: Request, respond: Respond);
}

/// What each connection from a peer is served with.
#[derive(Clone)]
pub(super) struct Front {
    pub(super) own: Hello,
    pub(super) handler: Arc<dyn Handler>,
    /// Requests that have no reply yet.
    pub(super) serving: Arc<AtomicUsize>,
}

struct Outgoing {
    to: SocketAddr,
    request: Request,
    timeout: Span,
    done: Done,
}

/// Connections to and from other entry instances.
pub(crate) struct Peers {
    outgoing: Sender<Outgoing>,
    stop: Sender<Infallible>,
    address: SocketAddr,
    serving: Arc<AtomicUsize>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Peers {
    /// Serves other entry instances on `listener` until stopped.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub(crate) fn start(
        listener: TcpListener,
        own: Hello,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, http::Error> {
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let serving = Arc::new(AtomicUsize::new(0));
        let front = Front { own: own.clone(), handler, serving: Arc::clone(&serving) };
        let (outgoing, requests) = async_channel::unbounded();
        let (stop, stopping) = async_channel::bounded(1);
        let builder = thread::Builder::new().name("peers".to_owned());
        let thread = builder.spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            // A task that owned its executor would never be dropped.
            let spawner = Rc::downgrade(&executor);
            let accepting = accept(listener, front, spawner.clone());
            executor.spawn(accepting).detach();
            let sending = send(requests, own, spawner);
            executor.spawn(sending).detach();
            // Ends with an error when the channel is closed.
            let _ = block_on(executor.run(stopping.recv()));
        })?;
        Ok(Self { outgoing, stop, address, serving, thread: Mutex::new(Some(thread)) })
    }

    /// Returns the address that is listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of peers' requests that have no reply yet.
    pub(crate) fn serving(&self) -> usize {
        self.serving.load(Ordering::Acquire)
    }

    /// Sends a request; `done` gets the reply on another thread.
    pub(crate) fn send(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Span,
        done: impl FnOnce(Result<Reply, Error>) + Send + 'static,
    ) {
        let outgoing = Outgoing { to, request, timeout, done: Box::new(done) };
        if let Err(refused) = self.outgoing.try_send(outgoing) {
            let outgoing = refused.into_inner();
            (outgoing.done)(Err(Error::NotSent("the instance has stopped".to_owned())));
        }
    }

    /// Closes all connections at once and ends the thread.
    pub(crate) fn stop(&self) {
        self.outgoing.close();
        self.stop.close();
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        if let Some(thread) = thread {
            // A thread that panicked has nothing left to close.
            let _ = thread.join();
        }
    }
}

async fn accept(listener: Async<TcpListener>, front: Front, spawner: Weak<LocalExecutor<'static>>) {
    loop {
        let next = listener.accept().await;
        let Some(executor) = spawner.upgrade() else {
            return;
        };
        match next {
            Ok((stream, _)) => {
                let serving = server::serve(stream, front.clone());
                executor.spawn(serving).detach();
            }
            Err(reason) => {
                event!(Code::ListenFailed, listener = "peers", reason = reason);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Clients of the peers by address.
type Clients = RefCell<BTreeMap<SocketAddr, peer::peer::Client>>;

async fn send(requests: Receiver<Outgoing>, own: Hello, spawner: Weak<LocalExecutor<'static>>) {
    let clients: Rc<Clients> = Rc::default();
    while let Ok(outgoing) = requests.recv().await {
        let Some(executor) = spawner.upgrade() else {
            return;
        };
        let clients = Rc::clone(&clients);
        let own = own.clone();
        let spawner = Weak::clone(&spawner);
        let one = async move {
            let Outgoing { to, request, timeout, done } = outgoing;
            let reply = exchange(&clients, &spawner, &own, to, &request, timeout).await;
            if reply.is_err() {
                clients.borrow_mut().remove(&to);
            }
            done(reply);
        };
        executor.spawn(one).detach();
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
    // A hello asks who listens now, which an older connection cannot tell.
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
