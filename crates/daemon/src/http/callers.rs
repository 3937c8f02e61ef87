//! Serves callers, each within the limits.

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

/// Threads that read and write callers' connections.
const THREADS: usize = 2;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4_096;
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers one request of a caller.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response, once it is known.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// The listener for callers with its threads.
pub(crate) struct Callers {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    drain: Sender<Infallible>,
    stop: Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
}

struct Front<H> {
    handler: H,
    limits: Limits,
    open: Arc<AtomicUsize>,
    draining: Receiver<Infallible>,
}

/// Counts one open connection for as long as it lives.
struct Guard(Arc<AtomicUsize>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Callers {
    /// Takes `address`, and listens and serves callers from the moment that `gate` is
    /// closed until stopped.
    ///
    /// Before that the system refuses connections, so that a balancer turns to another
    /// instance.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on or no thread can be started.
    pub(crate) fn start<H: Handler>(
        address: SocketAddr,
        limits: Limits,
        gate: Receiver<Infallible>,
        handler: H,
    ) -> Result<Self, Error> {
        let failed = |reason| Error::Listen { address, reason };
        let (socket, address) = bind(address).map_err(failed)?;
        let (drain, draining) = async_channel::bounded(1);
        let (stop, stopping) = async_channel::bounded(1);
        let open = Arc::new(AtomicUsize::new(0));
        let front = Arc::new(Front { handler, limits, open: Arc::clone(&open), draining });
        let executor = Arc::new(Executor::new());
        let spawner = Arc::downgrade(&executor);
        executor.spawn(open_then_accept(socket, gate, spawner, front)).detach();
        let threads = start_threads(&executor, &stopping)?;
        Ok(Self { address, open, drain, stop, threads })
    }

    /// Returns the address that is listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Stops accepting and closes each connection after the request in progress.
    pub(crate) fn drain(&self) {
        self.drain.close();
    }

    /// Closes all connections at once and ends the threads.
    pub(crate) fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            // A thread that panicked has nothing left to close.
            let _ = thread.join();
        }
    }
}

fn start_threads(
    executor: &Arc<Executor<'static>>,
    stopping: &Receiver<Infallible>,
) -> Result<Vec<JoinHandle<()>>, Error> {
    let mut threads = Vec::with_capacity(THREADS);
    for _ in 0..THREADS {
        let executor = Arc::clone(executor);
        let stopping = stopping.clone();
        let builder = thread::Builder::new().name("callers".to_owned());
        let thread = builder.spawn(move || {
            // Ends with an error when the channel is closed.
            let _ = block_on(executor.run(stopping.recv()));
        })?;
        threads.push(thread);
    }
    Ok(threads)
}

/// Takes an address without listening on it.
fn bind(address: SocketAddr) -> std::io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A restarted process may find connections of the last one in their last state.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    let taken = socket.local_addr()?.as_socket().unwrap_or(address);
    Ok((socket, taken))
}

async fn open_then_accept<H: Handler>(
    socket: Socket,
    gate: Receiver<Infallible>,
    spawner: std::sync::Weak<Executor<'static>>,
    front: Arc<Front<H>>,
) {
    // Ends with an error when the gate is closed.
    let _ = gate.recv().await;
    let listening = socket.listen(BACKLOG).and_then(|()| Async::new(TcpListener::from(socket)));
    match listening {
        Ok(listener) => accept(listener, spawner, front).await,
        Err(reason) => event!(Code::ListenFailed, listener = "callers", reason = reason),
    }
}

async fn accept<H: Handler>(
    listener: Async<TcpListener>,
    spawner: std::sync::Weak<Executor<'static>>,
    front: Arc<Front<H>>,
) {
    loop {
        let next = {
            let accepting = pin!(listener.accept());
            let draining = pin!(front.draining.recv());
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
                let front = Arc::clone(&front);
                executor.spawn(serve(stream, front)).detach();
            }
            Err(reason) => {
                event!(Code::ListenFailed, listener = "callers", reason = reason);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<H: Handler>(stream: Async<TcpStream>, front: Arc<Front<H>>) {
    let open = front.open.fetch_add(1, Ordering::AcqRel);
    let _guard = Guard(Arc::clone(&front.open));
    if open >= front.limits.connections {
        event!(Code::CallerRefused, reason = "connections", open = open);
        return;
    }
    // Without it, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(|request| {
        let front = Arc::clone(&front);
        async move { Ok::<_, Infallible>(respond(request, &front).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Some(front.limits.head_time.into()))
        .max_buf_size(front.limits.head_bytes.max(8 * 1024))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let draining = pin!(front.draining.recv());
    // An error here is a broken connection, which its caller sees as well.
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
    front: &Front<H>,
) -> hyper::Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let response = match whole(body, &front.limits).await {
        Ok(body) => front.handler.handle(Request { head: head(&parts), body }).await,
        Err(fault) => fault,
    };
    encode(response)
}

async fn whole(body: Incoming, limits: &Limits) -> Result<Bytes, Response> {
    let most = limits.body_bytes;
    let reading = pin!(Limited::new(body, most).collect());
    let timeout = pin!(Timer::after(limits.body_time.into()));
    match select(reading, timeout).await {
        Either::Left((Ok(body), _)) => Ok(body.to_bytes()),
        Either::Left((Err(reason), _)) if reason.is::<LengthLimitError>() => {
            event!(Code::CallerRefused, reason = "body too large", most = most);
            let message = format!("the body has more than {most} bytes");
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

fn head(parts: &hyper::http::request::Parts) -> Head {
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

fn encode(response: Response) -> hyper::Response<Full<Bytes>> {
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
        // The endpoint sent a status or media type that HTTP does not allow.
        let mut fallback = hyper::Response::new(Full::new(Bytes::new()));
        *fallback.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        fallback
    })
}
