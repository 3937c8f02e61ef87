//! Settings of an entry instance, from flags and environment variables.
//!
//! A flag goes before its variable, a variable before the default. Everything
//! is checked before anything listens, and all mistakes are reported together.

mod error;
mod flags;
mod source;

use std::net::SocketAddr;

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, InstanceName, RegionName};

pub use error::{Error, Fault};
pub use flags::Flags;
pub use source::{Environment, resolve};

/// Largest number of bytes in the head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest number of bytes in the body of a request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of callers' connections at one time.
const MAX_CONNECTIONS: usize = 4_096;

data! {
    /// Limits on what one caller may take.
    pub struct Limits {
        /// Connections of callers at one time.
        pub connections: usize,
        /// Bytes in the head of a request.
        pub head_bytes: usize,
        /// Bytes in the body of a request or an answer.
        pub body_bytes: usize,
        /// Time a caller may take to send the head of a request.
        pub head_time: Span,
        /// Time a caller may take to send the body of a request.
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
    /// Where log lines go.
    pub enum LogFormat {
        /// One line of text an event.
        Text,
        /// One JSON object an event.
        Json,
        /// Nowhere; for several entry instances in one process.
        Off,
    }
}

data! {
    /// Checked settings of an entry instance.
    pub struct Settings {
        /// Name of this instance, unique in the deployment.
        pub name: InstanceName,
        /// Failure domain of this instance.
        pub domain: DomainName,
        /// Region of this instance.
        pub region: RegionName,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address for operators.
        pub operator_listen: SocketAddr,
        /// Address for other entry instances.
        pub peer_listen: SocketAddr,
        /// Address of the platform.
        pub platform: SocketAddr,
        /// Addresses of other entry instances known from the start.
        pub peers: Vec<SocketAddr>,
        /// All failure domains, in an order that never changes; new ones come last.
        pub domains: Vec<DomainName>,
        /// Limits on callers.
        pub limits: Limits,
        /// Longest wait for calls in progress at shutdown.
        pub drain_time: Span,
        /// Longest wait for one answer of the platform.
        pub platform_time: Span,
        /// Form of the log.
        pub log: LogFormat,
        /// Seed of the random choices; equal seeds give equal choices.
        pub seed: u64,
    }
}

impl Settings {
    /// Returns settings that listen on free ports of the loopback address.
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
