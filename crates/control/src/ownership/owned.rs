//! Shards that this instance owns according to the table.

use bytes::Bytes;
use sycamorerill_core::id::{Epoch, InstanceName};

use super::Acquisition;
use crate::journal::Sequence;

/// State of a shard that this instance owns.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// The records of earlier owners are being read.
    Recovering,
    /// A journal or snapshot of an earlier owner is damaged; the shard is not served.
    Damaged,
    /// The shard is served.
    Serving,
    /// The shard is still served, but its release was requested.
    Releasing { to: InstanceName },
    /// The shard is no longer served, and its new owner is not yet in the table.
    Released { to: InstanceName, handover_state: Bytes, last_sequence: Sequence },
}

/// Shard that this instance owns.
#[derive(Clone, Debug)]
pub(super) struct OwnedShard {
    pub(super) epoch: Epoch,
    pub(super) acquisition: Acquisition,
    pub(super) state: State,
}

impl OwnedShard {
    pub(super) const fn is_serving(&self) -> bool {
        matches!(self.state, State::Serving)
    }

    /// Returns whether the shard is being handed over to another instance.
    pub(super) const fn is_moving(&self) -> bool {
        matches!(self.state, State::Releasing { .. } | State::Released { .. })
    }
}
