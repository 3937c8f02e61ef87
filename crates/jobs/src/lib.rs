//! Decision logic for jobs of many steps that run on executors under leases.
//!
//! A [`shard::Shard`] manages a set of executors and the jobs placed there, under an epoch
//! that serves as its fencing token. It handles events, each with the current time, and
//! returns typed commands. [`ownership::Ownership`] decides when an instance claims, renews and
//! releases a shard. Neither opens a socket or reads a clock.

pub mod admission;
pub mod config;
pub mod evacuation;
pub mod executor;
pub mod id;
pub mod overload;
pub mod ownership;
pub mod progress;
pub mod record;
pub mod shard;
pub mod spec;
