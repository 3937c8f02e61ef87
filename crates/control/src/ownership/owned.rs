//! Shards that the table says this instance owns.

use bytes::Bytes;
use sycamorerill_core::id::{Epoch, InstanceName};

use super::Way;
use crate::journal::Sequence;

/// What this instance does with a shard of its own.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// Reads what earlier owners left.
    Recovering,
    /// A piece that earlier owners left is damaged; the shard stays idle.
    Damaged,
    /// Acts on it.
    Serving,
    /// Was asked to stop acting on it.
    Releasing { to: InstanceName },
    /// Does not act on it and waits for the table to name the new owner.
    Released { to: InstanceName, carry: Bytes, last_sequence: Sequence },
}

/// One shard of this instance.
#[derive(Clone, Debug)]
pub(super) struct OwnedShard {
    pub(super) epoch: Epoch,
    pub(super) way: Way,
    pub(super) state: State,
}

impl OwnedShard {
    pub(super) const fn is_serving(&self) -> bool {
        matches!(self.state, State::Serving)
    }

    /// Reports whether the shard is on its way to another instance.
    pub(super) const fn is_moving(&self) -> bool {
        matches!(self.state, State::Releasing { .. } | State::Released { .. })
    }
}
