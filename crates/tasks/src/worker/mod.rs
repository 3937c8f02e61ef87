//! Workers: the messages exchanged with them and the state kept for each.
//!
//! An exchange sends commands to a worker, which answers with a report of all
//! the tasks that it holds. A worker
//!
//! - executes no commands of an exchange whose epoch is lower than the highest it
//!   has received, or whose number is not higher than the last one of the same
//!   epoch, but still reports;
//! - includes each task in its reports, also an inactive one, until the task is
//!   acknowledged;
//! - runs a task at most until `lease_base + lease` on its own clock, where `lease_base` is
//!   the instant of the report on which the exchange is based, and starts no task
//!   for which that instant has passed.

mod assignment;
mod exchange;
mod index;
mod session;
mod table;

pub use self::exchange::{
    Checkpoint, Command, Exchange, Fault, Instant, Phase, Report, TaskReport, Token, Usage, Worker,
};

pub(crate) use self::assignment::{Assignment, Intent};
pub(crate) use self::index::Index;
pub(crate) use self::session::{Freshness, Session};
pub(crate) use self::table::{Admission, Entry, Table};
