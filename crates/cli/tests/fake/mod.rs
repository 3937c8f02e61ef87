//! A fake entry instance with canned answers, on a free loopback port.

use std::sync::Arc;
use std::thread;

use serde_json::Value;
use tiny_http::{Header, Method, Response, Server};

/// A request, as passed to the function that answers it.
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Value,
}

/// A fake entry instance that answers until it is dropped.
pub(crate) struct Fake {
    server: Arc<Server>,
}

impl Fake {
    /// Starts an instance that answers each request with the status and the JSON body that
    /// `answer` returns.
    pub(crate) fn start(answer: impl FnMut(&Request) -> (u16, Value) + Send + 'static) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let listener = Arc::clone(&server);
        thread::spawn(move || serve(&listener, answer));
        Self { server }
    }

    pub(crate) fn address(&self) -> String {
        self.server.server_addr().to_ip().unwrap().to_string()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn serve(server: &Server, mut answer: impl FnMut(&Request) -> (u16, Value)) {
    for mut incoming in server.incoming_requests() {
        let mut body = String::new();
        incoming.as_reader().read_to_string(&mut body).unwrap();
        let request = Request {
            method: incoming.method().clone(),
            path: incoming.url().to_owned(),
            body: serde_json::from_str(&body).unwrap_or(Value::Null),
        };
        let (status, body) = answer(&request);
        let json = Header::from_bytes("content-type", "application/json").unwrap();
        let response = Response::from_string(body.to_string());
        let response = response.with_status_code(status).with_header(json);
        // The client may have closed the connection.
        let _ = incoming.respond(response);
    }
}
