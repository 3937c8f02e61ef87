//! The stand-ins as one running platform.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use sycamorerill_clients::instances::Change;
use sycamorerill_core::id;

use crate::counts::Counts;
use crate::executor::Ran;
use crate::faults::{Fault, Faults};
use crate::router::Router;
use crate::server::Server;
use crate::settings::Settings;

/// Why the stand-ins could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}; choose a free port, or 0 for any")]
    Listen {
        /// Address as given.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A name of the deployment is malformed.
    #[error("the deployment has a wrong name: {0}")]
    Name(#[from] id::Error),
}

/// Stand-ins that serve requests until they are stopped or dropped.
#[derive(Debug)]
pub struct Platform {
    router: Arc<Router>,
    server: Server,
}

impl Platform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// [`Error`] when the address is in use or a name is malformed.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let refused = |source| Error::Listen { address: settings.listen, source };
        let (listener, address) = Server::bind(settings.listen).map_err(refused)?;
        let instances = settings.deployment.instances(address)?;
        let router = Arc::new(Router::new(&settings, instances));
        let server = Server::start(listener, settings.threads, Arc::clone(&router));
        let server = server.map_err(refused)?;
        Ok(Self { router, server })
    }

    /// Returns the address that everything is served on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> Faults {
        self.router.faults()
    }

    /// Switches faults on or off.
    pub fn switch(&self, fault: Fault) {
        self.router.switch(fault);
    }

    /// Changes the instance list, which shows it after its lag.
    pub fn change(&self, change: Change) {
        self.router.change(change);
    }

    /// Returns what was counted since the start.
    pub fn counts(&self) -> Counts {
        self.router.counts()
    }

    /// Returns how often a request ran on any executor.
    pub fn runs(&self, ran: &Ran) -> u32 {
        self.router.runs(ran)
    }

    /// Closes the listener and all connections.
    pub fn stop(mut self) {
        self.server.stop();
    }
}
