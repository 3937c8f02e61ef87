//! Settings of the queues to which jobs were submitted, also of those that the configuration no
//! longer names.
//!
//! An accepted job goes on when its queue is renamed or removed. It runs under the settings that
//! were last in force for the queue, so on the service to which a configuration has sent it, and not
//! under those of another queue at the same path. The row of an accepted job holds the settings of
//! its acceptance; where these are missing or outdated, the owner keeps others with the progress of
//! the job, so that a successor has them.

use super::Shard;
use super::entry::Entry;
use crate::config::{Config, Queue, Terms};
use crate::id::JobId;
use crate::record::RecordId;

impl Entry {
    /// Returns the settings of the job's queue. There are none if the configuration does not name
    /// the queue and has not since an earlier version accepted the job.
    pub(super) fn queue_in<'a>(&'a self, config: &'a Config) -> Option<&'a Queue> {
        self.named_in(config).or(self.kept.as_ref())
    }

    /// Returns the job's queue in a configuration that still has it.
    fn named_in<'a>(&self, config: &'a Config) -> Option<&'a Queue> {
        let found = config.queues.get(&self.queue)?;
        let is_replaced = self.kept.as_ref().is_some_and(|kept| kept.is_replaced_by(found));
        (!is_replaced).then_some(found)
    }

    /// Keeps settings for the time after the configuration names the queue. Returns whether they are
    /// to be recorded.
    fn keep(&mut self, queue: Option<&Queue>) -> bool {
        let kept = self.kept.as_ref().map(Terms::of);
        let Some(queue) = queue.filter(|queue| kept != Some(Terms::of(queue))) else {
            return false;
        };
        self.kept = Some(queue.clone());
        self.records_terms = true;
        true
    }
}

impl Shard {
    /// Returns the settings of the queue of a job.
    pub(super) fn queue_of<'a>(&'a self, entry: &'a Entry) -> Option<&'a Queue> {
        entry.queue_in(&self.config)
    }

    /// Keeps the settings of the queues that the next configuration no longer has, for their jobs in
    /// progress.
    pub(super) fn keep_dropped(&mut self, next: &Config) {
        let active = self.jobs.iter_mut().filter(|(_, entry)| entry.is_active());
        for (id, entry) in active.filter(|(_, entry)| entry.named_in(next).is_none()) {
            if entry.keep(entry.named_in(&self.config)) {
                self.dirty.insert(RecordId::first(*id));
            }
        }
    }

    /// Keeps the settings of the queue of a job that an earlier version accepted without them.
    pub(super) fn complete_settings(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.kept.is_none() && entry.is_active() && entry.keep(entry.named_in(&self.config)) {
            self.dirty.insert(RecordId::first(id));
        }
    }
}
