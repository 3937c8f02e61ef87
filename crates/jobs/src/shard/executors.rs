//! Executors as the shard believes them to be.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};

use super::entry::{Entry, OpenRun, Stop};
use super::message::Note;
use super::{Command, Shard};
use crate::executor::{Born, Listed, Standing, Steady};
use crate::id::{ExecutorId, Image, JobId, TaskId};
use crate::spec::{Room, Step};

/// Slowest rate of an executor's clock against ours.
pub(super) const SLOWEST_CLOCK: f64 = 0.98;

/// Time after a takeover in which entries that an outage took from the list are back:
/// two seconds by the platform's page, and one for the list to be read.
const UNLISTED_GRACE: Span = Span::from_ms(3_000);

/// An executor.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) listed: Listed,
    /// Whether its entry is in the list.
    pub(super) present: bool,
    /// When its entry was last found to be there or to be gone.
    pub(super) presence_changed: Time,
    /// When it may leave, where it drains.
    pub(super) leaves_at: Option<Time>,
    /// A lower bound of its clock and when that held.
    clock: (Steady, Time),
    /// Latest deadline that it may have been given.
    pub(super) deadline: Steady,
    /// Whether no order of a predecessor can take effect there any more.
    pub(super) fenced: bool,
    /// Whether its present life has answered a look, where it had another before.
    pub(super) confirmed: bool,
    /// When orders and leases of predecessors are over, whatever happens.
    pub(super) inherited_until: Time,
    /// Open runs there.
    pub(super) open_tasks: BTreeSet<TaskId>,
    /// Room that open runs take.
    pub(super) used: Room,
    /// Processor time that filling runs there ask for, by image.
    pub(super) best_effort_cpu: BTreeMap<Image, u64>,
    /// Processor time that serving runs there ask for, by image.
    pub(super) latency_critical_cpu: BTreeMap<Image, u64>,
    /// Highest number of an end that was taken in.
    pub(super) ends_processed: u64,
    /// Highest number of an end whose record lasts.
    pub(super) ends_recorded: u64,
    /// Highest number of an end that the executor was told is recorded.
    pub(super) ends_acknowledged: u64,
    /// Number of the latest look.
    pub(super) latest_probe: u64,
    /// When the look in flight was sent.
    pub(super) probe_sent: Option<Time>,
    /// Not looked at before.
    pub(super) probe_after: Time,
    /// Whether a look is to tell at once that a stopped run is not there.
    pub(super) verify: bool,
    /// Since when it does not answer.
    pub(super) unreachable_since: Option<Time>,
    pub(super) health: super::health::Health,
    /// When filling runs there were last paced.
    pub(super) throttled_at: Option<Time>,
    /// Latest tails of the serving jobs there.
    pub(super) tails: BTreeMap<JobId, super::throttle::Tail>,
    /// How busy the serving tasks there are, where that has been worked out.
    pub(super) forecasts: Option<super::throttle::Forecasts>,
}

impl Executor {
    pub(super) fn new(now: Time, listed: Listed) -> Self {
        let clock = (listed.clock, now);
        let mut executor = Self {
            listed,
            present: true,
            presence_changed: now,
            leaves_at: None,
            clock,
            deadline: Steady(0),
            fenced: true,
            confirmed: true,
            inherited_until: Time::ZERO,
            open_tasks: BTreeSet::new(),
            used: Room::default(),
            best_effort_cpu: BTreeMap::new(),
            latency_critical_cpu: BTreeMap::new(),
            ends_processed: 0,
            ends_recorded: 0,
            ends_acknowledged: 0,
            latest_probe: 0,
            probe_sent: None,
            probe_after: Time::ZERO,
            verify: false,
            unreachable_since: None,
            health: super::health::Health::default(),
            throttled_at: None,
            tails: BTreeMap::new(),
            forecasts: None,
        };
        executor.update_departure(now);
        executor
    }

    /// Returns a lower bound of the executor's clock at `now`.
    pub(super) fn clock(&self, now: Time) -> Steady {
        let passed = now.since(self.clock.1).scale(SLOWEST_CLOCK).as_ms();
        Steady(self.clock.0.0 + passed)
    }

    /// Takes its clock as heard at `now`.
    pub(super) fn update_clock(&mut self, now: Time, clock: Steady) {
        if clock > self.clock(now) {
            self.clock = (clock, now);
        }
    }

