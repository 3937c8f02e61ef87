//! Routing, admission, slots and retries of calls, as pure decisions.
//!
//! A [`router::Router`] takes events with the present time and returns typed
//! commands. It never sees a body and never reads a clock: the daemon keeps the
//! bodies, carries out the commands and reports what came of them. The same
//! events with the same seed give the same commands.

mod latency;
mod peers;

mod retry;

pub mod fleet;
pub mod keys;
pub mod queue;
pub mod router;
