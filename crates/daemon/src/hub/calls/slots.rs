//! Executors of the owned shards.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use stakker::{CX, call};
use sycamorerill_calls::router::{Event, InProgress};
use sycamorerill_control::ownership::{Shard, Way};
use sycamorerill_core::id::{Epoch, ExecutorName};

use super::Calls;

/// One owned shard of slots.
#[derive(Debug)]
struct Held {
    epoch: Epoch,
    way: Way,
    /// Calls that the former owner left, by executor.
    left: BTreeMap<ExecutorName, u32>,
    /// Executors that the router has been told of.
    told: BTreeSet<ExecutorName>,
    /// Executors that are not drained yet, while the shard is given up.
    releasing: Option<BTreeSet<ExecutorName>>,
    /// Calls left on the drained executors.
    leaving: BTreeMap<ExecutorName, u32>,
}

impl Held {
    fn in_progress(&self, executor: &ExecutorName) -> InProgress {
        match (self.way, self.left.get(executor)) {
            (Way::First, _) => InProgress::Known(0),
            (Way::Handover, Some(left)) => InProgress::Known(*left),
            (Way::Handover | Way::Takeover, _) => InProgress::Unknown,
        }
    }
}

/// All owned shards of slots.
#[derive(Debug, Default)]
pub(super) struct Slots {
    held: BTreeMap<Shard, Held>,
    listed: BTreeMap<Shard, BTreeSet<ExecutorName>>,
}

impl Slots {
    /// Replaces the executors that the platform lists.
    pub(super) fn list(&mut self, listed: BTreeMap<Shard, BTreeSet<ExecutorName>>) {
        self.listed = listed;
    }

    /// Returns what the router has not been told of the owned shards.
    fn news(&mut self) -> Vec<Event> {
        let mut news = Vec::new();
        for (shard, held) in &mut self.held {
            let Some(listed) = self.listed.get(shard) else {
                continue;
            };
            if held.releasing.is_some() {
                continue;
            }
            for executor in listed.difference(&held.told.clone()) {
                let (executor, epoch) = (executor.clone(), held.epoch);
                let in_progress = held.in_progress(&executor);
                held.told.insert(executor.clone());
                news.push(Event::Owned { executor, epoch, in_progress });
            }
        }
        news
    }

    /// Notes a drained executor and returns what its shard's receiver is told, once
    /// all executors of the shard are drained.
    fn drained(
        &mut self,
        shard: Shard,
        executor: &ExecutorName,
        in_progress: u32,
    ) -> Option<Bytes> {
        let held = self.held.get_mut(&shard)?;
        held.leaving.insert(executor.clone(), in_progress);
        held.releasing.as_mut()?.remove(executor);
        self.finish(shard)
    }

    /// Drops the shard if all its executors are drained.
    fn finish(&mut self, shard: Shard) -> Option<Bytes> {
        let held = self.held.get(&shard)?;
        if !held.releasing.as_ref()?.is_empty() {
            return None;
        }
        let held = self.held.remove(&shard)?;
        Some(write_left(&held.leaving))
    }
}

/// Calls left on executors, as the receiver of the shard is told.
fn write_left(left: &BTreeMap<ExecutorName, u32>) -> Bytes {
    serde_json::to_vec(left).unwrap_or_default().into()
}

fn read_left(carry: Option<&Bytes>) -> BTreeMap<ExecutorName, u32> {
    // What cannot be read is taken for unknown, which holds the slots back.
    carry.and_then(|bytes| serde_json::from_slice(bytes).ok()).unwrap_or_default()
}

impl Calls {
    /// Takes an owned shard of slots.
    pub(crate) fn slots_gained(
        &mut self,
        cx: CX![],
        shard: Shard,
        epoch: Epoch,
        way: Way,
        carry: Option<Bytes>,
    ) {
        let left = read_left(carry.as_ref());
        let (told, leaving) = (BTreeSet::new(), BTreeMap::new());
        let held = Held { epoch, way, left, told, releasing: None, leaving };
        self.slots.held.insert(shard, held);
        self.tell_owned(cx);
    }

    /// Tells the router of the executors that came to the owned shards.
    pub(super) fn tell_owned(&mut self, cx: CX![]) {
        for event in self.slots.news() {
            self.drive(cx, event);
        }
        self.parts.shared.metrics.set_owned("slots", self.slots.held.len());
    }

    /// Gives a shard of slots up, once the router has drained its executors.
    pub(crate) fn release_slots(&mut self, cx: CX![], shard: Shard) {
        let Some(held) = self.slots.held.get_mut(&shard) else {
            call!([self.parts.control], released(shard, Bytes::new()));
            return;
        };
        // A draining router gives executors up by itself, some before the shard is.
        let drained = held.leaving.keys().cloned().collect();
        let left: BTreeSet<ExecutorName> = held.told.difference(&drained).cloned().collect();
        held.releasing = Some(left.clone());
        for executor in left {
            self.drive(cx, Event::Released { executor });
        }
        if let Some(carry) = self.slots.finish(shard) {
            call!([self.parts.control], released(shard, carry));
        }
    }

    /// Stops sending to the executors of a shard that is lost.
    pub(crate) fn slots_lost(&mut self, cx: CX![], shard: Shard) {
        let Some(held) = self.slots.held.remove(&shard) else {
            return;
        };
        for executor in held.told {
            self.drive(cx, Event::Released { executor });
        }
    }

    /// Takes the router's word that an executor gets nothing more from here.
    pub(super) fn executor_drained(&mut self, executor: &ExecutorName, in_progress: u32) {
        let shard = self.parts.shards.of_executor(executor);
        if let Some(carry) = self.slots.drained(shard, executor, in_progress) {
            call!([self.parts.control], released(shard, carry));
        }
    }
}
