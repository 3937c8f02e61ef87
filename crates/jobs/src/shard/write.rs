//! Batches of records, and the actions that wait until a batch is recorded.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Entry, Stage, Task};
use super::executors::Executor;
use super::message::{Batch, Closing, Command, Decision};
use crate::config::Terms;
use crate::executor::Incarnation;
use crate::id::{ExecutorId, JobId, Run, TaskId};
use crate::progress::{DoneRecord, OpenRun, Progress, State, TaskRecord};
use crate::record::{MAX_TERMS_BYTES, RecordId};

/// Maximum number of records in one batch. Each takes up to two of the 100 entries of a
/// transaction, as it may come with the state of its job.
const RECORDS_PER_BATCH: usize = 45;

/// Number of records from which on a batch is large. The next batch then waits `GATHER_INTERVAL`
/// for more changes, since each record holds all of its tasks.
const LARGE_BATCH_RECORDS: usize = 8;

/// Minimum time between a batch of `LARGE_BATCH_RECORDS` or more and the next one, unless that is
/// full. It is a tenth of the time within which run ends are to be acknowledged, and short
/// compared with the shortest objective, 250 ms.
const GATHER_INTERVAL: Span = Span::from_ms(25);

/// Minimum time between two records of the interference model.
const SNAPSHOT_INTERVAL: Span = Span::from_ms(2_000);

/// A batch that was sent to the store and is not confirmed yet.
#[derive(Debug, Default)]
pub(super) struct PendingBatch {
    /// Records in the batch.
    records: BTreeSet<RecordId>,
    /// Runs that are started once the batch is recorded.
    starts: Vec<(TaskId, Run)>,
    /// Run ends that count as recorded with the batch: the highest number for each executor.
    ends: Vec<(ExecutorId, Incarnation, u64)>,
}

/// Records that had changed when the round began, and the run ends that changed them. The ends
/// count as recorded with the last of these records, however many others have changed since.
#[derive(Debug, Default)]
pub(super) struct Round {
    records: BTreeSet<RecordId>,
    ends: Vec<(ExecutorId, Incarnation, u64)>,
}

impl Shard {
    /// Requests the recording of the next batch, if there are changes and no batch is pending.
    pub(super) fn write_batch(&mut self, now: Time) {
        let full = self.round.records.len().max(self.dirty.len()) >= RECORDS_PER_BATCH;
        if self.pending_batch.is_some() || (now < self.write_after && !full) {
            return;
        }
        if self.round.records.is_empty() {
            if self.dirty.is_empty() && !self.lease_ends.is_due() && !self.outlooks.is_due() {
                self.mark_ends_recorded();
                return;
            }
            self.begin_round();
        }
        let records = self.next_records(now);
        let mut batch = Batch::default();
        let mut pending = PendingBatch::default();
        for record in &records {
            self.write_record(*record, &mut batch);
        }
        let placed = std::mem::take(&mut self.placed);
        let is_recorded = |(task, _): &(TaskId, Run)| records.contains(&self.record_of(task));
        let (ready, later) = placed.into_iter().partition(is_recorded);
        pending.starts = ready;
        self.placed = later;
        if self.round.records.is_empty() {
            pending.ends = std::mem::take(&mut self.round.ends);
        }
        if now.since(self.estimator.recorded_at) >= SNAPSHOT_INTERVAL {
            self.estimator.recorded_at = now;
            batch.model = Some(self.estimator.model.snapshot(self.settings.max_row_bytes / 2));
            let reports = self.estimator.model.take_fit_reports();
            let log = |report| Command::Log(Decision::ModelRecorded(report));
            self.out.extend(reports.into_iter().map(log));
        }
        pending.records = records;
        batch.lease_ends = self.next_lease_ends(now);
        batch.outlook = self.outlooks.take();
        self.pending_batch = Some(pending);
        self.out.push(Command::Record(batch));
    }

