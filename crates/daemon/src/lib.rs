//! The entry instance: the server process that accepts calls and jobs.
//!
//! [`Daemon::start`] binds all listeners and starts the threads. The hub thread
//! runs the actors. They pass events from the listeners and the platform to the
//! decision crates and execute the commands that those return; see
//! `ARCHITECTURE.md`.

mod handler;
mod http;
mod hub;
mod instance;
mod io;
mod metrics;
mod peer;
mod shared;

pub mod events;
pub mod settings;

pub use http::Error as ListenError;
pub use hub::EndReason;
pub use instance::{Addresses, Daemon, Error};
