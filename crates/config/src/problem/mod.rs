//! Problems of a configuration and their report.

mod fault;
mod report;

pub use fault::{Fault, ValueError};
pub use report::{Problem, Report};
