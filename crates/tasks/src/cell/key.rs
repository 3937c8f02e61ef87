//! Integer keys that stand for names inside a cell.

use std::collections::BTreeMap;

use sycamorerill_core::value;

value! {
    /// Key of a job.
    pub(crate) struct Job(pub(crate) u64);
}
value! {
    /// Key of a task: the key of its job and its index.
    pub(crate) struct Task((Job, u32));
}
value! {
    /// Key of a class.
    pub(crate) struct Class(pub(crate) u32);
}
value! {
    /// Key of a team.
    pub(crate) struct Team(pub(crate) u32);
}
value! {
    /// Key of a worker.
    pub(crate) struct Worker(pub(crate) u32);
}
value! {
    /// Key of a rack.
    pub(crate) struct Rack(pub(crate) u32);
}

impl Task {
    pub(crate) const fn new(job: Job, index: u32) -> Self {
        Self((job, index))
    }

    pub(crate) const fn job(self) -> Job {
        self.0.0
    }

    pub(crate) const fn index(self) -> u32 {
        self.0.1
    }
}

/// Assigns consecutive numbers to names, starting at 0.
#[derive(Clone, Debug)]
pub(crate) struct Interner<N> {
    numbers: BTreeMap<N, u32>,
}

impl<N> Default for Interner<N> {
    fn default() -> Self {
        Self { numbers: BTreeMap::new() }
    }
}

impl<N: Clone + Ord> Interner<N> {
    /// Returns the number of `name`; assigns the next one if it has none.
    pub(crate) fn intern(&mut self, name: &N) -> u32 {
        if let Some(found) = self.numbers.get(name) {
            return *found;
        }
        let next = self.numbers.len() as u32;
        self.numbers.insert(name.clone(), next);
        next
    }

    /// Returns the number of `name`, if it has one.
    pub(crate) fn find(&self, name: &N) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns how many numbers are assigned.
    pub(crate) fn len(&self) -> usize {
        self.numbers.len()
    }
}
