//! Caches the states of jobs that the store reported.

use std::collections::BTreeMap;

use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::{JobId, QueueName};
use sycamorerill_jobs::progress::State;

use super::{Place, QueuedRow, StateRow, decode};
use crate::platform::Row;

/// The cached data of one job.
#[derive(Debug, Default)]
struct Entry {
    queue: Option<QueueName>,
    state: Option<State>,
}

/// Caches the states of jobs and counts the jobs that wait in each queue.
#[derive(Debug, Default)]
pub(super) struct Cache {
    jobs: BTreeMap<JobId, Entry>,
    /// Number of jobs in each queue that wait for their first start.
    waiting: BTreeMap<QueueName, u64>,
    /// Where each queue was reached when jobs were accepted into it.
    places: BTreeMap<QueueName, Place>,
}

impl Cache {
    /// Returns the state of a job if it is cached; a job without a recorded state is queued.
    pub(super) fn state(&self, id: JobId) -> Option<State> {
        let entry = self.jobs.get(&id)?;
        Some(entry.state.unwrap_or(State::Queued))
    }

    /// Returns the number of jobs in a queue that wait for their first start, with those of queues
    /// that the configuration no longer names and that were reached in the same place.
    pub(super) fn waiting(&self, config: &Config, queue: &Queue) -> u64 {
        let place = Place::of(queue);
        let is_former = |name: &QueueName| {
            !config.queues.contains_key(name) && self.places.get(name) == Some(&place)
        };
        let counted =
            self.waiting.iter().filter(|(name, _)| **name == queue.name || is_former(name));
        counted.map(|(_, count)| count).sum()
    }

    /// Adds a job that was accepted into a queue; does nothing if its queue is known already.
    pub(super) fn insert(&mut self, id: JobId, row: QueuedRow) {
        let QueuedRow { queue, place } = row;
        let entry = self.jobs.entry(id).or_default();
        if entry.queue.is_some() {
            return;
        }
        if entry.state.is_none() {
            *self.waiting.entry(queue.clone()).or_default() += 1;
        }
        if let Some(place) = place
            && self.places.get(&queue) != Some(&place)
        {
            self.places.insert(queue.clone(), place);
        }
        entry.queue = Some(queue);
    }

    /// Applies a row of [`Table::States`](crate::platform::Table::States).
    pub(super) fn apply(&mut self, row: &Row) {
        let Ok(id) = row.name.parse::<JobId>() else {
            return;
        };
        if row.value.is_none() {
            self.remove(id);
        } else if let Some(recorded) = decode::<StateRow>(row) {
            self.set_state(id, recorded.state);
        } else if let Some(accepted) = decode::<QueuedRow>(row) {
            self.insert(id, accepted);
        }
    }

    fn set_state(&mut self, id: JobId, state: State) {
        let entry = self.jobs.entry(id).or_default();
        if entry.state.is_some_and(State::is_terminal) {
            return;
        }
        let first = entry.state.replace(state).is_none();
        if let (true, Some(queue)) = (first, &entry.queue) {
            decrement(&mut self.waiting, queue);
        }
    }

    fn remove(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.remove(&id)
            && entry.state.is_none()
            && let Some(queue) = &entry.queue
        {
            decrement(&mut self.waiting, queue);
        }
    }
}

fn decrement(waiting: &mut BTreeMap<QueueName, u64>, queue: &QueueName) {
    if let Some(count) = waiting.get_mut(queue) {
        *count = count.saturating_sub(1);
    }
}
