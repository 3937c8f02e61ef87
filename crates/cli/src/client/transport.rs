//! Sends requests over HTTP and tries further entry instances after a failure.

use std::io;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::{Agent, Timeout, http};

use super::error::{Attempt, Error};
use super::request::{Method, Request};
use super::response::{self, RawResponse};
use super::settings::Address;

/// Timeout for connecting to an entry instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a whole exchange, from connecting to the end of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Error of sending a request, by whether it may have taken effect.
enum SendError {
    /// The request was not sent.
    NotSent(ureq::Error),
    /// The request may have arrived and taken effect.
    MaybeSent(ureq::Error),
}

/// Sends requests to the first entry instance that answers.
pub(super) struct Transport {
    instances: Vec<Address>,
    agent: Agent,
}

impl Transport {
    pub(super) fn new(instances: Vec<Address>) -> Self {
        // Each request has its own connection, so that a late response cannot be taken for the
        // response to the next request.
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .max_idle_connections(0)
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        Self { instances, agent: config.new_agent() }
    }

    /// Sends a request and decodes its response.
    ///
    /// After a failure the next instance is tried if the request was not sent or is idempotent.
    pub(super) fn request<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Error> {
        let mut attempts = Vec::new();
        for &instance in &self.instances {
            match self.send(instance, request) {
                Ok(response) => return response::decode(response),
                Err(SendError::NotSent(error)) => {
                    attempts.push(Attempt { instance, cause: error.into() });
                }
                Err(SendError::MaybeSent(error)) => {
                    let attempt = Attempt { instance, cause: error.into() };
                    if !request.is_idempotent {
                        return Err(Error::Unknown { attempt });
                    }
                    attempts.push(attempt);
                }
            }
        }
        Err(Error::Unreachable(attempts))
    }

    fn send(&self, instance: Address, request: &Request) -> Result<RawResponse, SendError> {
        let uri = format!("http://{instance}{}", request.path);
        let result = match request.method {
            Method::Get => self.agent.get(&uri).call(),
            Method::Delete => self.agent.delete(&uri).call(),
            Method::Post => {
                let post = self.agent.post(&uri).content_type("application/json");
                post.send(&request.body)
            }
        };
        let mut response: http::Response<ureq::Body> = result.map_err(classify)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(SendError::MaybeSent)?;
        Ok(RawResponse { instance, status, body })
    }
}

/// Classifies an error by whether the request may have been sent.
fn classify(error: ureq::Error) -> SendError {
    let is_not_sent = match &error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_not_sent { SendError::NotSent(error) } else { SendError::MaybeSent(error) }
}
