//! The instance list, which lags.

use std::collections::{BTreeMap, VecDeque};

use sycamorerill_clients::instances::{Change, Instance, State};
use sycamorerill_core::clock::{Span, Time};

/// Instances as they are, and the list as it is shown.
#[derive(Debug)]
pub(crate) struct List {
    lag: Span,
    present: BTreeMap<String, Instance>,
    shown: BTreeMap<String, Instance>,
    pending: VecDeque<(Time, Change)>,
}

impl List {
    pub(crate) fn new(lag: Span, instances: Vec<Instance>) -> Self {
        let named = instances.into_iter().map(|instance| (instance.name.clone(), instance));
        let present: BTreeMap<_, _> = named.collect();
        Self { lag, shown: present.clone(), present, pending: VecDeque::new() }
    }

    /// Changes an instance; the list shows it after the lag.
    pub(crate) fn change(&mut self, now: Time, change: Change) {
        apply(&mut self.present, &change);
        self.pending.push_back((now + self.lag, change));
    }

    /// Returns the list as it is shown.
    pub(crate) fn shown(&mut self, now: Time) -> Vec<Instance> {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                apply(&mut self.shown, &change);
            }
        }
        self.shown.values().cloned().collect()
    }

    /// Returns the instances as they are.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Instance> {
        self.present.values()
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
