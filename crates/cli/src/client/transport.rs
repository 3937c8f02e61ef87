//! Sending requests to one entry instance after another.

use std::io;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::{Agent, Timeout, http};

use super::answer::{self, Reply};
use super::error::{Attempt, Error};
use super::request::{Method, Request};
use super::settings::Address;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Why no answer came.
enum Lost {
    /// The request did not leave.
    Unsent(ureq::Error),
    /// The request may have arrived.
    Sent(ureq::Error),
}

/// Sends requests to the first entry instance that takes them.
pub(super) struct Transport {
    instances: Vec<Address>,
    agent: Agent,
}

impl Transport {
    pub(super) fn new(instances: Vec<Address>) -> Self {
        // One connection a request: an answer that comes late is never read as the next one.
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(ANSWER_TIMEOUT))
            .max_idle_connections(0)
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        Self { instances, agent: config.new_agent() }
    }

    /// Sends a request and reads its answer.
    ///
    /// The next instance is asked when the request did not leave, or when
    /// having its effect twice is harmless.
    pub(super) fn exchange<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Error> {
        let mut attempts = Vec::new();
        for &instance in &self.instances {
            match self.send(instance, request) {
                Ok(reply) => return answer::read(reply),
                Err(Lost::Unsent(error)) => {
                    attempts.push(Attempt { instance, cause: error.into() });
                }
                Err(Lost::Sent(error)) => {
                    let attempt = Attempt { instance, cause: error.into() };
                    if !request.is_repeatable {
                        return Err(Error::Unknown { attempt });
                    }
                    attempts.push(attempt);
                }
            }
        }
        Err(Error::Unreachable(attempts))
    }

    fn send(&self, instance: Address, request: &Request) -> Result<Reply, Lost> {
        let uri = format!("http://{instance}{}", request.path);
        let result = match request.method {
            Method::Get => self.agent.get(&uri).call(),
            Method::Delete => self.agent.delete(&uri).call(),
            Method::Post => {
                let post = self.agent.post(&uri).content_type("application/json");
                post.send(&request.body)
            }
        };
        let mut answer: http::Response<ureq::Body> = result.map_err(lost)?;
        let status = answer.status().as_u16();
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
        let body = body.map_err(Lost::Sent)?;
        Ok(Reply { instance, status, body })
    }
}

fn lost(error: ureq::Error) -> Lost {
    let is_unsent = match &error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_unsent { Lost::Unsent(error) } else { Lost::Sent(error) }
}
