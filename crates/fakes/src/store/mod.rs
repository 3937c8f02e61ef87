//! The table and the object store, in memory.

mod gate;
mod meter;
mod objects;
mod pace;
mod table;

pub(crate) use gate::Gate;
pub(crate) use meter::Meter;
pub(crate) use objects::Objects;
pub(crate) use pace::Pace;
pub(crate) use table::Table;