    /// Returns the deadline `lease` from `now`, and notes that it may be given.
    pub(super) fn extend_lease(&mut self, now: Time, lease: Span) -> Steady {
        let deadline = Steady(self.clock(now).0 + lease.as_ms());
        self.deadline = self.deadline.max(deadline);
        deadline
    }

    /// Reports whether all leases there have lapsed by its own clock.
    pub(super) fn has_lapsed(&self, now: Time) -> bool {
        if !self.fenced {
            // Not listed all the while, and no answer: gone, as the platform has it.
            let gone = !self.present && now.since(self.presence_changed) >= UNLISTED_GRACE;
            return gone || now >= self.inherited_until;
        }
        self.clock(now) > self.deadline
    }

    /// Begins a new life: nothing runs there and its counts start anew.
    pub(super) fn begin_incarnation(&mut self, now: Time, born: Born, clock: Steady) {
        self.listed.born = born;
        self.clock = (clock, now);
        self.confirmed = false;
        self.ends_processed = 0;
        self.ends_recorded = 0;
        self.ends_acknowledged = 0;
        self.probe_sent = None;
        self.probe_after = now;
        self.unreachable_since = None;
        self.presence_changed = now;
        self.tails.clear();
    }

    /// Takes room for a run of a step.
    pub(super) fn reserve(&mut self, task: TaskId, step: &Step) {
        self.used = self.used.plus(&step.taken());
        self.forecasts = None;
        let cpu = step.room.cpu;
        if step.filling {
            *self.best_effort_cpu.entry(super::throttle::image(step)).or_default() += cpu;
        }
        if step.objective_ms.is_some() {
            *self.latency_critical_cpu.entry(super::throttle::image(step)).or_default() += cpu;
        }
        self.open_tasks.insert(task);
    }

    /// Gives back the room of a run of a step.
    pub(super) fn release(&mut self, step: &Step) {
        self.used = self.used.less(&step.taken());
        self.forecasts = None;
        if step.filling {
            release_cpu(&mut self.best_effort_cpu, step);
        }
        if step.objective_ms.is_some() {
            release_cpu(&mut self.latency_critical_cpu, step);
        }
    }

    /// Returns the processor time that serving runs there ask for.
    pub(super) fn latency_critical_total(&self) -> u64 {
        self.latency_critical_cpu.values().sum()
    }

    fn update_departure(&mut self, now: Time) {
        self.leaves_at = match (self.listed.standing, self.listed.remaining) {
            (Standing::Draining, Some(remaining)) => Some(now + remaining),
            (Standing::Draining, None) => Some(now),
            (Standing::Ready, _) => None,
        };
    }

    /// Reports whether new work may go there.
    pub(super) fn takes_work(&self) -> bool {
        self.present
            && self.listed.standing == Standing::Ready
            && self.unreachable_since.is_none()
            && self.confirmed
            && (self.fenced || self.open_tasks.is_empty())
    }
}

fn release_cpu(from: &mut BTreeMap<Image, u64>, step: &Step) {
    let image = super::throttle::image(step);
    let Some(cpu) = from.get_mut(&image) else {
        return;
    };
    *cpu = cpu.saturating_sub(step.room.cpu);
    if *cpu == 0 {
        from.remove(&image);
    }
}

/// A run that is open at an executor.
pub(super) struct PlacedRun<'a> {
    pub(super) task: TaskId,
    pub(super) entry: &'a Entry,
    pub(super) step: &'a Step,
    pub(super) open: &'a OpenRun,
}

