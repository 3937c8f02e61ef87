//! Small stand-ins for the platform, its workers and its endpoints.
//!
//! [`Platform::start`] serves the table, the object store, the instance list,
//! the workers and the executors over HTTP on one address. Faults are switched
//! while it runs, and counts tell what was given to workers and executors.
//!
//! # Examples
//!
//! ```
//! use sycamorerill_fakes::{Platform, Settings};
//!
//! let platform = Platform::start(Settings::default())?;
//! assert_ne!(platform.address().port(), 0);
//! platform.stop();
//! # Ok::<(), sycamorerill_fakes::Error>(())
//! ```

mod chance;
mod counts;
mod executor;
mod fleet;
mod instances;
mod platform;
mod router;
mod server;
mod settings;
mod store;

pub mod deployment;
pub mod faults;

pub use counts::{Counts, Executors, Store, Workers};
pub use deployment::Deployment;
pub use executor::Ran;
pub use faults::{Fault, Faults};
pub use platform::{Error, Platform};
pub use settings::{ServiceTime, Settings};
