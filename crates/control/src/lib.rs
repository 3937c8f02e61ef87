//! Membership, ownership, journal, configuration versions and penalties, as pure decisions.
//!
//! [`agent::Agent`] composes the machines of one entry instance. It takes an
//! [`agent::Event`] and an instant, and answers with [`agent::Command`]s: typed
//! requests to the platform's store, messages to peers and local effects. It has
//! no sockets, threads or clock, so the same events give the same commands.

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
