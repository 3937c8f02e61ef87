//! Shares of queues in executors that don't suffice for all.
//!
//! Load pattern: a flood of jobs of one queue beside calm queues of the same priority. By due time
//! alone, all queues are late together. Here the steps of a queue that uses more than an equal
//! share go behind those of queues that use less, for as long as one of these has a step that
//! found no executor. Only the order changes: what no other queue uses is lent, and it is taken
//! back as runs end.
//!
//! Nothing that callers send names a team, so the queue is what has a share. Long-running work is
//! weighed apart from other work, as it keeps its resources. The use of a queue follows from its
//! open runs, so a successor knows it from the records of the runs.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::message::{Command, Decision};
use crate::config::Queue;
use crate::id::{QueueName, ServiceName, StepId, TaskId};
use crate::spec::{Resources, Step};

/// Time constant of the decay of resources that were requested by recent placements.
const RECENT: Span = Span::from_ms(1_000);
/// Amount, in units of [`Resources`], below which a queue is not counted among those that use
/// executors.
const NEGLIGIBLE: f64 = 1e-3;

/// Amounts of processor time, memory and accelerators.
type Amounts = [f64; 3];

/// Work of a queue that is weighed together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Unit {
    queue: QueueName,
    long_running: bool,
}

/// Queues that compete for the same executors.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    service: ServiceName,
    priority: u32,
    long_running: bool,
}

/// Use of executors by the work of one queue.
#[derive(Clone, Debug, Default)]
struct Usage {
    /// Requested by open runs.
    open: Amounts,
    /// Requested by recent placements, times the part of [`RECENT`] that they take by their
    /// estimates.
    recent: Amounts,
    recent_at: Time,
    /// Competitors of the queue when its latest run was opened. They count once the configuration
    /// does not name the queue any more.
    group: Option<Group>,
    /// Standing in the competition for executors, while there is one.
    standing: Option<Standing>,
}

/// Use of a queue that competes with others for executors.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    /// Largest fraction of the service's processors, memory or accelerators in use.
    pub(super) used: f64,
    /// Fraction that each of the competing queues would have if all had the same.
    pub(super) equal: f64,
    /// Whether others go first.
    pub(super) is_over: bool,
    /// When this was determined.
    pub(super) at: Time,
}

/// Use of executors by queue.
#[derive(Debug, Default)]
pub(super) struct Shares(BTreeMap<Unit, Usage>);

impl Group {
    fn of(queue: &Queue, long_running: bool) -> Self {
        Self { service: queue.service.clone(), priority: queue.priority, long_running }
    }
}

impl Usage {
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.recent_at).as_ms_f64() / RECENT.as_ms_f64();
        let factor = (-elapsed).exp();
        self.recent.iter_mut().for_each(|amount| *amount *= factor);
        self.recent_at = now;
    }

    /// Returns the largest fraction of `capacity` in use.
    fn dominant(&self, capacity: &Amounts) -> f64 {
        let fraction = |at: usize| (self.open[at] + self.recent[at]) / capacity[at].max(1.0);
        (0..capacity.len()).map(fraction).fold(0.0, f64::max)
    }
}

impl Shares {
    /// Adds an open run of a queue that competes in `group`.
    fn open(&mut self, queue: &QueueName, step: &Step, group: Option<Group>) {
        let usage = self.usage(queue, step);
        usage.group = group;
        let amounts = amounts(&step.resources);
        usage.open.iter_mut().zip(amounts).for_each(|(open, added)| *open += added);
    }

    /// Adds an open run that was placed at `now` to the recent placements.
    pub(super) fn place(&mut self, now: Time, queue: &QueueName, step: &Step) {
        let usage = self.usage(queue, step);
        usage.decay(now);
        let part = (step.estimate_ms as f64 / RECENT.as_ms_f64()).min(1.0);
        let amounts = amounts(&step.resources);
        usage.recent.iter_mut().zip(amounts).for_each(|(recent, added)| *recent += added * part);
    }

    /// Removes an open run of a queue.
    pub(super) fn close(&mut self, queue: &QueueName, step: &Step) {
        let amounts = amounts(&step.resources);
        let open = &mut self.usage(queue, step).open;
        open.iter_mut().zip(amounts).for_each(|(open, less)| *open = (*open - less).max(0.0));
    }

    fn usage(&mut self, queue: &QueueName, step: &Step) -> &mut Usage {
        self.0.entry(Unit { queue: queue.clone(), long_running: step.long_running }).or_default()
    }

    /// Returns the standing of a queue that competes with others for executors.
    pub(super) fn standing(&self, queue: &QueueName, long_running: bool) -> Option<Standing> {
        self.0.get(&Unit { queue: queue.clone(), long_running })?.standing
    }
}

