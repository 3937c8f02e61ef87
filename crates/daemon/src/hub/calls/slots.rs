//! Owned slot shards and their executors.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use stakker::{CX, call};
use sycamorerill_calls::router::{Event, InProgress};
use sycamorerill_control::ownership::{Acquisition, Shard};
use sycamorerill_core::id::{Epoch, ExecutorName};

use super::Calls;

/// An owned slot shard.
#[derive(Debug)]
struct OwnedShard {
    epoch: Epoch,
    acquisition: Acquisition,
    /// Calls in progress that the previous owner reported at the handover, by executor.
    inherited: BTreeMap<ExecutorName, u32>,
    /// Executors whose ownership has been reported to the router.
    reported: BTreeSet<ExecutorName>,
    /// Executors that are not yet drained, while the shard is being released.
    releasing: Option<BTreeSet<ExecutorName>>,
    /// Calls in progress on the drained executors.
    remaining_calls: BTreeMap<ExecutorName, u32>,
}

impl OwnedShard {
    fn in_progress(&self, executor: &ExecutorName) -> InProgress {
        match (self.acquisition, self.inherited.get(executor)) {
            (Acquisition::First, _) => InProgress::Known(0),
            (Acquisition::Handover, Some(in_progress)) => InProgress::Known(*in_progress),
            (Acquisition::Handover | Acquisition::Takeover, _) => InProgress::Unknown,
        }
    }
}

/// All owned slot shards.
#[derive(Debug, Default)]
pub(super) struct Slots {
    owned: BTreeMap<Shard, OwnedShard>,
    listed: BTreeMap<Shard, BTreeSet<ExecutorName>>,
}

impl Slots {
    /// Replaces the listed executors of each shard.
    pub(super) fn set_listed(&mut self, listed: BTreeMap<Shard, BTreeSet<ExecutorName>>) {
        self.listed = listed;
    }

    /// Returns events for the executors of owned shards that have not been reported to the
    /// router, and marks them as reported.
    fn take_unreported(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for (shard, owned) in &mut self.owned {
            let Some(listed) = self.listed.get(shard) else {
                continue;
            };
            if owned.releasing.is_some() {
                continue;
            }
            for executor in listed.difference(&owned.reported.clone()) {
                let (executor, epoch) = (executor.clone(), owned.epoch);
                let in_progress = owned.in_progress(&executor);
                owned.reported.insert(executor.clone());
                events.push(Event::ExecutorOwned { executor, epoch, in_progress });
            }
        }
        events
    }

    /// Marks an executor as drained.
    ///
    /// Returns the handover state for the next owner once all executors of the shard are
    /// drained.
    fn mark_drained(
        &mut self,
        shard: Shard,
        executor: &ExecutorName,
        in_progress: u32,
    ) -> Option<Bytes> {
        let owned = self.owned.get_mut(&shard)?;
        owned.remaining_calls.insert(executor.clone(), in_progress);
        owned.releasing.as_mut()?.remove(executor);
        self.remove_if_drained(shard)
    }

    /// Removes the shard and returns its handover state if all its executors are drained.
    fn remove_if_drained(&mut self, shard: Shard) -> Option<Bytes> {
        let owned = self.owned.get(&shard)?;
        if !owned.releasing.as_ref()?.is_empty() {
            return None;
        }
        let owned = self.owned.remove(&shard)?;
        Some(encode_in_progress(&owned.remaining_calls))
    }
}

/// Encodes the numbers of calls in progress, by executor, for the next owner of the shard.
fn encode_in_progress(calls: &BTreeMap<ExecutorName, u32>) -> Bytes {
    serde_json::to_vec(calls).unwrap_or_default().into()
}

fn decode_in_progress(handover_state: Option<&Bytes>) -> BTreeMap<ExecutorName, u32> {
    // An unreadable state counts as unknown, and the router then withholds the slots.
    handover_state.and_then(|bytes| serde_json::from_slice(bytes).ok()).unwrap_or_default()
}

impl Calls {
    /// Takes ownership of a slot shard.
    pub(crate) fn slot_shard_gained(
        &mut self,
        cx: CX![],
        shard: Shard,
        epoch: Epoch,
        acquisition: Acquisition,
        handover_state: Option<Bytes>,
    ) {
        let inherited = decode_in_progress(handover_state.as_ref());
        let (reported, remaining_calls) = (BTreeSet::new(), BTreeMap::new());
        let owned = OwnedShard {
            epoch,
            acquisition,
            inherited,
            reported,
            releasing: None,
            remaining_calls,
        };
        self.slots.owned.insert(shard, owned);
        self.report_new_executors(cx);
    }

    /// Reports new executors of the owned shards to the router.
    pub(super) fn report_new_executors(&mut self, cx: CX![]) {
        for event in self.slots.take_unreported() {
            self.handle_event(cx, event);
        }
        self.deps.shared.metrics.set_owned_shards("slots", self.slots.owned.len());
    }

    /// Releases a slot shard after the router has drained its executors.
    pub(crate) fn release_slot_shard(&mut self, cx: CX![], shard: Shard) {
        let Some(owned) = self.slots.owned.get_mut(&shard) else {
            call!([self.deps.control], released(shard, Bytes::new()));
            return;
        };
        // A draining router drains executors on its own, some of them before this call.
        let drained = owned.remaining_calls.keys().cloned().collect();
        let undrained: BTreeSet<ExecutorName> =
            owned.reported.difference(&drained).cloned().collect();
        owned.releasing = Some(undrained.clone());
        for executor in undrained {
            self.handle_event(cx, Event::ReleaseRequested { executor });
        }
        if let Some(handover_state) = self.slots.remove_if_drained(shard) {
            call!([self.deps.control], released(shard, handover_state));
        }
    }

    /// Stops sending calls to the executors of a lost shard.
    pub(crate) fn slot_shard_lost(&mut self, cx: CX![], shard: Shard) {
        let Some(owned) = self.slots.owned.remove(&shard) else {
            return;
        };
        for executor in owned.reported {
            self.handle_event(cx, Event::ReleaseRequested { executor });
        }
    }

    /// Records that the router sends no more calls to an executor.
    pub(super) fn record_drained_executor(&mut self, executor: &ExecutorName, in_progress: u32) {
        let shard = self.deps.shards.of_executor(executor);
        if let Some(handover_state) = self.slots.mark_drained(shard, executor, in_progress) {
            call!([self.deps.control], released(shard, handover_state));
        }
    }
}
