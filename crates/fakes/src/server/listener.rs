//! Accepts connections and serves their requests on a fixed number of threads.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Weak};
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use futures::channel::oneshot;
use http_body_util::{BodyExt, Limited};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::{Domain, Protocol, Socket, Type};
use sycamorerill_core::clock::Span;

use super::connection::{Connection, Incoming};
use super::reply::Reply;

/// Length of the queue of connections that wait to be accepted.
///
/// The standard library's 128 overflow when several hundred clients connect at
/// once: some connections then wait a second for the retransmission, others are reset.
const BACKLOG: i32 = 4_096;
/// Delay before the next attempt when accepting a connection failed.
const ACCEPT_PAUSE: Span = Span::from_ms(10);
/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Handles the requests of a [`Server`].
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Incoming) -> impl Future<Output = Reply> + Send;

    /// Called when a connection has closed.
    fn connection_closed(&self, connection: &Connection);
}

/// An HTTP server that runs until it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Binds the address, which the handler may need to know before the server starts.
    pub(crate) fn bind(listen: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&listen.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        Ok((listener, address))
    }

    /// Serves requests with `handler` on `threads` threads.
    pub(crate) fn start<H: Handler>(
        listener: TcpListener,
        threads: usize,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        // Tasks hold a weak reference to the executor: a reference cycle would keep the listener
        // open after a stop.
        executor.spawn(accept(listener, Arc::downgrade(&executor), handler)).detach();
        let threads = (0..threads.max(1))
            .map(|_| spawn(Arc::clone(&executor), stopped.clone()))
            .collect::<io::Result<_>>()?;
        Ok(Self { address, stop: Some(stop), threads })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub(crate) fn stop(&mut self) {
        self.stop = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn(executor: Arc<Executor<'static>>, stopped: Receiver<()>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name("stand-in".to_owned()).spawn(move || {
        let _ = block_on(executor.run(stopped.recv()));
    })
}

async fn accept<H: Handler>(
    listener: Async<TcpListener>,
    spawner: Weak<Executor<'static>>,
    handler: Arc<H>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of file descriptors; others may close meanwhile.
            Timer::after(ACCEPT_PAUSE.into()).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let Some(executor) = spawner.upgrade() else {
            return;
        };
        let serving = serve(stream, spawner.clone(), Arc::clone(&handler));
        executor.spawn(serving).detach();
    }
}

async fn serve<H: Handler>(
    stream: Async<TcpStream>,
    spawner: Weak<Executor<'static>>,
    handler: Arc<H>,
) {
    let connection = Arc::new(Connection::default());
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        let connection = Arc::clone(&connection);
        let spawner = spawner.clone();
        async move { answer(handler, spawner, connection, request).await.into_response() }
    });
    let mut server = http1::Builder::new();
    server.timer(SmolTimer::new()).header_read_timeout(None);
    let _ = server.serve_connection(FuturesIo::new(stream), service).await;
    handler.connection_closed(&connection);
}

/// Answers a request; a separate task handles it to the end even if the client disconnects.
async fn answer<H: Handler>(
    handler: Arc<H>,
    spawner: Weak<Executor<'static>>,
    connection: Arc<Connection>,
    request: Request<hyper::body::Incoming>,
) -> Reply {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Reply::status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let incoming = Incoming {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: body.to_bytes(),
        connection,
    };
    let (sender, receiver) = oneshot::channel();
    let Some(executor) = spawner.upgrade() else {
        return Reply::Close;
    };
    let handling = async move {
        let _ = sender.send(handler.handle(incoming).await);
    };
    executor.spawn(handling).detach();
    drop(executor);
    receiver.await.unwrap_or(Reply::Close)
}
