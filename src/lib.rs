//! Scheduler for latency-critical services and batch work that share instances.
//!
//! This crate re-exports the crates of the scheduler, so that an application that embeds
//! it needs only one dependency.

pub use sycamorerill_calls as calls;
pub use sycamorerill_clients as clients;
pub use sycamorerill_config as config;
pub use sycamorerill_control as control;
pub use sycamorerill_core as core;
pub use sycamorerill_daemon as daemon;
pub use sycamorerill_tasks as tasks;
