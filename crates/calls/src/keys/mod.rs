//! Idempotency keys: at most one run per key, despite repeated calls and lost messages.
//!
//! A [`Ledger`] holds the keys of the shards that an entry instance owns. For a new key it
//! returns the [`Record`] that must be durable before the call may be sent. It stores how
//! each call ended and is restored from the journal of records after a takeover. If a key
//! was begun and no record tells how its call ended, the outcome of a repeat is unknown.

mod ledger;
mod record;
mod settings;
mod snapshot;

pub(crate) use ledger::KeyStatus;
pub use ledger::Ledger;
pub use record::{End, Key, Record, Shard};
pub use settings::Settings;
