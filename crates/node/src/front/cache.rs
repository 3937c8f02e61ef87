//! States of jobs as heard from the store.

use std::collections::BTreeMap;

use sycamorerill_jobs::id::{JobId, QueueName};
use sycamorerill_jobs::progress::State;

use super::{Queued, Shown, decode};
use crate::port::Row;

/// What is known of one job.
#[derive(Debug, Default)]
struct Known {
    queue: Option<QueueName>,
    state: Option<State>,
}

/// States of jobs as heard from the store.
#[derive(Debug, Default)]
pub(super) struct Cache {
    jobs: BTreeMap<JobId, Known>,
    /// Jobs of each queue that wait for a first start.
    waiting: BTreeMap<QueueName, u64>,
}

impl Cache {
    /// Returns the state of a job, where one is known.
    pub(super) fn state(&self, id: JobId) -> Option<State> {
        let known = self.jobs.get(&id)?;
        Some(known.state.unwrap_or(State::Queued))
    }

    /// Returns the number of a queue's jobs that wait for a first start.
    pub(super) fn waiting(&self, queue: &QueueName) -> u64 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Takes that a job is stored.
    pub(super) fn queued(&mut self, id: JobId, queue: QueueName) {
        let known = self.jobs.entry(id).or_default();
        if known.queue.is_some() {
            return;
        }
        if known.state.is_none() {
            *self.waiting.entry(queue.clone()).or_default() += 1;
        }
        known.queue = Some(queue);
    }

    /// Takes a row of the table of states.
    pub(super) fn take(&mut self, row: &Row) {
        let Ok(id) = row.name.parse::<JobId>() else {
            return;
        };
        if row.value.is_none() {
            self.forget(id);
        } else if let Some(shown) = decode::<Shown>(row) {
            self.shown(id, shown.state);
        } else if let Some(queued) = decode::<Queued>(row) {
            self.queued(id, queued.queue);
        }
    }

    fn shown(&mut self, id: JobId, state: State) {
        let known = self.jobs.entry(id).or_default();
        if known.state.is_some_and(State::is_terminal) {
            return;
        }
        let first = known.state.replace(state).is_none();
        if let (true, Some(queue)) = (first, &known.queue) {
            leave(&mut self.waiting, queue);
        }
    }

    fn forget(&mut self, id: JobId) {
        if let Some(known) = self.jobs.remove(&id)
            && known.state.is_none()
            && let Some(queue) = &known.queue
        {
            leave(&mut self.waiting, queue);
        }
    }
}

fn leave(waiting: &mut BTreeMap<QueueName, u64>, queue: &QueueName) {
    if let Some(count) = waiting.get_mut(queue) {
        *count = count.saturating_sub(1);
    }
}
