//! Executors, each of which runs calls in a bounded number of slots.

mod call;
mod pool;
mod runs;

pub(crate) use pool::ExecutorPool;
pub use runs::RunKey;
