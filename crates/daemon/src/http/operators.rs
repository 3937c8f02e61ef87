//! The HTTP server for operators.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use bytes::Bytes;
use tiny_http::{Header, Server};

use sycamorerill_core::api::Kind;

use super::{Error, Head, Request, Response};

/// Number of threads that serve operators.
const THREAD_COUNT: usize = 8;

/// Handler of operators' requests; called on several threads.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response to a request; may block.
    fn handle(&self, request: Request) -> Response;
}

/// The HTTP server for operators.
pub(crate) struct Operators {
    address: SocketAddr,
    server: Arc<Server>,
    threads: Vec<JoinHandle<()>>,
}

impl Operators {
    /// Listens on `address` and serves operators until stopped.
    ///
    /// `body_bytes` is the maximum size of a request's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub(crate) fn start(
        address: SocketAddr,
        body_bytes: usize,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, Error> {
        let failed = |reason: std::io::Error| Error::Listen { address, reason };
        let listener = std::net::TcpListener::bind(address).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let other = |reason: Box<dyn std::error::Error + Send + Sync>| {
            failed(std::io::Error::other(reason))
        };
        let server = Arc::new(Server::from_listener(listener, None).map_err(other)?);
        let mut threads = Vec::with_capacity(THREAD_COUNT);
        for _ in 0..THREAD_COUNT {
            let server = Arc::clone(&server);
            let handler = Arc::clone(&handler);
            let builder = thread::Builder::new().name("operators".to_owned());
            let serve = move || {
                // `recv` returns an error when `stop` calls `unblock`.
                while let Ok(request) = server.recv() {
                    answer(request, body_bytes, handler.as_ref());
                }
            };
            threads.push(builder.spawn(serve)?);
        }
        Ok(Self { address, server, threads })
    }

    /// Returns the address that was bound.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the threads after their requests in progress.
    pub(crate) fn stop(self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads {
            // A panicked thread needs no further cleanup.
            let _ = thread.join();
        }
    }
}

fn answer(mut request: tiny_http::Request, body_bytes: usize, handler: &dyn Handler) {
    let response = match read_request(&mut request, body_bytes) {
        Ok(whole) => handler.handle(whole),
        Err(failure) => failure,
    };
    let mut reply =
        tiny_http::Response::from_data(response.body.to_vec()).with_status_code(response.status);
    if let Ok(header) = Header::from_bytes("Content-Type", response.media) {
        reply.add_header(header);
    }
    // Responding fails if the operator has closed the connection.
    let _ = request.respond(reply);
}

fn read_request(request: &mut tiny_http::Request, max_bytes: usize) -> Result<Request, Response> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let field = |header: &Header| {
        let name = header.field.as_str().as_str().to_ascii_lowercase();
        (name, Bytes::copy_from_slice(header.value.as_str().as_bytes()))
    };
    let head = Head {
        method: request.method().to_string(),
        path: path.to_owned(),
        query: query.to_owned(),
        fields: request.headers().iter().map(field).collect(),
    };
    let mut body = Vec::new();
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX).saturating_add(1);
    let read = request.as_reader().take(limit).read_to_end(&mut body);
    if read.is_err() {
        let message = "the body cannot be read to its end";
        return Err(Response::failure(Kind::Malformed, message, "check Content-Length"));
    }
    if body.len() > max_bytes {
        let message = format!("the body has more than {max_bytes} bytes");
        return Err(Response::failure(Kind::TooLarge, message, "send a smaller body"));
    }
    Ok(Request { head, body: body.into() })
}