impl Shard {
    /// Returns the runs that are open at an executor.
    pub(super) fn runs_at<'a>(
        &'a self,
        executor: &'a Executor,
    ) -> impl Iterator<Item = PlacedRun<'a>> + 'a {
        let tasks = executor.open_tasks.iter().filter_map(|task| {
            let entry = self.jobs.get(&task.step.job)?;
            let step = entry.job.steps.get(task.step.step as usize)?;
            Some((*task, entry, step, entry.task(task)?))
        });
        tasks.flat_map(move |(task, entry, step, found)| {
            let runs_here =
                found.open_runs.iter().filter(move |open| open.executor == executor.listed.id);
            runs_here.map(move |open| PlacedRun { task, entry, step, open })
        })
    }

    /// Takes the entry of an executor.
    pub(super) fn handle_listed(&mut self, now: Time, listed: Listed) {
        self.placement_due = true;
        let id = listed.id.clone();
        let Some(executor) = self.executors.get_mut(&id) else {
            self.executors.insert(id, Executor::new(now, listed));
            return;
        };
        if listed.born < executor.listed.born {
            return;
        }
        if listed.born > executor.listed.born {
            self.handle_restart(now, &id, listed.born, listed.clock);
        }
        let Some(executor) = self.executors.get_mut(&id) else {
            return;
        };
        executor.update_clock(now, listed.clock);
        executor.listed = listed;
        executor.present = true;
        executor.update_departure(now);
    }

    /// Takes that an executor's entry is gone.
    pub(super) fn handle_unlisted(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.present = false;
        executor.presence_changed = now;
        if executor.open_tasks.is_empty() && executor.ends_acknowledged >= executor.ends_processed {
            self.executors.remove(id);
        } else if executor.probe_sent.is_none() {
            executor.probe_after = now;
            self.probe_candidates.insert(id.clone());
        }
    }

    /// Takes that an executor has begun a new life: what ran there is over.
    ///
    /// An order that was not answered may still reach the new life, so its run stays
    /// open until a stop is answered there.
    pub(super) fn handle_restart(&mut self, now: Time, id: &ExecutorId, born: Born, clock: Steady) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let old = executor.listed.born;
        let was_fenced = executor.fenced;
        executor.begin_incarnation(now, born, clock);
        self.out.push(Command::Log(Note::Reborn(id.clone(), born)));
        let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
        let mut pending = false;
        for task in open {
            pending |= self.close_superseded_runs(now, id, &task, old, was_fenced);
        }
        if !pending && let Some(executor) = self.executors.get_mut(id) {
            executor.deadline = Steady(0);
        }
        self.probe_candidates.insert(id.clone());
        self.placement_due = true;
    }

    /// Returns whether an order of the task may still be carried out by the new life.
    fn close_superseded_runs(
        &mut self,
        now: Time,
        id: &ExecutorId,
        task: &TaskId,
        old: Born,
        fenced: bool,
    ) -> bool {
        let Some(found) = self.jobs.get_mut(&task.step.job).and_then(|e| e.task_mut(task)) else {
            return false;
        };
        let mut pending = false;
        let mut over = Vec::new();
        for open in &mut found.open_runs {
            if open.executor != *id || open.born != old {
                continue;
            }
            let may_arrive = matches!(
                open.stage,
                super::entry::Stage::Sent
                    | super::entry::Stage::Unknown
                    | super::entry::Stage::Inherited
            );
            if may_arrive || !fenced {
                open.stop = Stop::Requested;
                pending = true;
            } else if open.stage != super::entry::Stage::Recording {
                over.push(open.run);
            }
        }
        for run in over {
            self.close(now, task, run, super::message::Closing::Gone);
        }
        pending
    }

    /// Takes that another executor answers at an executor's address: what was ordered
    /// there is over, and orders that come late are refused by the other.
    pub(super) fn handle_replacement(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.present = false;
        let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
        for task in open {
            self.close_runs_at(now, id, &task, super::message::Closing::Gone);
        }
    }

    /// Closes the runs on executors whose leases have lapsed, and forgets executors
    /// that are gone.
    pub(super) fn close_lapsed(&mut self, now: Time) {
        let lapsed: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(_, e)| !e.open_tasks.is_empty() && e.has_lapsed(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            let Some(executor) = self.executors.get_mut(&id) else {
                continue;
            };
            executor.fenced = true;
            let open: Vec<TaskId> = executor.open_tasks.iter().copied().collect();
            for task in open {
                self.close_runs_at(now, &id, &task, super::message::Closing::Lapsed);
            }
        }
        self.executors
            .retain(|_, e| e.present || !e.open_tasks.is_empty() || e.probe_sent.is_some());
    }

    /// Closes the runs of `task` at executor `id`, but for those that are not yet sent.
    fn close_runs_at(
        &mut self,
        now: Time,
        id: &ExecutorId,
        task: &TaskId,
        by: super::message::Closing,
    ) {
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
