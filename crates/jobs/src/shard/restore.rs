//! Restoration of a shard from the records of its predecessors.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;

use super::Shard;
use super::entry::{Entry, OpenRun, Stage, Stop};
use super::evidence::LeaseBound;
use super::executors::Executor;
use super::lease_ends::LeaseEnd;
use super::limit::Limit;
use super::message::{Command, Decision};
use crate::executor::{Availability, Incarnation, Registration, Steady};
use crate::id::{DomainName, JobId, Run, ServiceName, StepId, TaskId};
use crate::progress::{self, Progress, State, TaskRecord};
use crate::record::{MAX_OPEN_OCCURRENCES, RecordId};
use crate::spec::{AcceptedJob, Resources};

/// Address of an executor whose address is not known.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

data! {
    /// Records of a shard that a successor starts from.
    #[derive(Default)]
    pub struct Records {
        /// Accepted jobs.
        pub jobs: Vec<(JobId, AcceptedJob)>,
        /// Jobs whose cancellation was accepted.
        pub cancelled: Vec<JobId>,
        /// Interference model of the predecessors.
        pub model: Option<super::Snapshot>,
        /// Progress of jobs; the first record of a job comes before its others.
        pub progress: Vec<(RecordId, Progress)>,
        /// Records that cannot be read; their jobs do not go on, since runs may be active.
        pub unreadable: Vec<RecordId>,
        /// Time left of the leases of executors that did not answer the predecessor.
        pub lease_ends: Vec<LeaseEnd>,
    }
}

impl Shard {
    /// Restores jobs and runs from the records of predecessors. The executors must have been
    /// listed before.
    pub fn restore(&mut self, now: Time, wall_ms: u64, records: Records) {
        self.wall_ms = wall_ms;
        self.restored_at = now;
        if let Some(snapshot) = records.model {
            self.estimator.model.restore(snapshot);
        }
        self.restore_lease_ends(&records.lease_ends);
        for (id, accepted) in records.jobs {
            if accepted.job.validate().is_err() {
                continue;
            }
            self.jobs.insert(id, Entry::new(accepted));
        }
        for (id, progress) in &records.progress {
            self.restore_record(now, *id, progress);
        }
        for (id, progress) in &records.progress {
            self.restore_tasks(now, *id, progress);
            self.split_record(*id, progress);
        }
        for record in &records.unreadable {
            if let Some(entry) = self.jobs.get_mut(&record.job) {
                entry.is_rejected = true;
                self.out.push(Command::Log(Decision::RecordRejected(*record)));
            }
        }
        for id in records.cancelled {
            self.cancel(now, id);
        }
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.restore_finished(now, id);
            self.complete_settings(id);
            self.begin(now, id);
            self.send_requested_stops(now, id);
        }
        self.note_known();
        self.log_inherited(now);
        self.placement_due = true;
    }

    fn restore_record(&mut self, now: Time, id: RecordId, progress: &Progress) {
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let Some(state) = progress.state.filter(|_| id.is_first()) {
            entry.state = state;
            entry.reported_state = state;
        }
        if let Some(terms) = progress.terms.clone() {
            entry.kept = Some(terms.into_queue(&entry.queue));
            entry.records_terms = true;
        }
        let last = entry.job.occurrences() - 1;
        for (begin, end) in &progress.finished {
            entry.finished.insert(*begin, (*end).min(last));
        }
        for done in progress.done.iter().filter(|done| done.occurrence <= last) {
            restore_done(entry, now, done.occurrence, done.step, &done.indices);
            // Earlier versions recorded each finished occurrence by its steps.
            let is_whole = done.occurrence != id.occurrence
                && progress.tasks.iter().all(|task| task.occurrence != done.occurrence);
            if is_whole && entry.is_occurrence_done(done.occurrence) {
                entry.occurrences.remove(&done.occurrence);
                entry.finished.insert(done.occurrence, done.occurrence);
            }
        }
    }

    /// Restores the open runs of a record, after the done tasks of all records.
    fn restore_tasks(&mut self, now: Time, id: RecordId, progress: &Progress) {
        let Some(entry) = self.jobs.get(&id.job) else {
            return;
        };
        let last = entry.job.occurrences() - 1;
        let stop = if entry.state.is_terminal() { Stop::Requested } else { Stop::NotRequested };
        for record in progress.tasks.iter().filter(|record| record.occurrence <= last) {
            self.restore_task(now, id.job, record, stop);
        }
    }

    /// Notes which of a job's restored occurrences are finished.
    fn restore_finished(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        for (number, occurrence) in &entry.occurrences {
            if occurrence.steps.iter().all(|step| step.left == 0) {
                entry.finished.insert(*number, *number);
            }
        }
        self.complete_if_done(now, id);
    }

    fn restore_task(&mut self, now: Time, job: JobId, record: &TaskRecord, stop: Stop) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        begin_occurrence(entry, now, record.occurrence);
        let id = StepId { job, occurrence: record.occurrence, step: record.step };
        let id = id.task(record.index);
        let Some(task) = entry.task_mut(&id) else {
            return;
        };
        task.run = record.run;
        task.failed = record.failed;
        task.crashes = record.crashes;
        task.confirmed_crashes = record.confirmed_crashes;
        task.checkpoint.clone_from(&record.checkpoint);
        let stop = if task.done { Stop::Requested } else { stop };
        task.open_runs = record
            .open
            .iter()
            .map(|open| OpenRun {
                run: Run(open.run),
                executor: open.executor.clone(),
                incarnation: Incarnation(open.incarnation),
                address: open.address,
                stage: Stage::Inherited,
                stop,
                limit: Limit::inherited(),
                throttled_since: None,
                first_sent: now,
                last_sent: now,
                started_at: None,
                progress: (0, now),
            })
            .collect();
        for open in &record.open {
            self.inherit(now, &id, open);
        }
    }

    /// Marks the executor of a recorded run as one where that run may be active.
    fn inherit(&mut self, now: Time, task: &TaskId, record: &progress::OpenRun) {
        let id = &record.executor;
        let listed = self.executors.get(id).map(|found| found.registration.incarnation);
        let has_restarted = listed.is_some_and(|listed| listed.0 > record.incarnation);
        let (wait, bound) = self.longest_inherited_lease(id, has_restarted);
        let job = self.jobs.get(&task.step.job).map(|entry| Arc::clone(&entry.job));
        let step = job.as_ref().and_then(|job| job.steps.get(task.step.step as usize));
        let Some(step) = step else {
            return;
        };
        let executor =
            self.executors.entry(id.clone()).or_insert_with(|| Executor::unlisted(now, record));
        executor.inherit(record, now + wait, bound);
        executor.inherited_restart |= has_restarted;
        let until = now + self.settings.predecessor_grace;
        executor.record_unanswered(now, until, &self.settings);
        executor.reserve(*task, step);
        self.count_open(task, step);
        self.probe_candidates.insert(id.clone());
    }
}

