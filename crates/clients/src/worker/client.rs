//! Client of one worker.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorerill_core::id::{Epoch, InstanceName};

use super::command::{Command, Outcome};
use super::report::Report;
use crate::error::Error;
use crate::http::Channel;
use crate::settings::Settings;

/// Reading of a worker's own monotonic clock, in milliseconds since some start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Reading(pub u64);

/// One batched exchange with a worker.
///
/// An exchange without commands and with a new epoch fences all lower epochs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Entry instance that owns the worker's cell.
    pub owner: InstanceName,
    /// Epoch of the ownership.
    #[serde(with = "crate::wire::number")]
    pub epoch: Epoch,
    /// Reading of the worker's clock after which the exchange has no effect.
    ///
    /// An exchange whose answer was lost may arrive much later. This keeps it
    /// from renewing a lease that its sender takes for lapsed.
    #[serde(default)]
    pub not_after: Option<Reading>,
    /// Commands, carried out in their order.
    pub commands: Vec<Command>,
}

/// Answer of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Highest epoch that the worker has seen.
    #[serde(with = "crate::wire::number")]
    pub epoch: Epoch,
    /// Reading of the worker's clock when the exchange was carried out.
    pub clock: Reading,
    /// Whether the exchange was refused for its epoch.
    pub fenced: bool,
    /// What was done with each command, in their order.
    pub results: Vec<Outcome>,
    /// What the worker says of itself and its tasks after the commands.
    pub report: Report,
}

/// Client of one worker.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
    path: String,
}

impl Client {
    /// Returns a client of the worker at `address` whose paths start with `path`.
    pub fn new(address: SocketAddr, path: &str, settings: Settings) -> Self {
        let channel = Channel::new(address, settings);
        Self { channel, path: format!("{path}/exchange") }
    }

    /// Gives the worker commands and returns its answer.
    ///
    /// # Errors
    ///
    /// As the [crate] states. A fenced exchange is no error.
    pub fn exchange(&self, exchange: &Exchange) -> Result<Answer, Error> {
        let reply = self.channel.post(&self.path, exchange)?;
        let reply = self.channel.success(reply)?;
        self.channel.parse(&reply.body, "a worker's answer")
    }
}
