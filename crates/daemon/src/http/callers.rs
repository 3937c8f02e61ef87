//! The HTTP server for callers, which enforces the limits on each connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use bytes::Bytes;
use futures::future::{Either, select};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::{Domain, Socket, Type};

use sycamorerill_core::api::Kind;

use super::{Error, Head, Request, Response};
use crate::event;
use crate::events::Code;
use crate::settings::Limits;

/// Number of threads that serve callers' connections.
const THREAD_COUNT: usize = 2;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;
/// Delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handler of callers' requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// The HTTP server for callers.
pub(crate) struct Callers {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    drain: Sender<Infallible>,
    stop: Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
}

struct ServeContext<H> {
    handler: H,
    limits: Limits,
    open_connections: Arc<AtomicUsize>,
    draining: Receiver<Infallible>,
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Callers {
    /// Binds `address` and starts the threads.
    ///
    /// The server starts listening when `ready` is closed. Until then the operating system
    /// refuses connections, so that a load balancer chooses another instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub(crate) fn start<H: Handler>(
        address: SocketAddr,
        limits: Limits,
        ready: Receiver<Infallible>,
        handler: H,
    ) -> Result<Self, Error> {
        let failed = |reason| Error::Listen { address, reason };
        let (socket, address) = bind(address).map_err(failed)?;
        let (drain, draining) = async_channel::bounded(1);
        let (stop, stopping) = async_channel::bounded(1);
        let open_connections = Arc::new(AtomicUsize::new(0));
        let context = Arc::new(ServeContext {
            handler,
            limits,
            open_connections: Arc::clone(&open_connections),
            draining,
        });
        let executor = Arc::new(Executor::new());
        let spawner = Arc::downgrade(&executor);
        executor.spawn(listen_when_ready(socket, ready, spawner, context)).detach();
        let threads = start_threads(&executor, &stopping)?;
        Ok(Self { address, open_connections, drain, stop, threads })
    }

    /// Returns the address that was bound.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counter of open connections.
    pub(crate) fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open_connections)
    }

    /// Stops accepting connections and closes each one after its request in progress.
    pub(crate) fn drain(&self) {
        self.drain.close();
    }

    /// Closes all connections immediately and ends the threads.
    pub(crate) fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            // A panicked thread needs no further cleanup.
            let _ = thread.join();
        }
    }
}

fn start_threads(
    executor: &Arc<Executor<'static>>,
    stopping: &Receiver<Infallible>,
) -> Result<Vec<JoinHandle<()>>, Error> {
    let mut threads = Vec::with_capacity(THREAD_COUNT);
    for _ in 0..THREAD_COUNT {
        let executor = Arc::clone(executor);
        let stopping = stopping.clone();
        let builder = thread::Builder::new().name("callers".to_owned());
        let thread = builder.spawn(move || {
            // `recv` returns an error when `stop` closes the channel.
            let _ = block_on(executor.run(stopping.recv()));
        })?;
        threads.push(thread);
    }
    Ok(threads)
}

/// Binds a socket to an address without listening on it.
///
/// Returns the socket and the bound address with its final port.
fn bind(address: SocketAddr) -> std::io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Allows a restarted process to bind the address while connections of the previous
    // process are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    let taken = socket.local_addr()?.as_socket().unwrap_or(address);
    Ok((socket, taken))
}

async fn listen_when_ready<H: Handler>(
    socket: Socket,
    ready: Receiver<Infallible>,
    spawner: std::sync::Weak<Executor<'static>>,
    context: Arc<ServeContext<H>>,
) {
    // `recv` returns an error when the channel is closed, which signals readiness.
    let _ = ready.recv().await;
    let listening =
        socket.listen(LISTEN_BACKLOG).and_then(|()| Async::new(TcpListener::from(socket)));
    match listening {
        Ok(listener) => accept(listener, spawner, context).await,
        Err(reason) => event!(Code::ListenFailed, listener = "callers", reason = reason),
    }
}

