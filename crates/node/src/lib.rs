//! Implements the entry instance for jobs.
//!
//! Two actors run on one thread: [`frontend`] answers callers, and `shards` claims
//! shards and drives them. Both reach the outside only through the trait
//! [`platform::Platform`]. Its futures run on the same thread as the actors and send
//! their results to them as messages.

pub mod clock;
pub mod frontend;
pub mod lines;
pub mod listener;
pub mod log;
pub mod platform;

mod instance;
mod layout;
mod metrics;
mod shards;
mod watch;

pub use async_executor::Task;

pub use self::instance::{Instance, Settings, Spawner, start};
pub use self::layout::Machine;
pub use self::shards::Settings as ManagerSettings;
