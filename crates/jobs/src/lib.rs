//! Jobs of many steps on executors with leases, as pure decisions.
//!
//! A [`shard::Shard`] owns some executors and the jobs placed there, under an
//! epoch that serves as its fencing token. It takes events with the present time
//! and answers with typed commands. [`tenure::Tenure`] decides when to claim,
//! renew and give up a shard. Neither opens a socket or reads a clock.

pub mod beat;
pub mod config;
pub mod executor;
pub mod id;
pub mod progress;
pub mod shard;
pub mod spec;
pub mod tenure;
