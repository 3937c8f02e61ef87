//! Sends calls to entry instances and counts the outcomes.

mod callers;
mod outcome;
mod tally;

use std::net::SocketAddr;
use std::time::Duration;

use sycamorerill_core::clock::Span;

pub(crate) use self::callers::Callers;
pub(crate) use self::tally::Calls;

/// Settings of the callers.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Caller addresses of the entry instances.
    pub(crate) instances: Vec<SocketAddr>,
    /// Service that is called.
    pub(crate) service: String,
    /// Latency above which an answered call counts as a missed target.
    pub(crate) within: Span,
    /// Seed of the random choices, which is also part of each call's identity.
    pub(crate) seed: u64,
    /// Length of the run.
    pub(crate) length: Duration,
    /// Rate of the steady load, in calls per second.
    pub(crate) rate: u32,
    /// Number of callers that send the steady load.
    pub(crate) steady_callers: u32,
    /// Part of the steady calls that only read, in percent.
    pub(crate) read_percent: u32,
    /// Number of callers that send the flood.
    pub(crate) flood_callers: u32,
    /// Time from the start of the run to the start of the flood.
    pub(crate) flood_begins: Duration,
    /// Time from the start of the run to the end of the flood.
    pub(crate) flood_ends: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instances: Vec::new(),
            service: String::new(),
            within: Span::from_ms(300),
            seed: 1,
            length: Duration::from_secs(20),
            rate: 400,
            steady_callers: 160,
            read_percent: 60,
            flood_callers: 0,
            flood_begins: Duration::ZERO,
            flood_ends: Duration::ZERO,
        }
    }
}