    /// Removes the records of the next batch from the round.
    fn next_records(&mut self, now: Time) -> BTreeSet<RecordId> {
        let unsplit = &self.unsplit;
        let changed = self.round.records.iter().copied();
        let changed = changed.filter(|record| !unsplit.is_held_back(*record));
        let mut records: BTreeSet<RecordId> = changed.take(RECORDS_PER_BATCH).collect();
        // The first record of a job that starts or ends comes no later than its others.
        let first = |record: &RecordId| RecordId::first(record.job);
        let missing: Vec<RecordId> = records
            .iter()
            .map(first)
            .filter(|first| self.dirty.contains(first) || self.is_state_due(first.job))
            .filter(|first| !self.unsplit.is_held_back(*first))
            .collect();
        records.extend(missing);
        self.round.records.retain(|record| !records.contains(record));
        self.dirty.retain(|record| !records.contains(record));
        if records.len() >= LARGE_BATCH_RECORDS {
            self.write_after = now + GATHER_INTERVAL;
        }
        records
    }

    /// Returns whether a job has started and no record says so.
    fn is_state_due(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|entry| {
            entry.state == State::Queued && entry.occurrences.values().any(has_started)
        })
    }

    /// Returns the identifier of the record that covers a task.
    fn record_of(&self, task: &TaskId) -> RecordId {
        let first = RecordId::first(task.step.job);
        let tasks_per_record = self.settings.tasks_per_record;
        let entry = self.jobs.get(&task.step.job);
        entry.map_or(first, |entry| RecordId::of_task(&entry.job, task, tasks_per_record))
    }

    /// Notes that a task has changed.
    pub(super) fn mark_changed(&mut self, task: &TaskId) {
        self.dirty.insert(self.record_of(task));
    }

    /// Notes that all tasks of an occurrence that are recorded have changed, or that it is removed.
    pub(super) fn mark_occurrence_changed(&mut self, id: JobId, occurrence: u32) {
        let tasks_per_record = self.settings.tasks_per_record;
        let is_recorded = |entry: &&Entry| {
            entry.occurrences.get(&occurrence).is_none_or(|found| !found.is_unchanged())
        };
        if let Some(entry) = self.jobs.get(&id).filter(is_recorded) {
            let records = RecordId::of_occurrence(id, &entry.job, occurrence, tasks_per_record);
            self.dirty.extend(records);
        }
        self.dirty.insert(RecordId::first(id));
    }

    /// Notes that the state of a job has changed.
    pub(super) fn mark_job_changed(&mut self, id: JobId) {
        let occurrences = self.jobs.get(&id).map(|entry| entry.occurrences.keys().copied());
        let occurrences: Vec<u32> = occurrences.into_iter().flatten().collect();
        for occurrence in occurrences {
            self.mark_occurrence_changed(id, occurrence);
        }
        self.dirty.insert(RecordId::first(id));
    }

    /// Begins a round of batches that records all changes up to now.
    fn begin_round(&mut self) {
        self.round = Round { records: self.dirty.clone(), ends: self.unrecorded_ends() };
        self.has_new_ends = false;
    }

    fn write_record(&mut self, id: RecordId, batch: &mut Batch) {
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let has_started = |entry: &Entry| entry.occurrences.values().any(has_started);
        if id.is_first() && entry.state == State::Queued && has_started(entry) {
            entry.state = State::Running;
        }
        let progress = progress_record(entry, id, self.settings.tasks_per_record);
        let is_removed = !id.is_first() && progress.is_empty();
        batch.progress.push((id, (!is_removed).then_some(progress)));
        if id.is_first() && entry.reported_state != entry.state {
            entry.reported_state = entry.state;
            batch.states.push((id.job, entry.state));
        }
    }

    /// Returns the highest processed run end of each executor with ends that are not recorded.
    fn unrecorded_ends(&self) -> Vec<(ExecutorId, Incarnation, u64)> {
        self.executors
            .iter()
            .filter(|(_, executor)| executor.ends_processed > executor.ends_recorded)
            .map(|(id, executor)| {
                (id.clone(), executor.registration.incarnation, executor.ends_processed)
            })
            .collect()
    }

    /// Marks run ends that changed no job as recorded.
    fn mark_ends_recorded(&mut self) {
        if !std::mem::take(&mut self.has_new_ends) {
            return;
        }
        for (id, incarnation, end) in self.unrecorded_ends() {
            self.mark_end_recorded(&id, incarnation, end);
        }
    }

    fn mark_end_recorded(&mut self, id: &ExecutorId, incarnation: Incarnation, end: u64) {
        if let Some(executor) = self.executors.get_mut(id)
            && executor.registration.incarnation == incarnation
            && executor.confirmed
        {
            executor.ends_recorded = executor.ends_recorded.max(end);
            self.probe_candidates.insert(id.clone());
        }
    }

    /// Handles the confirmation that the pending batch is recorded.
    ///
    /// Jobs of which the store has rejected a record do not go on, as no successor would know of
    /// their runs.
    pub(super) fn handle_recorded(&mut self, now: Time, rejected: &[RecordId]) {
        let Some(pending) = self.pending_batch.take() else {
            return;
        };
        for record in pending.records {
            self.unsplit.record_written(record);
        }
        self.end_record_of_lease_ends();
        for (id, incarnation, end) in pending.ends {
            self.mark_end_recorded(&id, incarnation, end);
        }
        for record in rejected {
            self.out.push(Command::Log(Decision::RecordRejected(*record)));
            if let Some(entry) = self.jobs.get_mut(&record.job) {
                entry.is_rejected = true;
            }
        }
        for (task, run) in pending.starts {
            if rejected.iter().any(|record| record.job == task.step.job) {
                self.close(now, &task, run, Closing::NotRecorded);
            } else {
                self.start_recorded(now, &task, run);
            }
        }
    }

    /// Sends the order to start a run that is recorded, unless the run was closed meanwhile, the
    /// executor's failure domain is evacuated, or its capacity has shrunk below what it holds.
    fn start_recorded(&mut self, now: Time, task: &TaskId, run: Run) {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        let open = found.and_then(|found| found.open_runs.iter().find(|open| open.run == run));
        let Some(open) = open.filter(|open| open.stage == Stage::Recording) else {
            return;
        };
        let executor = self.executors.get(&open.executor);
        if executor.is_some_and(|executor| executor.is_evacuated) {
            self.close_evacuated(now, task, run);
        } else if executor.is_some_and(Executor::is_overcommitted) {
            self.close(now, task, run, Closing::NoCapacity);
        } else if executor.is_none_or(|executor| {
            !executor.may_extend_lease() || executor.registration.incarnation != open.incarnation
        }) {
            self.close(now, task, run, Closing::NotSent);
        } else {
            self.send_start(now, task, run);
        }
    }
}

