//! Starts and stops the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use sycamorerill_clients::instances::Change;
use sycamorerill_core::id;

use crate::counts::Counts;
use crate::executor::RunKey;
use crate::faults::{Fault, Faults};
use crate::router::Router;
use crate::server::Server;
use crate::settings::Settings;

/// Error of starting the stand-ins.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on the address failed, or a serving thread could not be started.
    #[error("cannot listen on {address}: {source}; choose a free port, or 0 for any")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A name in the deployment is malformed.
    #[error("the deployment has a wrong name: {0}")]
    Name(#[from] id::Error),
}

/// Serves the stand-ins over HTTP until it is stopped or dropped.
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
    /// Returns an error when the address cannot be listened on or a name is malformed.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listen_error = |source| Error::Listen { address: settings.listen, source };
        let (listener, address) = Server::bind(settings.listen).map_err(listen_error)?;
        let instances = settings.deployment.instances(address)?;
        let router = Arc::new(Router::new(&settings, instances));
        let server = Server::start(listener, settings.threads, Arc::clone(&router));
        let server = server.map_err(listen_error)?;
        Ok(Self { router, server })
    }

    /// Returns the address on which all stand-ins are served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> Faults {
        self.router.faults()
    }

    /// Replaces the faults of a part of the platform.
    pub fn set_fault(&self, fault: Fault) {
        self.router.set_fault(fault);
    }

    /// Applies a change of an instance, which the instance list publishes after its lag.
    pub fn change_instance(&self, change: Change) {
        self.router.change_instance(change);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.router.counts()
    }

    /// Returns how often a request ran on any executor.
    pub fn run_count(&self, key: &RunKey) -> u32 {
        self.router.run_count(key)
    }

    /// Closes the listener and all connections, and waits for the serving threads.
    pub fn stop(mut self) {
        self.server.stop();
    }
}
