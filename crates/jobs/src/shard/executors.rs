//! State of executors as reported, with the runs placed on them and their leases.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Entry, OpenRun};
use super::message::Closing;
use super::unschedulable::is_other_host;
use crate::executor::{Availability, Registration, Steady};
use crate::id::{ExecutorId, Image, JobId, TaskId};
use crate::spec::{Resources, Step};

/// State of one executor.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) registration: Registration,
    /// Whether the executor's entry is in the list.
    pub(super) present: bool,
    /// Earliest time of departure, if the executor is draining.
    pub(super) leaves_at: Option<Time>,
    /// Time until which the executor is slow after its start.
    pub(super) warm_at: Time,
    /// Whether the executor's failure domain is evacuated, so that nothing starts there.
    pub(super) is_evacuated: bool,
    /// Lower bound on the executor's clock, and the time at which it was valid.
    pub(super) clock: (Steady, Time),
    /// When the executor last answered this owner.
    pub(super) last_answer: Time,
    /// When the latest probe was sent that the executor has answered.
    pub(super) answered_sent: Time,
    /// When its latest restart became known.
    pub(super) restarted_at: Time,
    /// When the executor last answered before its latest restart was known.
    pub(super) last_answer_before_restart: Time,
    /// When a run was last placed on the executor.
    pub(super) last_placed: Time,
    /// Time until which the executor gets no other work than a task that may crash it.
    pub(super) trial_until: Time,
    /// Latest end of any lease that the executor may have been granted, by its own clock.
    pub(super) deadline: Steady,
    /// Time until which orders and probes without an answer may still be carried out.
    pub(super) unanswered_until: Time,
    /// When the clock was last replaced, so that deadlines sent before mean nothing on it.
    pub(super) clock_reset_at: Time,
    /// Whether the end of the leases is recorded for a successor, or may be. They are not renewed
    /// then.
    pub(super) lease_end_recorded: bool,
    /// Whether orders of predecessors can no longer take effect.
    pub(super) fenced: bool,
    /// Whether the current incarnation has answered a probe. An entry alone does not show that the
    /// executor can be reached, or which incarnation is there.
    pub(super) confirmed: bool,
    /// When all orders and leases of predecessors have expired, even without an answer from the
    /// executor.
    pub(super) inherited_until: Time,
    /// What bounds that time.
    pub(super) inherited_bound: super::LeaseBound,
    /// Whether the executor has restarted since a predecessor placed a run there.
    pub(super) inherited_restart: bool,
    /// Tasks with open runs on the executor.
    pub(super) open_tasks: BTreeSet<TaskId>,
    /// Resources reserved for open runs.
    pub(super) used: Resources,
    /// Part of `used` that long-running runs have.
    pub(super) long_running_used: Resources,
    /// Reservation of the executor for a task that waits.
    pub(super) reservation: Option<super::reservation::Reservation>,
    /// Processor time that best-effort runs request, in thousandths of a core by image.
    pub(super) best_effort_cpu: BTreeMap<Image, u64>,
    /// Processor time that latency-critical runs request, in thousandths of a core by image.
    pub(super) latency_critical_cpu: BTreeMap<Image, u64>,
    /// Sum of `best_effort_cpu`.
    pub(super) best_effort_total: u64,
    /// Sum of `latency_critical_cpu`.
    pub(super) latency_critical_total: u64,
    /// Highest number of a run end that was processed.
    pub(super) ends_processed: u64,
    /// Highest number of a run end that is recorded.
    pub(super) ends_recorded: u64,
    /// Highest number of a run end that was acknowledged to the executor as recorded.
    pub(super) ends_acknowledged: u64,
    /// Number of the run end that the latest probe acknowledges.
    pub(super) probe_acknowledges: u64,
    /// Number of the latest probe; 0 before the first.
    pub(super) latest_probe: u64,
    /// When the probe in flight was sent.
    pub(super) probe_sent: Option<Time>,
    /// Earliest time of the next probe.
    pub(super) probe_after: Time,
    /// Whether the next probe must be answered at once, to confirm that a stopped run is not
    /// there.
    pub(super) verify: bool,
    /// Whether the latest completed probe brought no report.
    pub(super) probe_failed: bool,
    /// Number of probes in a row that brought no report.
    pub(super) failed_probes: u32,
    /// Since when the executor has not answered.
    pub(super) unreachable_since: Option<Time>,
    pub(super) health: super::health::Health,
    /// When limits of best-effort runs were last changed.
    pub(super) throttled_at: Option<Time>,
    /// Tail latencies last reported, by latency-critical job.
    pub(super) tails: BTreeMap<JobId, super::throttle::Tail>,
    /// Expected utilization of the latency-critical tasks, while it is up to date.
    pub(super) forecasts: Option<super::throttle::Forecasts>,
}

