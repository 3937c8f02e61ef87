//! Deterministic state machines for membership, ownership, journal, configuration
//! versions and penalties.
//!
//! [`agent::Agent`] composes the state machines of one entry instance. It processes an
//! [`agent::Event`] at a given instant and returns [`agent::Command`]s: typed requests
//! to the platform's store, messages to peers and local effects. The agent has no
//! sockets, threads or clock, so the same events always produce the same commands.

mod codec;

pub mod agent;
pub mod config;
pub mod journal;
pub mod membership;
pub mod ownership;
pub mod penalties;
pub mod session;
pub mod store;

pub use codec::Error as CodecError;
