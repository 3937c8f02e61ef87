//! Client of the operators' HTTP interface of entry instances.

mod error;
mod request;
mod response;
pub(crate) mod settings;
mod transport;

use serde::Serialize;
use sycamorerill_core::api::{
    Accepted, CONFIG_PATH, Configuration, DRAIN_PATH, Drain, Grouping, JOBS_PATH, Jobs,
    PENALTIES_PATH, Penalties, Proposal, STATUS_PATH, Status, Submission, Submitted,
};

pub(crate) use error::Error;
use request::Request;
pub(crate) use settings::Address;
use transport::Transport;

/// Period of a settlement, in milliseconds since the Unix epoch, excluding the end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Period {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

/// Sends requests to the first entry instance that can be reached.
pub(crate) struct Client {
    transport: Transport,
}

impl Client {
    /// Creates a client for the addresses of the flags or, without flags, of the environment.
    pub(crate) fn new(flags: &[Address]) -> Result<Self, settings::Error> {
        Ok(Self { transport: Transport::new(settings::addresses(flags)?) })
    }

    pub(crate) fn status(&self) -> Result<Status, Error> {
        self.transport.request(&Request::get(STATUS_PATH))
    }

    pub(crate) fn configuration(&self) -> Result<Configuration, Error> {
        self.transport.request(&Request::get(CONFIG_PATH))
    }

    /// Proposes a configuration; does not retry when the answer is lost.
    pub(crate) fn propose(&self, proposal: &Proposal) -> Result<Accepted, Error> {
        self.transport.request(&Request::post(CONFIG_PATH, encode(proposal)))
    }

    pub(crate) fn jobs(&self) -> Result<Jobs, Error> {
        self.transport.request(&Request::get(JOBS_PATH))
    }

    /// Submits a job; does not retry when the answer is lost.
    pub(crate) fn submit(&self, submission: &Submission) -> Result<Submitted, Error> {
        self.transport.request(&Request::post(JOBS_PATH, encode(submission)))
    }

    pub(crate) fn cancel(&self, job: &str) -> Result<Submitted, Error> {
        self.transport.request(&Request::delete(format!("{JOBS_PATH}/{job}")))
    }

    pub(crate) fn drain(&self, instance: &str) -> Result<(), Error> {
        let body = encode(&Drain { instance: instance.to_owned() });
        let request = Request::post(DRAIN_PATH, body).idempotent();
        self.transport.request::<serde::de::IgnoredAny>(&request).map(drop)
    }

    pub(crate) fn penalties(&self, period: Period, by: Grouping) -> Result<Penalties, Error> {
        let Period { from_ms, to_ms } = period;
        let path = format!("{PENALTIES_PATH}?from={from_ms}&to={to_ms}&by={by}");
        self.transport.request(&Request::get(path))
    }
}

/// Encodes a body as JSON, which cannot fail for the plain data of requests.
fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
