//! Problems of a configuration, with their places.

mod fault;
mod report;

pub use fault::{Fault, Reason};
pub use report::{Problem, Report};
