//! Faults that can be set while the stand-ins run.

mod model;
mod select;

pub use model::{ExecutorFaults, Fault, Faults, Loss, ServiceFaults, WorkerFaults};
pub use select::Selector;