impl Executor {
    pub(super) fn new(now: Time, registration: Registration) -> Self {
        let clock = (registration.clock, now);
        let mut executor = Self {
            registration,
            present: true,
            leaves_at: None,
            warm_at: Time::ZERO,
            is_evacuated: false,
            clock,
            last_answer: Time::ZERO,
            answered_sent: Time::ZERO,
            restarted_at: Time::ZERO,
            last_answer_before_restart: Time::ZERO,
            last_placed: Time::ZERO,
            trial_until: Time::ZERO,
            deadline: Steady(0),
            unanswered_until: Time::ZERO,
            clock_reset_at: Time::ZERO,
            lease_end_recorded: false,
            fenced: true,
            confirmed: false,
            inherited_until: Time::ZERO,
            inherited_bound: super::LeaseBound::Longest,
            inherited_restart: false,
            open_tasks: BTreeSet::new(),
            used: Resources::default(),
            long_running_used: Resources::default(),
            reservation: None,
            best_effort_cpu: BTreeMap::new(),
            latency_critical_cpu: BTreeMap::new(),
            best_effort_total: 0,
            latency_critical_total: 0,
            ends_processed: 0,
            ends_recorded: 0,
            ends_acknowledged: 0,
            probe_acknowledges: 0,
            latest_probe: 0,
            probe_sent: None,
            probe_after: Time::ZERO,
            verify: false,
            probe_failed: false,
            failed_probes: 0,
            unreachable_since: None,
            health: super::health::Health::default(),
            throttled_at: None,
            tails: BTreeMap::new(),
            forecasts: None,
        };
        executor.update_times(now);
        executor
    }

    /// Returns the end of a lease of length `lease` from `now`, and records that it may be
    /// granted.
    pub(super) fn extend_lease(&mut self, now: Time, lease: Span) -> Steady {
        let deadline = Steady(self.clock(now).0.saturating_add(lease.as_ms()));
        self.deadline = self.deadline.max(deadline);
        deadline
    }

    /// Returns whether a lease of the executor may end within `lead`.
    pub(super) fn lease_ends_within(&self, now: Time, lead: Span) -> bool {
        self.clock(now).0.saturating_add(lead.as_ms()) >= self.deadline.0
    }

    /// Returns whether the expiry of leases has to be concluded from the local clock, since the
    /// executor does not report its runs.
    const fn is_out_of_reach(&self) -> bool {
        // Whatever the clock says, the first answer after a takeover may list the runs.
        let is_awaited = !self.fenced && !self.probe_failed && self.has_address();
        !is_awaited
            && (!self.present
                || !self.fenced
                || self.probe_failed
                || self.unreachable_since.is_some())
    }

    /// Reserves the resources for a run of a step.
    pub(super) fn reserve(&mut self, task: TaskId, step: &Step) {
        self.used = self.used.plus(&step.reserved());
        if step.long_running {
            self.long_running_used = self.long_running_used.plus(&step.reserved());
        }
        self.forecasts = None;
        let cpu = step.resources.cpu;
        if step.best_effort {
            *self.best_effort_cpu.entry(super::throttle::image(step)).or_default() += cpu;
            self.best_effort_total += cpu;
        }
        if step.objective_ms.is_some() {
            *self.latency_critical_cpu.entry(super::throttle::image(step)).or_default() += cpu;
            self.latency_critical_total += cpu;
        }
        self.open_tasks.insert(task);
    }

    /// Releases the resources of a run of a step.
    pub(super) fn release(&mut self, step: &Step) {
        self.used = self.used.saturating_sub(&step.reserved());
        if step.long_running {
            self.long_running_used = self.long_running_used.saturating_sub(&step.reserved());
        }
        self.forecasts = None;
        if step.best_effort {
            release_cpu(&mut self.best_effort_cpu, step);
            self.best_effort_total = self.best_effort_cpu.values().sum();
        }
        if step.objective_ms.is_some() {
            release_cpu(&mut self.latency_critical_cpu, step);
            self.latency_critical_total = self.latency_critical_cpu.values().sum();
        }
    }

    /// Returns whether the executor holds more than its capacity, since that has shrunk.
    pub(super) fn is_overcommitted(&self) -> bool {
        !self.registration.capacity.covers(&self.used)
    }

    /// Updates the times that the entry gives relative to its arrival.
    fn update_times(&mut self, now: Time) {
        self.warm_at = now + self.registration.warm_up;
        self.leaves_at = match (self.registration.availability, self.registration.remaining) {
            (Availability::Draining, Some(remaining)) => Some(now + remaining),
            (Availability::Draining, None) => Some(now),
            (Availability::Ready, _) => None,
        };
    }

