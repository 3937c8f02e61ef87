//! Requests to one address and their whole answers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamorerill_core::clock::Span;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::http::{self, HeaderMap, Method, StatusCode};

use super::transport::{self, Noting, Numbers};
use crate::error::{Doubt, Error};
use crate::settings::Settings;

/// Header that names the entry instance of a request.
const CLIENT_HEADER: &str = "x-client";
/// Content type of JSON bodies.
const JSON: &str = "application/json";

/// Requests to one address.
#[derive(Clone, Debug)]
pub(crate) struct Channel {
    agent: ureq::Agent,
    address: SocketAddr,
    settings: Settings,
}

/// A request before it is sent.
#[derive(Debug, Default)]
pub(crate) struct Request<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'static str, &'a str)>,
    pub(crate) body: Bytes,
    /// Shorter timeout than that of the settings.
    pub(crate) timeout: Option<Span>,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte was sent.
    NotSent(String),
    /// Bytes were sent.
    Unknown(Doubt),
}

impl Channel {
    pub(crate) fn new(address: SocketAddr, settings: Settings) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .user_agent("")
            .accept("")
            .allow_non_standard_methods(true)
            .max_idle_connections(settings.max_idle)
            .max_idle_connections_per_host(settings.max_idle)
            .max_idle_age(settings.idle_age.into())
            .build();
        let agent = ureq::Agent::with_parts(config, Noting::new(), Numbers);
        Self { agent, address, settings }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `request` at most once and returns its whole answer.
    pub(crate) fn send(&self, request: Request<'_>) -> Result<Reply, Failure> {
        transport::begin();
        self.exchange(request).map_err(|error| self.failure(error))
    }

    fn exchange(&self, request: Request<'_>) -> Result<Reply, Broken> {
        let timeout = request.timeout.unwrap_or(self.settings.timeout);
        let built = self.build(&request)?;
        let configured = self.agent.configure_request(built);
        let configured = configured.timeout_global(Some(Duration::from(timeout))).build();
        let answer = self.agent.run(configured)?;
        let (parts, mut body) = answer.into_parts();
        if !is_framed(&request.method, parts.status, &parts.headers) {
            return Err(Broken::Unframed);
        }
        let body = body.with_config().limit(self.settings.max_answer).read_to_vec()?;
        Ok(Reply { status: parts.status, headers: parts.headers, body: Bytes::from(body) })
    }

    fn build(&self, request: &Request<'_>) -> Result<http::Request<Vec<u8>>, ureq::Error> {
        let url = format!("http://{}{}", self.address, request.path);
        let mut built = http::Request::builder().method(request.method.clone()).uri(url);
        if let Some(client) = &self.settings.client {
            built = built.header(CLIENT_HEADER, client.as_str());
        }
        for (name, value) in &request.headers {
            built = built.header(*name, *value);
        }
        Ok(built.body(request.body.to_vec())?)
    }

    fn failure(&self, broken: Broken) -> Failure {
        let limit = self.settings.max_answer;
        let error = match broken {
            Broken::Unframed => return Failure::Unknown(Doubt::Unframed),
            Broken::Transport(error) => error,
        };
        if !transport::sent() {
            return Failure::NotSent(error.to_string());
        }
        Failure::Unknown(match error {
            ureq::Error::Timeout(_) => Doubt::Timeout,
            ureq::Error::BodyExceedsLimit(_) => Doubt::TooLarge { limit },
            ureq::Error::Io(error) if error.kind() == ErrorKind::TimedOut => Doubt::Timeout,
            ureq::Error::Io(_) => Doubt::Cut,
            other => Doubt::Protocol { reason: other.to_string() },
        })
    }

    /// Sends a request and reads a JSON answer.
    pub(crate) fn json<T: DeserializeOwned>(
        &self,
        request: Request<'_>,
        expected: &'static str,
    ) -> Result<T, Error> {
        let reply = self.checked(request)?;
        self.parse(&reply.body, expected)
    }

    /// Sends a JSON body and returns the reply, whatever its status.
    pub(crate) fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Reply, Error> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::NotSent { address: self.address, reason: error.to_string() })?;
        self.any(Request {
            method: Method::POST,
            path,
            headers: vec![("content-type", JSON)],
            body: Bytes::from(body),
            timeout: None,
        })
    }

    /// Sends a request and returns the reply, whatever its status.
    pub(crate) fn any(&self, request: Request<'_>) -> Result<Reply, Error> {
        let address = self.address;
        self.send(request).map_err(|failure| match failure {
            Failure::NotSent(reason) => Error::NotSent { address, reason },
            Failure::Unknown(doubt) => Error::Unknown { address, doubt },
        })
    }

    /// Sends a request and returns the reply of a success.
    pub(crate) fn checked(&self, request: Request<'_>) -> Result<Reply, Error> {
        let reply = self.any(request)?;
        self.success(reply)
    }

    /// Returns the reply if its status tells success, and the typed error otherwise.
    pub(crate) fn success(&self, reply: Reply) -> Result<Reply, Error> {
        let address = self.address;
        if reply.status.is_success() {
            return Ok(reply);
        }
        if reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Unavailable { address });
        }
        let reason = String::from_utf8_lossy(&reply.body).into_owned();
        if reply.status.is_client_error() {
            return Err(Error::Refused { address, status: reply.status.as_u16(), reason });
        }
        let reason = format!("status {}: {reason}", reply.status);
        Err(Error::Malformed { address, expected: "a success", reason })
    }

    /// Reads a JSON body.
    pub(crate) fn parse<T: DeserializeOwned>(
        &self,
        body: &[u8],
        expected: &'static str,
    ) -> Result<T, Error> {
        serde_json::from_slice(body).map_err(|error| Error::Malformed {
            address: self.address,
            expected,
            reason: error.to_string(),
        })
    }
}

/// An exchange that came to no whole answer.
enum Broken {
    Unframed,
    Transport(ureq::Error),
}

impl From<ureq::Error> for Broken {
    fn from(error: ureq::Error) -> Self {
        Self::Transport(error)
    }
}

/// Reports whether the end of the answer's body can be told from a cut.
fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