impl Shard {
    /// Counts a placement at `now` that is not taken back any more.
    pub(super) fn count_placement(&mut self, now: Time, task: &TaskId, step: &Step) {
        if let Some(entry) = self.jobs.get(&task.step.job) {
            self.shares.place(now, &entry.queue, step);
            if let Some(queue) = entry.queue_in(&self.config) {
                self.outlooks.note_start(&queue.service, step);
            }
        }
    }

    /// Counts an open run.
    pub(super) fn count_open(&mut self, task: &TaskId, step: &Step) {
        if let Some(entry) = self.jobs.get(&task.step.job) {
            let group =
                entry.queue_in(&self.config).map(|queue| Group::of(queue, step.long_running));
            self.shares.open(&entry.queue, step, group);
        }
    }

    /// Logs once for a step that it is held back.
    pub(super) fn log_held_back(&mut self, now: Time, id: StepId) {
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let (queue, long_running) = (entry.queue.clone(), entry.long_running);
        let Some(step) = entry.step_mut(id.occurrence, id.step) else {
            return;
        };
        if std::mem::replace(&mut step.held_back_logged, true) {
            return;
        }
        if let Some(standing) = self.shares.standing(&queue, long_running) {
            let percent = |fraction: f64| (fraction * 100.0) as u64;
            self.out.push(Command::Log(Decision::HeldBack {
                step: id,
                queue,
                used_percent: percent(standing.used),
                equal_percent: percent(standing.equal),
                age: now.since(standing.at),
            }));
        }
    }

    /// Determines which queues have used more than their shares while others lack room.
    pub(super) fn review_shares(&mut self, now: Time) {
        let blocked = self.blocked_queues();
        self.shares.0.retain(|_, usage| {
            usage.decay(now);
            usage.standing = None;
            usage.open.iter().chain(&usage.recent).any(|amount| *amount > NEGLIGIBLE)
        });
        for (group, waiting) in blocked {
            self.compare_use(now, &group, &waiting);
        }
    }

    /// Returns the queues with steps that found no executor, with those they compete with.
    fn blocked_queues(&self) -> BTreeMap<Group, BTreeSet<QueueName>> {
        let mut blocked: BTreeMap<Group, BTreeSet<QueueName>> = BTreeMap::new();
        for (_, id) in &self.waiting {
            if let Some((group, queue)) = self.blocked_queue(*id) {
                blocked.entry(group).or_default().insert(queue);
            }
        }
        blocked
    }

    fn blocked_queue(&self, id: StepId) -> Option<(Group, QueueName)> {
        let entry = self.jobs.get(&id.job)?;
        entry.step(id).filter(|step| step.blocked)?;
        let long_running = entry.job.steps.get(id.step as usize)?.long_running;
        Some((Group::of(self.queue_of(entry)?, long_running), entry.queue.clone()))
    }

    /// Returns the competitors of a queue with runs.
    fn group_of(&self, unit: &Unit, usage: &Usage) -> Option<Group> {
        let queue = self.config.queues.get(&unit.queue);
        queue.map(|queue| Group::of(queue, unit.long_running)).or_else(|| usage.group.clone())
    }

    /// Compares the use of the queues of one group; those in `waiting` lack room.
    fn compare_use(&mut self, now: Time, group: &Group, waiting: &BTreeSet<QueueName>) {
        let capacity = self.service_capacity(&group.service);
        let mut used: BTreeMap<QueueName, f64> =
            waiting.iter().map(|queue| (queue.clone(), 0.0)).collect();
        for (unit, usage) in &self.shares.0 {
            if self.group_of(unit, usage).as_ref() == Some(group) {
                used.insert(unit.queue.clone(), usage.dominant(&capacity));
            }
        }
        let equal = used.values().sum::<f64>() / used.len().max(1) as f64;
        let is_short =
            waiting.iter().any(|queue| used.get(queue).is_some_and(|used| *used < equal));
        for (queue, used) in used {
            let is_over = is_short && used > equal * self.settings.over_share_factor;
            let unit = Unit { queue, long_running: group.long_running };
            if let Some(usage) = self.shares.0.get_mut(&unit) {
                usage.standing = Some(Standing { used, equal, is_over, at: now });
            }
        }
    }

    fn service_capacity(&self, service: &ServiceName) -> Amounts {
        let of_service = self
            .executors
            .values()
            .filter(|executor| executor.present && executor.registration.service == *service);
        let total = of_service
            .map(|executor| executor.registration.capacity)
            .fold(Resources::default(), |sum, capacity| sum.plus(&capacity));
        amounts(&total)
    }
}

fn amounts(resources: &Resources) -> Amounts {
    [resources.cpu as f64, resources.memory as f64, resources.accelerators as f64]
}