async fn accept<H: Handler>(
    listener: Async<TcpListener>,
    spawner: std::sync::Weak<Executor<'static>>,
    context: Arc<ServeContext<H>>,
) {
    loop {
        let next = {
            let accepting = pin!(listener.accept());
            let draining = pin!(context.draining.recv());
            match select(accepting, draining).await {
                Either::Left((next, _)) => next,
                Either::Right(_) => return,
            }
        };
        let Some(executor) = spawner.upgrade() else {
            return;
        };
        match next {
            Ok((stream, _)) => {
                let context = Arc::clone(&context);
                executor.spawn(serve(stream, context)).detach();
            }
            Err(reason) => {
                event!(Code::ListenFailed, listener = "callers", reason = reason);
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<H: Handler>(stream: Async<TcpStream>, context: Arc<ServeContext<H>>) {
    let open = context.open_connections.fetch_add(1, Ordering::AcqRel);
    let _guard = ConnectionGuard(Arc::clone(&context.open_connections));
    if open >= context.limits.connections {
        event!(Code::CallerRefused, reason = "connections", open = open);
        return;
    }
    // Without TCP_NODELAY, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(|request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(respond(request, &context).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Some(context.limits.head_time.into()))
        .max_buf_size(context.limits.head_bytes.max(8 * 1024))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let draining = pin!(context.draining.recv());
    // An error means that the connection broke, which the caller notices as well.
    let _ = match select(connection.as_mut(), draining).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}

async fn respond<H: Handler>(
    request: hyper::Request<Incoming>,
    context: &ServeContext<H>,
) -> hyper::Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let response = match read_body(body, &context.limits).await {
        Ok(body) => context.handler.handle(Request { head: to_head(&parts), body }).await,
        Err(failure) => failure,
    };
    to_hyper(response)
}

async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, Response> {
    let max_bytes = limits.body_bytes;
    let reading = pin!(Limited::new(body, max_bytes).collect());
    let timeout = pin!(Timer::after(limits.body_time.into()));
    match select(reading, timeout).await {
        Either::Left((Ok(body), _)) => Ok(body.to_bytes()),
        Either::Left((Err(reason), _)) if reason.is::<LengthLimitError>() => {
            event!(Code::CallerRefused, reason = "body too large", most = max_bytes);
            let message = format!("the body has more than {max_bytes} bytes");
            Err(Response::failure(Kind::TooLarge, message, "send a smaller body"))
        }
        Either::Left((Err(reason), _)) => {
            event!(Code::CallerRefused, reason = "body", error = reason);
            let message = "the body cannot be read to its end";
            Err(Response::failure(Kind::Malformed, message, "check Content-Length and chunks"))
        }
        Either::Right(_) => {
            event!(Code::CallerRefused, reason = "body too slow");
            let message = format!("the body took longer than {}", limits.body_time);
            Err(Response::failure(Kind::Timeout, message, "send the whole body at once"))
        }
    }
}

fn to_head(parts: &hyper::http::request::Parts) -> Head {
    let field = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    Head {
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        fields: parts.headers.iter().map(field).collect(),
    }
}

fn to_hyper(response: Response) -> hyper::Response<Full<Bytes>> {
    let mut builder = hyper::Response::builder()
        .status(response.status)
        .header(hyper::header::CONTENT_TYPE, response.media);
    if let Some(outcome) = response.outcome {
        builder = builder.header("x-outcome", outcome);
    }
    if let Some(elapsed) = response.elapsed {
        builder = builder.header("x-elapsed-ms", elapsed.as_ms_f64().to_string());
    }
    builder.body(Full::new(response.body)).unwrap_or_else(|_| {
        // The endpoint sent a status code or media type that HTTP does not allow.
        let mut fallback = hyper::Response::new(Full::new(Bytes::new()));
        *fallback.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        fallback
    })
}
