//! Placement, interference, eviction and leases of tasks, as pure decisions.
//!
//! A [`cell::Cell`] owns the workers and jobs of one failure domain under an
//! epoch. It handles events, each with the current time, and returns commands.
//! It opens no sockets and reads no clock. The times passed to it must come
//! from a clock that all entry instances share, since deadlines are journaled.

pub mod cell;
pub mod job;
pub mod journal;
pub mod life;
pub mod worker;

mod learn;
mod queue;
mod text;
