//! Batches of records, and the actions that wait until a batch is recorded.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Entry, Stage};
use super::executors::Executor;
use super::message::{Batch, Closing, Command, Decision};
use crate::executor::Incarnation;
use crate::id::{ExecutorId, JobId, Run, TaskId};
use crate::progress::{DoneRecord, OpenRun, Progress, State, TaskRecord};

/// Maximum number of jobs in one batch. Each job takes up to two of the 100 entries of a
/// transaction.
const JOBS_PER_BATCH: usize = 45;

/// Number of jobs from which on a batch is large. The next batch then waits `GATHER_INTERVAL`
/// for more changes, since each batch holds the whole record of each of its jobs.
const LARGE_BATCH_JOBS: usize = 8;

/// Minimum time between a batch of `LARGE_BATCH_JOBS` or more and the next one, unless that is
/// full. It is a tenth of the time within which run ends are to be acknowledged, and short
/// compared with the shortest objective, 250 ms.
const GATHER_INTERVAL: Span = Span::from_ms(25);

/// Minimum time between two records of the interference model.
const SNAPSHOT_INTERVAL: Span = Span::from_ms(2_000);

/// A batch that was sent to the store and is not confirmed yet.
#[derive(Debug, Default)]
pub(super) struct PendingBatch {
    /// Runs that are started once the batch is recorded.
    starts: Vec<(TaskId, Run)>,
    /// Run ends that count as recorded with the batch: the highest number for each executor.
    ends: Vec<(ExecutorId, Incarnation, u64)>,
}

/// Jobs that had changed when the round began, and the run ends that changed them. The ends
/// count as recorded with the last of these jobs, however many other jobs have changed since.
#[derive(Debug, Default)]
pub(super) struct Round {
    jobs: BTreeSet<JobId>,
    ends: Vec<(ExecutorId, Incarnation, u64)>,
}

impl Shard {
    /// Requests the recording of the next batch, if there are changes and no batch is pending.
    pub(super) fn write_batch(&mut self, now: Time) {
        let full = self.round.jobs.len().max(self.dirty.len()) >= JOBS_PER_BATCH;
        if self.pending_batch.is_some() || (now < self.write_after && !full) {
            return;
        }
        if self.round.jobs.is_empty() {
            if self.dirty.is_empty() && !self.lease_ends.is_due() {
                self.mark_ends_recorded();
                return;
            }
            self.begin_round();
        }
        let jobs = self.next_jobs(now);
        let mut batch = Batch::default();
        let mut pending = PendingBatch::default();
        for job in &jobs {
            self.write_job(*job, &mut batch);
        }
        let placed = std::mem::take(&mut self.placed);
        let (ready, later) = placed.into_iter().partition(|(t, _)| jobs.contains(&t.step.job));
        pending.starts = ready;
        self.placed = later;
        if self.round.jobs.is_empty() {
            pending.ends = std::mem::take(&mut self.round.ends);
        }
        if now.since(self.estimator.recorded_at) >= SNAPSHOT_INTERVAL {
            self.estimator.recorded_at = now;
            batch.model = Some(self.estimator.model.snapshot());
            let reports = self.estimator.model.take_fit_reports();
            let log = |report| Command::Log(Decision::ModelRecorded(report));
            self.out.extend(reports.into_iter().map(log));
        }
        batch.lease_ends = self.next_lease_ends(now);
        self.pending_batch = Some(pending);
        self.out.push(Command::Record(batch));
    }

    /// Removes the jobs of the next batch from the round.
    fn next_jobs(&mut self, now: Time) -> BTreeSet<JobId> {
        let jobs: BTreeSet<JobId> = self.round.jobs.iter().copied().take(JOBS_PER_BATCH).collect();
        self.round.jobs.retain(|job| !jobs.contains(job));
        self.dirty.retain(|job| !jobs.contains(job));
        if jobs.len() >= LARGE_BATCH_JOBS {
            self.write_after = now + GATHER_INTERVAL;
        }
        jobs
    }

    /// Begins a round of batches that records all changes up to now.
    fn begin_round(&mut self) {
        self.round = Round { jobs: self.dirty.clone(), ends: self.unrecorded_ends() };
        self.has_new_ends = false;
    }

    fn write_job(&mut self, id: JobId, batch: &mut Batch) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let started = |entry: &Entry| entry.occurrences.values().any(has_started);
        if entry.state == State::Queued && started(entry) {
            entry.state = State::Running;
        }
        batch.progress.push((id, progress_record(entry)));
        if entry.reported_state != entry.state {
            entry.reported_state = entry.state;
            batch.states.push((id, entry.state));
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
    pub(super) fn handle_recorded(&mut self, now: Time) {
        let Some(pending) = self.pending_batch.take() else {
            return;
        };
        self.end_record_of_lease_ends();
        for (id, incarnation, end) in pending.ends {
            self.mark_end_recorded(&id, incarnation, end);
        }
        for (task, run) in pending.starts {
            self.start_recorded(now, &task, run);
        }
    }

    /// Sends the order to start a run that is recorded, unless the run was closed meanwhile or the
    /// executor's capacity has shrunk below what it holds.
    fn start_recorded(&mut self, now: Time, task: &TaskId, run: Run) {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        let open = found.and_then(|found| found.open_runs.iter().find(|open| open.run == run));
        let Some(open) = open.filter(|open| open.stage == Stage::Recording) else {
            return;
        };
        let executor = self.executors.get(&open.executor);
        if executor.is_some_and(Executor::is_overcommitted) {
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
    occurrence.steps.iter().flat_map(|step| &step.tasks).any(|task| task.run > 0)
}

/// Returns the record of a job.
fn progress_record(entry: &Entry) -> Progress {
    let mut done = Vec::new();
    let mut tasks = Vec::new();
    let whole = |occurrence: u32| {
        (0..entry.job.steps.len() as u32).map(move |step| DoneRecord {
            occurrence,
            step,
            indices: Vec::new(),
        })
    };
    let not_in_memory = |number: &&u32| !entry.occurrences.contains_key(number);
    done.extend(entry.finished.iter().filter(not_in_memory).copied().flat_map(whole));
    for (occurrence, found) in &entry.occurrences {
        for (number, step) in (0..).zip(&found.steps) {
            let all = step.left == 0;
            let indices: Vec<u32> = (0..)
                .zip(&step.tasks)
                .filter(|(_, task)| task.done && !all)
                .map(|(index, _)| index)
                .collect();
            if all || !indices.is_empty() {
                done.push(DoneRecord { occurrence: *occurrence, step: number, indices });
            }
            let touched = (0..)
                .zip(&step.tasks)
                .filter(|(_, task)| (task.run > 0 && !task.done) || !task.open_runs.is_empty());
            tasks.extend(touched.map(|(index, task)| TaskRecord {
                occurrence: *occurrence,
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
    }
    if entry.state.is_terminal() {
        tasks.retain(|task| !task.open.is_empty());
    }
    Progress { state: entry.state, done, tasks }
}

fn open_run_record(open: &super::entry::OpenRun) -> OpenRun {
    OpenRun {
        run: open.run.0,
        executor: open.executor.clone(),
        incarnation: open.incarnation.0,
        address: open.address,
    }
}
