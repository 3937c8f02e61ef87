//! The instance list, which publishes changes with a lag.

use std::collections::{BTreeMap, VecDeque};

use sycamorerill_clients::instances::{Change, Instance, State};
use sycamorerill_core::clock::{Span, Time};

/// Current instances and the list that clients can read.
#[derive(Debug)]
pub(crate) struct InstanceList {
    lag: Span,
    current: BTreeMap<String, Instance>,
    published: BTreeMap<String, Instance>,
    pending: VecDeque<(Time, Change)>,
}

impl InstanceList {
    pub(crate) fn new(lag: Span, instances: Vec<Instance>) -> Self {
        let named = instances.into_iter().map(|instance| (instance.name.clone(), instance));
        let current: BTreeMap<_, _> = named.collect();
        Self { lag, published: current.clone(), current, pending: VecDeque::new() }
    }

    /// Applies a change now and publishes it after the lag.
    pub(crate) fn change(&mut self, now: Time, change: Change) {
        apply(&mut self.current, &change);
        self.pending.push_back((now + self.lag, change));
    }

    /// Returns the list as clients read it at `now`.
    pub(crate) fn published(&mut self, now: Time) -> Vec<Instance> {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                apply(&mut self.published, &change);
            }
        }
        self.published.values().cloned().collect()
    }

    /// Returns the current instances, including changes that are not published yet.
    pub(crate) fn current(&self) -> impl Iterator<Item = &Instance> {
        self.current.values()
    }
}

fn apply(instances: &mut BTreeMap<String, Instance>, change: &Change) {
    match change {
        Change::Add(instance) => {
            instances.insert(instance.name.clone(), (**instance).clone());
        }
        Change::Leave(name) => {
            if let Some(instance) = instances.get_mut(name) {
                instance.state = State::Leaving;
            }
        }
        Change::Remove(name) => {
            instances.remove(name);
        }
    }
}
