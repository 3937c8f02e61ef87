//! Client of one endpoint.

use std::net::SocketAddr;

use ureq::http::StatusCode;
use ureq::http::header::CONTENT_TYPE;

use super::call::{Call, Outcome, headers};
use crate::error::UnknownCause;
use crate::http::{Channel, Failure, Request, Response};
use crate::settings::Settings;

/// Client of one endpoint.
///
/// A call is sent at most once. A connection is reused only after the complete response
/// to its previous request was received.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
    path: String,
}

impl Client {
    /// Creates a client of the endpoint at `address`; `path` is the prefix of all request paths.
    pub fn new(address: SocketAddr, path: &str, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings), path: path.to_owned() }
    }

    /// Sends a call at most once and returns its outcome.
    pub fn call(&self, call: &Call) -> Outcome {
        let path = format!("{}{}", self.path, call.path);
        let deadline = call.budget.as_ms().to_string();
        let mut request_headers = vec![
            (headers::IDENTITY, call.identity.as_str()),
            (headers::DEADLINE, deadline.as_str()),
        ];
        if let Some(key) = &call.key {
            request_headers.push((headers::KEY, key));
        }
        if let Some(content_type) = &call.content_type {
            request_headers.push(("content-type", content_type));
        }
        let result = self.channel.send(Request {
            method: call.method.clone(),
            path: &path,
            headers: request_headers,
            body: call.body.clone(),
            timeout: Some(call.timeout.unwrap_or(call.budget)),
        });
        match result {
            Ok(response) => interpret(call, response),
            Err(Failure::NotSent(reason)) => Outcome::NotSent { reason },
            Err(Failure::Unknown(cause)) => Outcome::Unknown(cause),
        }
    }
}

/// Converts a complete response to an outcome, after checking that it belongs to the call.
fn interpret(call: &Call, response: Response) -> Outcome {
    let echoed = response.headers.get(headers::IDENTITY);
    if echoed.map(|value| value.as_bytes()) != Some(call.identity.as_bytes()) {
        return Outcome::Unknown(UnknownCause::Identity { expected: call.identity.clone() });
    }
    let not_run = response.headers.get(headers::NOT_RUN).is_some_and(|value| value == "1");
    if response.status == StatusCode::SERVICE_UNAVAILABLE && not_run {
        return Outcome::Refused;
    }
    let content_type = response.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    Outcome::Complete { status: response.status.as_u16(), body: response.body, content_type }
}
