//! The platform's list of instances.
//!
//! The list may be out of date: changes appear in it with a delay.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorerill_core::id::{DomainName, RackName, RegionName, ServiceName};
use sycamorerill_core::size::Size;
use ureq::http::Method;

use crate::error::Error;
use crate::http::{Channel, Request};
use crate::settings::Settings;

/// Path of the instance list.
const PATH: &str = "/instances";

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance runs and is not about to stop.
    #[default]
    Live,
    /// The instance is about to stop and takes no new work.
    Leaving,
}

/// Role of an instance, with the settings of that role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum Role {
    /// The instance runs the scheduler.
    Entry,
    /// The instance runs tasks under leases.
    Worker {
        /// Total size of the worker.
        #[serde(with = "crate::wire::size")]
        size: Size,
    },
    /// The instance answers the calls of a service.
    Executor {
        /// Service whose calls the executor answers.
        service: ServiceName,
        /// Maximum number of requests that the executor runs at once.
        slots: u32,
        /// Maximum number of connections that the executor accepts.
        connections: u32,
    },
}

/// One instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// Prefix of the path of every request to the instance; empty, or starting with `/`.
    #[serde(default)]
    pub path: String,
    /// Failure domain in which the instance runs.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Rack within the failure domain.
    pub rack: RackName,
    /// Whether the instance runs or is about to stop.
    #[serde(default)]
    pub state: State,
    /// Role of the instance, written into the same JSON object.
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

/// Client of the platform's instance list.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
}

impl Client {
    /// Creates a client of the instance list at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings) }
    }

    /// Returns all instances, sorted by name.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn list(&self) -> Result<Vec<Instance>, Error> {
        let request = Request { method: Method::GET, path: PATH, ..Request::default() };
        self.channel.request_json(request, "a list of instances")
    }

    /// Changes the list in place of the platform, for tests and demonstrations.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn change(&self, change: &Change) -> Result<(), Error> {
        let response = self.channel.post_json(PATH, change)?;
        self.channel.require_success(response).map(|_| ())
    }
}
