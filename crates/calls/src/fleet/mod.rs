//! Executors: whose slots are owned, how many are free, and how healthy they are.

mod executor;
mod health;
mod settings;
mod table;

pub(crate) use executor::{Holding, Index};
pub(crate) use health::{Check, Evidence};
pub use settings::Settings;
pub(crate) use table::Table;