    /// Returns whether new runs may be placed on the executor.
    pub(super) fn takes_work(&self) -> bool {
        self.present
            && !self.is_evacuated
            && self.registration.availability == Availability::Ready
            && self.unreachable_since.is_none()
            && !self.probe_failed
            && self.confirmed
            && self.may_extend_lease()
            && (self.fenced || self.open_tasks.is_empty())
    }
}

fn release_cpu(from: &mut BTreeMap<Image, u64>, step: &Step) {
    let image = super::throttle::image(step);
    let Some(cpu) = from.get_mut(&image) else {
        return;
    };
    *cpu = cpu.saturating_sub(step.resources.cpu);
    if *cpu == 0 {
        from.remove(&image);
    }
}

/// An open run on an executor, with its job and step.
pub(super) struct PlacedRun<'a> {
    pub(super) task: TaskId,
    pub(super) entry: &'a Entry,
    pub(super) step: &'a Step,
    pub(super) open: &'a OpenRun,
}

impl Shard {
    /// Returns the open runs on an executor.
    pub(super) fn runs_on<'a>(
        &'a self,
        executor: &'a Executor,
    ) -> impl Iterator<Item = PlacedRun<'a>> + 'a {
        let tasks = executor.open_tasks.iter().filter_map(|task| {
            let entry = self.jobs.get(&task.step.job)?;
            let step = entry.job.steps.get(task.step.step as usize)?;
            Some((*task, entry, step, entry.task(task)?))
        });
        tasks.flat_map(move |(task, entry, step, found)| {
            let runs_here = found
                .open_runs
                .iter()
                .filter(move |open| open.executor == executor.registration.id);
            runs_here.map(move |open| PlacedRun { task, entry, step, open })
        })
    }

    /// Handles a new or changed entry of an executor.
    pub(super) fn handle_listed(&mut self, now: Time, registration: Registration) {
        self.placement_due = true;
        let id = registration.id.clone();
        self.released.insert(id.clone());
        self.attribute_lapsed(now, &id, registration.incarnation, registration.address);
        let recorded = self.is_lease_end_recorded(&id);
        let Some(executor) = self.executors.get_mut(&id) else {
            let executor = Executor::new(now, registration);
            let executor = Executor { lease_end_recorded: recorded, ..executor };
            self.executors.insert(id.clone(), executor);
            self.unschedulable.note_change();
            self.update_evacuated(&id);
            self.probe_candidates.insert(id);
            return;
        };
        if registration.incarnation < executor.registration.incarnation {
            return;
        }
        if registration.incarnation > executor.registration.incarnation {
            self.handle_restart(now, &id, registration.incarnation, registration.clock);
        }
        let Some(executor) = self.executors.get_mut(&id) else {
            return;
        };
        executor.update_clock_from_entry(now, registration.clock);
        if !executor.present || is_other_host(&executor.registration, &registration) {
            self.unschedulable.note_change();
        }
        executor.registration = registration;
        executor.present = true;
        executor.update_times(now);
        self.update_evacuated(&id);
        self.probe_candidates.insert(id);
    }

    /// Handles the removal of an executor's entry.
    pub(super) fn handle_unlisted(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.present = false;
        self.unschedulable.note_change();
        if executor.open_tasks.is_empty() && executor.ends_acknowledged >= executor.ends_processed {
            self.executors.remove(id);
        } else if executor.probe_sent.is_none() {
            executor.probe_after = now;
            self.probe_candidates.insert(id.clone());
        }
    }

    /// Closes the runs of executors that are out of reach and whose leases have expired, and
    /// removes executors that are gone.
    ///
    /// An executor in reach reports by itself which runs have ended, and how.
    pub(super) fn close_expired(&mut self, now: Time) {
        let expired: Vec<(ExecutorId, Closing)> = self
            .executors
            .iter()
            .filter(|(_, e)| !e.open_tasks.is_empty() && e.is_out_of_reach())
            .filter_map(|(id, e)| Some((id.clone(), self.evidence_of_expiry(now, e)?)))
            .collect();
        for (id, by) in expired {
            let Some(executor) = self.executors.get_mut(&id) else {
                continue;
            };
            executor.fenced = true;
            let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
            for task in open {
                self.close_runs_on(now, &id, &task, by);
            }
        }
        self.executors
            .retain(|_, e| e.present || !e.open_tasks.is_empty() || e.probe_sent.is_some());
    }

    /// Closes the runs of `task` on executor `id` that are recorded.
    fn close_runs_on(&mut self, now: Time, id: &ExecutorId, task: &TaskId, by: Closing) {
        let Some(found) = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task)) else {
            return;
        };
        let runs: Vec<_> = found
            .open_runs
            .iter()
            .filter(|o| o.executor == *id && o.stage != super::entry::Stage::Recording)
            .map(|open| open.run)
            .collect();
        for run in runs {
            self.close(now, task, run, by);
        }
    }
}
