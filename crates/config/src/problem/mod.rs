//! Problems of a configuration and their report.

mod kind;
mod report;

pub use kind::{ProblemKind, ValueError};
pub use report::{Problem, Report};