impl Executor {
    /// Returns the executor of a recorded run that is not listed.
    ///
    /// It takes no work until it is listed, but it is probed if the record has its address: an
    /// executor that is cut off from the store may still run its tasks.
    fn unlisted(now: Time, record: &progress::OpenRun) -> Self {
        let registration = Registration {
            id: record.executor.clone(),
            incarnation: Incarnation(record.incarnation),
            address: record.address.unwrap_or(NO_ADDRESS),
            service: ServiceName::from(""),
            domain: DomainName::from(""),
            availability: Availability::Ready,
            warm_up: Span::ZERO,
            remaining: None,
            capacity: Resources::default(),
            labels: Vec::new(),
            clock: Steady(0),
        };
        let mut executor = Self::new(now, registration);
        executor.present = false;
        executor
    }

    /// Marks the executor as one where runs of predecessors may be active until `lease_end`.
    fn inherit(&mut self, record: &progress::OpenRun, lease_end: Time, bound: LeaseBound) {
        self.fenced = false;
        if lease_end > self.inherited_until {
            self.inherited_until = lease_end;
            self.inherited_bound = bound;
        }
        let latest = Incarnation(record.incarnation);
        if !self.present
            && latest > self.registration.incarnation
            && let Some(address) = record.address
        {
            self.registration.incarnation = latest;
            self.registration.address = address;
        }
    }

    /// Returns whether the address of the executor is known.
    pub(super) const fn has_address(&self) -> bool {
        self.registration.address.port() != 0
    }
}

fn begin_occurrence(entry: &mut Entry, now: Time, number: u32) {
    let is_full = entry.occurrences.len() > MAX_OPEN_OCCURRENCES;
    if !entry.occurrences.contains_key(&number) && !is_full {
        let occurrence = entry.occurrence(number, now);
        entry.occurrences.insert(number, occurrence);
    }
    if entry.state == State::Queued {
        entry.state = State::Running;
    }
}

fn restore_done(entry: &mut Entry, now: Time, occurrence: u32, step: u32, indices: &[u32]) {
    begin_occurrence(entry, now, occurrence);
    let Some(step) = entry.step_mut(occurrence, step) else {
        return;
    };
    let all = 0..step.tasks.len();
    let indices = if indices.is_empty() { all.collect() } else { indices.to_vec() };
    for index in indices {
        if let Some(task) = step.tasks.get_mut(index)
            && !task.done
        {
            task.done = true;
            step.left -= 1;
        }
    }
}
