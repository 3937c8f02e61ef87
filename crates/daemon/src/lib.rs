//! The entry instance.
//!
//! [`Daemon::start`] binds all listeners and starts the threads. The hub thread
//! runs the actors, which carry events and commands between the listeners, the
//! platform and the decision crates; see `ARCHITECTURE.md`.

mod front;
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
pub use hub::End;
pub use instance::{Addresses, Daemon, Error};
