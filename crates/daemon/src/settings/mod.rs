//! Settings of an entry instance, from flags and environment variables.
//!
//! A flag takes precedence over its environment variable, and the variable over the
//! default. All settings are validated before a listener starts, and all errors are
//! reported together.

mod error;
mod flags;
mod source;

use std::net::SocketAddr;

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, InstanceName, RegionName};

pub use error::{Error, SettingError};
pub use flags::Flags;
pub use source::{Environment, resolve};

/// Default of [`Limits::head_bytes`].
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Default of [`Limits::body_bytes`].
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Default of [`Limits::connections`].
const MAX_CONNECTIONS: usize = 4_096;

data! {
    /// Limits on the connections and requests of callers.
    pub struct Limits {
        /// Maximum number of concurrent connections of callers.
        pub connections: usize,
        /// Maximum size of the head of a request in bytes; at least 8 KiB are allowed.
        pub head_bytes: usize,
        /// Maximum size of the body of a request in bytes, for callers and operators.
        pub body_bytes: usize,
        /// Maximum time that a caller may take to send the head of a request.
        pub head_time: Span,
        /// Maximum time that a caller may take to send the body of a request.
        pub body_time: Span,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: MAX_CONNECTIONS,
            head_bytes: MAX_HEAD_BYTES,
            body_bytes: MAX_BODY_BYTES,
            head_time: Span::from_secs(5),
            body_time: Span::from_secs(10),
        }
    }
}

data! {
    /// Format of the log on standard error.
    pub enum LogFormat {
        /// One line of text per event.
        Text,
        /// One JSON object per event.
        Json,
        /// No log; for several entry instances in one process.
        Off,
    }
}

data! {
    /// Validated settings of an entry instance.
    pub struct Settings {
        /// Name of this instance, unique in the deployment.
        pub name: InstanceName,
        /// Failure domain in which this instance runs.
        pub domain: DomainName,
        /// Region in which this instance runs.
        pub region: RegionName,
        /// Listen address for callers.
        pub listen: SocketAddr,
        /// Listen address for operators.
        pub operator_listen: SocketAddr,
        /// Listen address for other entry instances.
        pub peer_listen: SocketAddr,
        /// Address of the platform.
        pub platform: SocketAddr,
        /// Addresses of other entry instances that are known at startup.
        pub peers: Vec<SocketAddr>,
        /// All failure domains. Their order must never change; new ones are appended.
        pub domains: Vec<DomainName>,
        /// Limits on the connections and requests of callers.
        pub limits: Limits,
        /// Maximum time that a graceful shutdown waits for the work in progress.
        pub drain_time: Span,
        /// Timeout of a request to the platform.
        pub platform_time: Span,
        /// Format of the log.
        pub log: LogFormat,
        /// Seed of the random choices; equal seeds lead to equal choices.
        pub seed: u64,
    }
}

impl Settings {
    /// Returns default settings that listen on free ports of the loopback address.
    pub fn new(name: InstanceName, domain: DomainName, platform: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            region: RegionName::main(),
            listen: any_port,
            operator_listen: any_port,
            peer_listen: any_port,
            platform,
            peers: Vec::new(),
            domains: vec![domain.clone()],
            domain,
            limits: Limits::default(),
            drain_time: Span::from_secs(30),
            platform_time: Span::from_secs(1),
            log: LogFormat::Text,
            seed: 0,
        }
    }
}