fn has_started(occurrence: &super::entry::Occurrence) -> bool {
    occurrence.steps.iter().flat_map(|step| step.tasks.changed()).any(|(_, task)| task.run > 0)
}

/// Returns the record `id` of a job. Of a job that has ended, only open runs are recorded.
fn progress_record(entry: &Entry, id: RecordId, tasks_per_record: u32) -> Progress {
    let mut progress = Progress::default();
    let has_ended = entry.state.is_terminal();
    if id.is_first() {
        progress.state = Some(entry.state);
        let finished = entry.finished.iter().filter(|_| !has_ended);
        progress.finished = finished.collect();
        let kept = entry.kept.as_ref().filter(|_| entry.records_terms && !has_ended);
        let terms = kept.map(Terms::of);
        progress.terms = terms.filter(|terms| terms.text_bytes() <= MAX_TERMS_BYTES);
    }
    let Some(occurrence) = entry.occurrences.get(&id.occurrence) else {
        return progress;
    };
    let ranges = id.tasks(&entry.job, tasks_per_record);
    for ((number, step), range) in (0..).zip(&occurrence.steps).zip(ranges) {
        let tasks = || step.tasks.changed_in(range.clone());
        if !has_ended && !range.is_empty() {
            let all = step.left == 0;
            let done = tasks().filter(|(_, task)| task.done && !all);
            let indices: Vec<u32> = done.map(|(index, _)| index).collect();
            if all || !indices.is_empty() {
                progress.done.push(DoneRecord { occurrence: id.occurrence, step: number, indices });
            }
        }
        let is_recorded =
            |task: &Task| !task.open_runs.is_empty() || (!has_ended && task.run > 0 && !task.done);
        let touched = tasks().filter(|(_, task)| is_recorded(task));
        progress.tasks.extend(touched.map(|(index, task)| TaskRecord {
            occurrence: id.occurrence,
            step: number,
            index,
            run: task.run,
            failed: task.failed,
            crashes: task.crashes,
            confirmed_crashes: task.confirmed_crashes,
            checkpoint: task.checkpoint.clone(),
            open: task.open_runs.iter().map(open_run_record).collect(),
        }));
    }
    progress
}

fn open_run_record(open: &super::entry::OpenRun) -> OpenRun {
    OpenRun {
        run: open.run.0,
        executor: open.executor.clone(),
        incarnation: open.incarnation.0,
        address: open.address,
    }
}
