//! The platform's list of instances, which lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorerill_core::id::{DomainName, RackName, RegionName, ServiceName};
use sycamorerill_core::size::Size;
use ureq::http::Method;

use crate::error::Error;
use crate::http::{Channel, Request};
use crate::settings::Settings;

/// Path of the list.
const PATH: &str = "/instances";

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance runs.
    #[default]
    Live,
    /// The instance is about to stop and takes no new work.
    Leaving,
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum Role {
    /// Runs the scheduler.
    Entry,
    /// Runs tasks under leases.
    Worker {
        /// Size of the worker.
        #[serde(with = "crate::wire::size")]
        size: Size,
    },
    /// Answers the calls of a service.
    Executor {
        /// Service that the executor answers for.
        service: ServiceName,
        /// Requests that the executor runs at once.
        slots: u32,
        /// Connections that the executor accepts.
        connections: u32,
    },
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: String,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Start of the path of every request to the instance, empty or `/...`.
    #[serde(default)]
    pub path: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Rack within the failure domain.
    pub rack: RackName,
    /// Whether the instance stays.
    #[serde(default)]
    pub state: State,
    /// What the instance does.
    #[serde(flatten)]
    pub role: Role,
}

/// A change that the platform makes to the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds an instance, or replaces the one of the same name.
    Add(Box<Instance>),
    /// Marks an instance as leaving.
    Leave(String),
    /// Removes an instance.
    Remove(String),
}

/// Client of the list.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
}

impl Client {
    /// Returns a client of the list at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings) }
    }

    /// Returns the list, in the order of the names.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn list(&self) -> Result<Vec<Instance>, Error> {
        let request = Request { method: Method::GET, path: PATH, ..Request::default() };
        self.channel.json(request, "a list of instances")
    }

    /// Changes the list as the platform does; for tests and demonstrations.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn change(&self, change: &Change) -> Result<(), Error> {
        let reply = self.channel.post(PATH, change)?;
        self.channel.success(reply).map(|_| ())
    }
}
