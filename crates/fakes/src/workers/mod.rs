//! Simulated workers; their state depends only on commands, faults and the given times.

mod command;
mod model;
mod pool;
mod progress;
mod task;
mod worker;

pub(crate) use model::TaskModel;
pub(crate) use pool::WorkerPool;
