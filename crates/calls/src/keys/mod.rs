//! Idempotency keys: at most one run for a key, whatever is repeated or lost.
//!
//! A [`Ledger`] belongs to the owner of some shards of keys. It hands out the
//! [`Record`] that has to last before the call of a new key may be sent, keeps
//! how each call ended, and is restored from the records after a takeover. A
//! key that was begun and whose end is in no record is answered as unknown.

mod ledger;
mod record;
mod settings;
mod snapshot;

pub(crate) use ledger::Found;
pub use ledger::Ledger;
pub use record::{End, Key, Record, Shard};
pub use settings::Settings;
