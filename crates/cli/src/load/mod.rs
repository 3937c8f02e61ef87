//! Callers that load entry instances and count what they are told.

mod callers;
mod outcome;
mod tally;

use std::net::SocketAddr;
use std::time::Duration;

use sycamorerill_core::clock::Span;

pub(crate) use self::callers::Callers;
pub(crate) use self::tally::Calls;

/// What the callers do.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Callers' addresses of the entry instances.
    pub(crate) instances: Vec<SocketAddr>,
    /// Service that is called.
    pub(crate) service: String,
    /// Time within which the target wants the answer.
    pub(crate) within: Span,
    /// Seed of the choices; it is part of each call's identity.
    pub(crate) seed: u64,
    /// Length of the run.
    pub(crate) length: Duration,
    /// Calls a second of the steady load.
    pub(crate) rate: u32,
    /// Callers of the steady load.
    pub(crate) steady: u32,
    /// Part of the steady calls that only read, in hundredths.
    pub(crate) reads: u32,
    /// Callers of the flood.
    pub(crate) flood: u32,
    /// Time from the start to the flood.
    pub(crate) flood_begins: Duration,
    /// Time from the start to the end of the flood.
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
            steady: 160,
            reads: 60,
            flood: 0,
            flood_begins: Duration::ZERO,
            flood_ends: Duration::ZERO,
        }
    }
}
