//! Faults that are switched while the stand-ins run.

mod model;
mod select;

pub use model::{Execute, Fault, Faults, Loss, Service, Work};
pub use select::Select;
