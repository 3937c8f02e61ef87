//! HTTP requests to one address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamorerill_core::clock::Span;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::http::{self, HeaderMap, Method, StatusCode};

use super::transport::{self, IpResolver, TrackingConnector};
use crate::error::{Error, UnknownCause};
use crate::settings::Settings;

/// Header with the name of the entry instance that sends a request.
const CLIENT_HEADER: &str = "x-client";
const JSON_CONTENT_TYPE: &str = "application/json";

/// Connection pool for requests to one address.
#[derive(Clone, Debug)]
pub(crate) struct Channel {
    agent: ureq::Agent,
    address: SocketAddr,
    settings: Settings,
}

/// A request to send.
#[derive(Debug, Default)]
pub(crate) struct Request<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'static str, &'a str)>,
    pub(crate) body: Bytes,
    /// Timeout of this request; defaults to that of the settings.
    pub(crate) timeout: Option<Span>,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Reason why no complete response was received.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NotSent(String),
    /// Bytes were sent, so it is unknown whether the request took effect.
    Unknown(UnknownCause),
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
        let agent = ureq::Agent::with_parts(config, TrackingConnector::new(), IpResolver);
        Self { agent, address, settings }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `request` at most once and returns the complete response.
    pub(crate) fn send(&self, request: Request<'_>) -> Result<Response, Failure> {
        transport::reset_sent();
        self.try_send(request).map_err(|error| self.classify(error))
    }

    fn try_send(&self, request: Request<'_>) -> Result<Response, ExchangeError> {
        let timeout = request.timeout.unwrap_or(self.settings.timeout);
        let built = self.build(&request)?;
        let configured = self.agent.configure_request(built);
        let configured = configured.timeout_global(Some(Duration::from(timeout))).build();
        let response = self.agent.run(configured)?;
        let (parts, mut body) = response.into_parts();
        if !is_delimited(&request.method, parts.status, &parts.headers) {
            return Err(ExchangeError::NotDelimited);
        }
        let body = body.with_config().limit(self.settings.max_response_bytes).read_to_vec()?;
        Ok(Response { status: parts.status, headers: parts.headers, body: Bytes::from(body) })
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

    fn classify(&self, error: ExchangeError) -> Failure {
        let limit = self.settings.max_response_bytes;
        let error = match error {
            ExchangeError::NotDelimited => return Failure::Unknown(UnknownCause::NotDelimited),
            ExchangeError::Transport(error) => error,
        };
        if !transport::was_sent() {
            return Failure::NotSent(error.to_string());
        }
        Failure::Unknown(match error {
            ureq::Error::Timeout(_) => UnknownCause::Timeout,
            ureq::Error::BodyExceedsLimit(_) => UnknownCause::TooLarge { limit },
            ureq::Error::Io(error) if error.kind() == ErrorKind::TimedOut => UnknownCause::Timeout,
            ureq::Error::Io(_) => UnknownCause::ConnectionClosed,
            other => UnknownCause::Protocol { reason: other.to_string() },
        })
    }

    /// Sends a request and parses the JSON body of a successful response.
    pub(crate) fn request_json<T: DeserializeOwned>(
        &self,
        request: Request<'_>,
        expected: &'static str,
    ) -> Result<T, Error> {
        let response = self.request_success(request)?;
        self.parse_json(&response.body, expected)
    }

    /// Sends a POST request with a JSON body and returns the response of any status.
    pub(crate) fn post_json<T: Serialize>(&self, path: &str, body: &T) -> Result<Response, Error> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::NotSent { address: self.address, reason: error.to_string() })?;
        self.request(Request {
            method: Method::POST,
            path,
            headers: vec![("content-type", JSON_CONTENT_TYPE)],
            body: Bytes::from(body),
            timeout: None,
        })
    }

    /// Sends a request and returns the response of any status.
    pub(crate) fn request(&self, request: Request<'_>) -> Result<Response, Error> {
        let address = self.address;
        self.send(request).map_err(|failure| match failure {
            Failure::NotSent(reason) => Error::NotSent { address, reason },
            Failure::Unknown(cause) => Error::Unknown { address, cause },
        })
    }

    /// Sends a request and returns the response if its status is a success.
    pub(crate) fn request_success(&self, request: Request<'_>) -> Result<Response, Error> {
        let response = self.request(request)?;
        self.require_success(response)
    }

    /// Returns the response if its status is a success, and the matching error otherwise.
    pub(crate) fn require_success(&self, response: Response) -> Result<Response, Error> {
        let address = self.address;
        if response.status.is_success() {
            return Ok(response);
        }
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Unavailable { address });
        }
        let reason = String::from_utf8_lossy(&response.body).into_owned();
        if response.status.is_client_error() {
            return Err(Error::Refused { address, status: response.status.as_u16(), reason });
        }
        let reason = format!("status {}: {reason}", response.status);
        Err(Error::Malformed { address, expected: "a success", reason })
    }

    /// Parses a JSON body; `expected` describes it in error messages.
    pub(crate) fn parse_json<T: DeserializeOwned>(
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

/// Error of an exchange without a complete response.
enum ExchangeError {
    /// The response states neither a length nor chunks.
    NotDelimited,
    Transport(ureq::Error),
}

impl From<ureq::Error> for ExchangeError {
    fn from(error: ureq::Error) -> Self {
        Self::Transport(error)
    }
}

/// Returns whether the end of the response's body can be distinguished from a closed
/// connection.
fn is_delimited(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
