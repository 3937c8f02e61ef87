//! In-process stand-ins for the platform, its workers and its endpoints.
//!
//! [`Platform::start`] serves the table, the object store, the instance list,
//! the workers and the executors over HTTP on one address. Faults can be set
//! while it runs, and counters record what workers and executors received and ran.
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

mod counts;
mod executor;
mod instances;
mod platform;
mod random;
mod router;
mod server;
mod settings;
mod store;
mod workers;

pub mod deployment;
pub mod faults;

pub use counts::{Counts, Executors, Store, Workers};
pub use deployment::Deployment;
pub use executor::RunKey;
pub use faults::{Fault, Faults};
pub use platform::{Error, Platform};
pub use settings::{ServiceTime, Settings};
