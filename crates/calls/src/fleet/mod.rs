//! Executors: ownership of their slots, occupied and free slots, and health.

mod executor;
mod health;
mod settings;
mod table;

pub(crate) use executor::{Index, Ownership};
pub(crate) use health::{Check, Observation};
pub use settings::Settings;
pub(crate) use table::Table;
