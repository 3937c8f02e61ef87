//! Client of one endpoint.

use std::net::SocketAddr;

use ureq::http::StatusCode;
use ureq::http::header::CONTENT_TYPE;

use super::call::{Answer, Call, headers};
use crate::error::Doubt;
use crate::http::{Channel, Failure, Reply, Request};
use crate::settings::Settings;

/// Client of one endpoint.
///
/// A call is sent at most once. A connection is used again only after the whole
/// answer to its last request.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
    path: String,
}

impl Client {
    /// Returns a client of the endpoint at `address` whose paths start with `path`.
    pub fn new(address: SocketAddr, path: &str, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings), path: path.to_owned() }
    }

    /// Sends a call and returns what is known of it.
    pub fn call(&self, call: &Call) -> Answer {
        let path = format!("{}{}", self.path, call.path);
        let deadline = call.budget.as_ms().to_string();
        let mut lines = vec![
            (headers::IDENTITY, call.identity.as_str()),
            (headers::DEADLINE, deadline.as_str()),
        ];
        if let Some(key) = &call.key {
            lines.push((headers::KEY, key));
        }
        if let Some(content_type) = &call.content_type {
            lines.push(("content-type", content_type));
        }
        let sent = self.channel.send(Request {
            method: call.method.clone(),
            path: &path,
            headers: lines,
            body: call.body.clone(),
            timeout: Some(call.timeout.unwrap_or(call.budget)),
        });
        match sent {
            Ok(reply) => read(call, reply),
            Err(Failure::NotSent(reason)) => Answer::NotSent { reason },
            Err(Failure::Unknown(doubt)) => Answer::Unknown(doubt),
        }
    }
}

/// Reads a whole answer, once it is proved to belong to the call.
fn read(call: &Call, reply: Reply) -> Answer {
    let echoed = reply.headers.get(headers::IDENTITY);
    if echoed.map(|value| value.as_bytes()) != Some(call.identity.as_bytes()) {
        return Answer::Unknown(Doubt::Identity { expected: call.identity.clone() });
    }
    let not_run = reply.headers.get(headers::NOT_RUN).is_some_and(|value| value == "1");
    if reply.status == StatusCode::SERVICE_UNAVAILABLE && not_run {
        return Answer::Refused;
    }
    let content_type = reply.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    Answer::Whole { status: reply.status.as_u16(), body: reply.body, content_type }
}
