//! Workers and what they run, driven by commands and by time alone.

mod command;
mod nature;
mod progress;
mod state;
mod task;
mod worker;

pub(crate) use nature::Nature;
pub(crate) use state::Fleet;
