//! Client of a worker, which runs tasks under leases.

mod client;
mod command;
mod report;

pub use client::{Client, ClockReading, Exchange, Response};
pub use command::{Checkpoint, Command, Outcome, Refusal, Start, Token};
pub use report::{Guard, Report, State, TaskReport, Usage};
