//! The entry instance for jobs.
//!
//! Two actors run on one thread: [`front`] answers callers, `keeper` claims shards
//! and drives them. Both reach the outside only through [`port::Platform`], whose
//! futures run beside them and report back by message.

pub mod clock;
pub mod front;
pub mod log;
pub mod port;

mod follow;
mod keeper;
mod layout;
mod metrics;
mod run;

pub use self::keeper::Settings as KeeperSettings;
pub use self::layout::Machine;
pub use self::run::{Instance, Settings, Spawner, start};
