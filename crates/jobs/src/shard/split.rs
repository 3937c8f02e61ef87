//! Splits the records of earlier versions, which hold all tasks of a job in its first record.
//!
//! The first record may be written again only once the others hold what it no longer does, or a
//! successor would start tasks again that run or are done.

use std::collections::{BTreeMap, BTreeSet};

use super::Shard;
use super::entry::Entry;
use crate::id::{JobId, StepId};
use crate::progress::Progress;
use crate::record::RecordId;

/// Records that must be written before the first record of their job.
#[derive(Debug, Default)]
pub(super) struct Unsplit {
    missing: BTreeMap<JobId, BTreeSet<RecordId>>,
}

impl Unsplit {
    /// Returns whether a record must wait until others of its job are written.
    pub(super) fn is_held_back(&self, record: RecordId) -> bool {
        record.is_first() && self.missing.contains_key(&record.job)
    }

    /// Notes that a record is written.
    pub(super) fn record_written(&mut self, record: RecordId) {
        if let Some(missing) = self.missing.get_mut(&record.job) {
            missing.remove(&record);
            if missing.is_empty() {
                self.missing.remove(&record.job);
            }
        }
    }
}

impl Shard {
    /// Has a restored job written in several records if its first one holds tasks of others.
    pub(super) fn split_record(&mut self, id: RecordId, progress: &Progress) {
        let tasks_per_record = self.settings.tasks_per_record;
        let Some(entry) = self.jobs.get(&id.job) else {
            return;
        };
        let has_ended = entry.state.is_terminal() && progress.tasks.is_empty();
        if !id.is_first() || has_ended || !exceeds_first(entry, id, progress, tasks_per_record) {
            return;
        }
        let occurrences = entry.occurrences.keys().copied();
        let missing: BTreeSet<RecordId> = occurrences
            .flat_map(|number| {
                RecordId::of_occurrence(id.job, &entry.job, number, tasks_per_record)
            })
            .filter(|record| !record.is_first())
            .collect();
        self.dirty.extend(missing.iter().copied());
        self.dirty.insert(id);
        if !missing.is_empty() {
            self.unsplit.missing.insert(id.job, missing);
        }
    }
}

/// Returns whether a first record holds tasks that it does not cover.
fn exceeds_first(entry: &Entry, id: RecordId, progress: &Progress, tasks_per_record: u32) -> bool {
    let ranges = id.tasks(&entry.job, tasks_per_record);
    let is_task_covered = |task: &crate::progress::TaskRecord| {
        let step = StepId { job: id.job, occurrence: task.occurrence, step: task.step };
        RecordId::of_task(&entry.job, &step.task(task.index), tasks_per_record) == id
    };
    let is_done_covered = |done: &crate::progress::DoneRecord| {
        let range = ranges.get(done.step as usize).cloned().unwrap_or_default();
        done.occurrence == id.occurrence
            && !range.is_empty()
            && done.indices.iter().all(|index| range.contains(index))
    };
    !progress.tasks.iter().all(is_task_covered) || !progress.done.iter().all(is_done_covered)
}
