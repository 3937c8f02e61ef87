//! Client of a worker, which runs tasks under leases.

mod client;
mod command;
mod report;

pub use client::{Answer, Client, Exchange, Reading};
pub use command::{Checkpoint, Command, Outcome, Refusal, Start, Token};
pub use report::{Guard, Held, Report, State, Usage};
