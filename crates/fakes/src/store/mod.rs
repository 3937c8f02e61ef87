//! In-memory table and object store, with fault injection and rate limits.

mod fault_injector;
mod meter;
mod objects;
mod rate_limiter;
mod table;

pub(crate) use fault_injector::FaultInjector;
pub(crate) use meter::Meter;
pub(crate) use objects::Objects;
pub(crate) use rate_limiter::RateLimiter;
pub(crate) use table::Table;
