//! Workers: what is exchanged with them and what is known of each.
//!
//! One exchange carries commands to a worker and brings back a report of all
//! that the worker holds. A worker
//!
//! - refuses an exchange whose epoch is lower than the highest it has seen, or
//!   whose number is not higher than the last one of the same epoch, and reports;
//! - keeps each task, also one that is off, in its reports until it is acknowledged;
//! - runs a task at most until `as_of + lease` on its own clock, where `as_of` is
//!   the instant of the report on which the exchange is based, and starts none
//!   for which that has passed.

mod assignment;
mod exchange;
mod index;
mod session;
mod table;

pub use self::exchange::{
    Checkpoint, Command, Exchange, Fault, Held, Instant, Phase, Report, Token, Usage, Worker,
};

pub(crate) use self::assignment::{Assignment, Intent};
pub(crate) use self::index::Index;
pub(crate) use self::session::{Freshness, Session};
pub(crate) use self::table::{Admission, Entry, Table};
