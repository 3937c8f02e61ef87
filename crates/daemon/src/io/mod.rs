//! Blocking requests to the platform, workers and endpoints.

mod pool;
mod store;

pub(crate) use pool::Pool;
pub(crate) use store::Store;
