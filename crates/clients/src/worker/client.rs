//! Client of one worker and its exchanges.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorerill_core::id::{Epoch, InstanceName};

use super::command::{Command, Outcome};
use super::report::Report;
use crate::error::Error;
use crate::http::Channel;
use crate::settings::Settings;

/// Reading of a worker's monotonic clock, in milliseconds since an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockReading(pub u64);

/// Request to a worker with a batch of commands.
///
/// An exchange with a higher epoch than all before fences the lower epochs, even if it has
/// no commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Entry instance that owns the cell of the worker.
    pub owner: InstanceName,
    /// Epoch under which this instance owns the cell.
    #[serde(with = "crate::wire::number")]
    pub epoch: Epoch,
    /// Reading of the worker's clock after which the exchange has no effect.
    ///
    /// An exchange without a response may still arrive much later. Without this limit, it
    /// could renew a lease that its sender already treats as expired.
    #[serde(default)]
    pub not_after: Option<ClockReading>,
    /// Commands, executed in this order.
    pub commands: Vec<Command>,
}

/// Response of a worker to an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Highest epoch that the worker has received.
    #[serde(with = "crate::wire::number")]
    pub epoch: Epoch,
    /// Reading of the worker's clock when the exchange was executed.
    pub clock: ClockReading,
    /// Whether the exchange was refused because its epoch is lower than the highest.
    pub fenced: bool,
    /// Outcome of each command, in the order of the commands.
    pub results: Vec<Outcome>,
    /// State of the worker and its tasks after the commands.
    pub report: Report,
}

/// Client of one worker.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
    path: String,
}

impl Client {
    /// Creates a client of the worker at `address`; `path` is the prefix of all request paths.
    pub fn new(address: SocketAddr, path: &str, settings: Settings) -> Self {
        let channel = Channel::new(address, settings);
        Self { channel, path: format!("{path}/exchange") }
    }

    /// Sends commands to the worker and returns its response.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation. A fenced exchange is no
    /// error; see [`Response::fenced`].
    pub fn exchange(&self, exchange: &Exchange) -> Result<Response, Error> {
        let response = self.channel.post_json(&self.path, exchange)?;
        let response = self.channel.require_success(response)?;
        self.channel.parse_json(&response.body, "a worker's answer")
    }
}
