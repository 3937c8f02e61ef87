//! Settings of the queues to which jobs were submitted, also of those that the configuration no
//! longer names.
//!
//! An accepted job goes on when its queue is renamed or removed. It runs under the settings that
//! were last in force for the queue's name, so on the service to which a configuration has sent
//! it, and not under those of another queue at the same path. The owner that sees the change keeps
//! these settings; a successor has those of the acceptance, from the row of the job.

use std::collections::{BTreeMap, BTreeSet};

use super::Shard;
use super::entry::Entry;
use crate::config::{Config, Queue};
use crate::id::QueueName;

/// Queues that the configuration no longer names, as last configured, while jobs of them are in
/// progress.
#[derive(Debug, Default)]
pub(super) struct Dropped(BTreeMap<QueueName, Queue>);

impl Dropped {
    /// Returns the settings of the queue of a job. There are none if no configuration of this owner
    /// has named the queue and the job's row is of an earlier version.
    pub(super) fn queue_of<'a>(
        &'a self,
        config: &'a Config,
        entry: &'a Entry,
    ) -> Option<&'a Queue> {
        let named = config.queues.get(&entry.queue);
        named.or_else(|| self.0.get(&entry.queue)).or(entry.accepted_under.as_ref())
    }
}

impl Shard {
    /// Returns the settings of the queue of a job.
    pub(super) fn queue_of<'a>(&'a self, entry: &'a Entry) -> Option<&'a Queue> {
        self.dropped.queue_of(&self.config, entry)
    }

    /// Keeps the queues with jobs in progress that the next configuration does not name.
    pub(super) fn keep_dropped(&mut self, next: &Config) {
        let active = self.jobs.values().filter(|entry| !entry.state.is_terminal());
        let in_use: BTreeSet<&QueueName> = active.map(|entry| &entry.queue).collect();
        let is_kept = |name: &QueueName| in_use.contains(name) && !next.queues.contains_key(name);
        self.dropped.0.retain(|name, _| is_kept(name));
        let dropped = self.config.queues.iter().filter(|(name, _)| is_kept(name));
        self.dropped.0.extend(dropped.map(|(name, queue)| (name.clone(), queue.clone())));
    }
}
