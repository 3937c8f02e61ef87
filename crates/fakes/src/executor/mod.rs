//! Executors, which run calls in a bounded number of slots.

mod call;
mod ledger;
mod pool;

pub use ledger::Ran;
pub(crate) use pool::Pool;
