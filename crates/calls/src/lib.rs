//! Routing, admission, slots and retries of calls, as pure state machines without I/O.
//!
//! A [`router::Router`] receives events together with the current time and returns
//! typed commands. It performs no I/O, reads no clock and never handles request or
//! response bodies: the daemon holds the bodies, executes the commands and reports
//! the results as events. The same events with the same seed produce the same commands.

mod latency;
mod peers;

mod retry;

pub mod fleet;
pub mod keys;
pub mod queue;
pub mod router;
