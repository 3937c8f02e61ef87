//! Placement of waiting tasks on executors.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{OpenRun, Stage, Stop};
use super::executors::Executor;
use super::message::{Command, Decision, Order};
use super::rank::Rank;
use super::rejections::Rejections;
use crate::id::{ExecutorId, Run, ServiceName, StepId, TaskId};
use crate::spec::Step;

/// Maximum number of steps without a suitable executor that one turn tries.
const MAX_BLOCKED_PER_TURN: usize = 200;
/// Minimum fraction of its requested processor time that a best-effort task must be able to get
/// to be placed.
const MIN_CPU_SHARE: f64 = 0.3;
/// Score deducted for an executor that is on probation after failures.
const PROBATION_PENALTY: f64 = 0.5;
/// Score deducted for the executor on which the task last failed or from which it was last
/// moved.
const AVOIDED_EXECUTOR_PENALTY: f64 = 2.0;
/// Difference in the score of a latency-critical task between an executor where all
/// latency-critical tasks have its image and one where none has.
const SAME_IMAGE_BONUS: f64 = 3.0;
/// Score of a latency-critical task next to another task of the same step.
const SAME_STEP_BONUS: f64 = 1.0;
/// Score deducted for an executor that is still slow after its start.
const WARM_UP_PENALTY: f64 = 0.5;

/// Pause after a turn in which steps found no executor. Scoring all executors for each of these
/// steps costs more than the resources that are released meanwhile are worth.
const BLOCKED_PAUSE: Span = Span::from_ms(20);

/// A step with the inputs of its placement.
pub(super) struct Request<'a> {
    pub(super) id: StepId,
    pub(super) step: &'a Step,
    pub(super) service: &'a ServiceName,
    /// Rack on which tasks of the step already run, if the step prefers one rack.
    pub(super) rack: Option<crate::id::Label>,
    /// Whether a start needs a ticket of the advice service.
    pub(super) needs_ticket: bool,
    /// Column of the step's image in the interference model, for best-effort tasks.
    pub(super) column: Option<usize>,
}

impl Shard {
    /// Places waiting tasks in the order of their rank.
    pub(super) fn place_waiting(&mut self, now: Time) {
        if !self.placement_due || now < self.place_after {
            return;
        }
        self.placement_due = false;
        let mut budget = self.settings.max_placed_per_turn;
        let mut blocked = 0;
        let mut rejections = Rejections::default();
        let ranked: Vec<(Rank, StepId)> = self.waiting.iter().copied().collect();
        for (rank, id) in ranked {
            if self.update_rank(rank, id) {
                continue;
            }
            match self.place_step(now, id, &mut budget, &mut rejections) {
                true => {
                    self.waiting.remove(&(rank, id));
                }
                false => blocked += 1,
            }
            if blocked > 0 {
                self.place_after = now + BLOCKED_PAUSE;
            }
            if budget == 0 {
                self.placement_due = true;
                return;
            }
            if blocked >= MAX_BLOCKED_PER_TURN {
                return;
            }
        }
    }

    /// Moves a step to its current rank, which drops when the job becomes late or expires.
    /// Returns whether the rank has changed.
    fn update_rank(&mut self, rank: Rank, id: StepId) -> bool {
        if rank.is_expired() {
            return false;
        }
        let Some(entry) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(occurrence) = entry.occurrences.get(&id.occurrence) else {
            return false;
        };
        let queue = self.config.queues.get(&entry.queue);
        let updated = Rank::of(entry, queue, id.step, occurrence.begin_ms, self.wall_ms);
        if updated == rank {
            return false;
        }
        self.waiting.remove(&(rank, id));
        self.waiting.insert((updated, id));
        if let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        {
            step.rank = Some(updated);
        }
        true
    }

    /// Places the waiting tasks of a step; returns whether none is left.
    fn place_step(
        &mut self,
        now: Time,
        id: StepId,
        budget: &mut usize,
        rejections: &mut Rejections,
    ) -> bool {
        let Some(entry) = self.jobs.get(&id.job) else {
            return true;
        };
        let Some(queue) = self.config.queues.get(&entry.queue) else {
            return false;
        };
        let service = queue.service.clone();
        let needs_ticket = queue.advice.is_some();
        let job = Arc::clone(&entry.job);
        let (Some(spec), Some(step)) = (job.steps.get(id.step as usize), entry.step(id)) else {
            return true;
        };
        if !needs_ticket && rejections.covers(&service, spec) {
            return false;
        }
        let waiting: Vec<u32> = step.waiting.iter().copied().collect();
        if spec.gang {
            return self.place_gang(now, id, spec, &service, &waiting, budget);
        }
        let mut left = waiting.len();
        for index in waiting {
            if *budget == 0 {
                return false;
            }
            let task = id.task(index);
            if self.not_before(&task) > now {
                continue;
            }
            let request = self.request(now, id, spec, &service);
            let Some(executor) = self.best_executor(now, &request, &task) else {
                if needs_ticket {
                    self.request_advice(now, &request);
                } else {
                    rejections.record(&service, spec);
                }
                return false;
            };
            let run = self.next_run(&task);
            self.open_run(now, &task, run, executor, spec);
            *budget -= 1;
            left -= 1;
        }
        left == 0
    }

    /// Places all tasks of a gang or none; returns whether they were placed.
    fn place_gang(
        &mut self,
        now: Time,
        id: StepId,
        spec: &Step,
        service: &ServiceName,
        waiting: &[u32],
        budget: &mut usize,
    ) -> bool {
        let whole = waiting.len() == spec.count as usize;
        if !whole || waiting.iter().any(|index| self.not_before(&id.task(*index)) > now) {
            return false;
        }
        let run = waiting.iter().map(|index| self.next_run(&id.task(*index))).max();
        let run = run.unwrap_or(Run(1));
        self.share_checkpoint(id);
        let mut placed = Vec::new();
        for index in waiting {
            let task = id.task(*index);
            let request = self.request(now, id, spec, service);
            let Some(executor) = self.best_executor(now, &request, &task) else {
                for task in placed {
                    self.revert_placement(&task, run);
                }
                if request.needs_ticket {
                    self.request_advice(now, &request);
                }
                return false;
            };
            self.open_run(now, &task, run, executor, spec);
            placed.push(task);
        }
        *budget = budget.saturating_sub(placed.len());
        true
    }

    /// Gives all members of a gang the most advanced checkpoint among them.
    fn share_checkpoint(&mut self, id: StepId) {
        let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        else {
            return;
        };
        let checkpoint =
            step.tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        for task in &mut step.tasks {
            task.checkpoint.clone_from(&checkpoint);
        }
    }

    /// Reverts a placement of which no record was requested.
    fn revert_placement(&mut self, task: &TaskId, run: Run) {
        self.placed.retain(|placed| *placed != (*task, run));
        let found = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|entry| entry.step_mut(task.step.occurrence, task.step.step));
        if let Some(step) = found {
            step.waiting.insert(task.index);
        }
        self.remove_run(task, run);
    }

    fn not_before(&self, task: &TaskId) -> Time {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        found.map_or(Time::ZERO, |task| task.not_before)
    }

    fn next_run(&self, task: &TaskId) -> Run {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        Run(found.map_or(0, |task| task.run) + 1)
    }

    /// Returns the inputs of the placement of a step.
    pub(super) fn request<'a>(
        &mut self,
        now: Time,
        id: StepId,
        step: &'a Step,
        service: &'a ServiceName,
    ) -> Request<'a> {
        if step.best_effort {
            self.refresh_forecasts(now);
        }
        let column = self.estimator.model.column(&super::throttle::image(step));
        let entry = self.jobs.get(&id.job);
        let queue = entry.and_then(|entry| self.config.queues.get(&entry.queue));
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        Request { id, step, service, rack: self.rack_of(id, step), needs_ticket, column }
    }

    /// Returns the rack on which tasks of the step run, if the step prefers one rack.
    fn rack_of(&self, id: StepId, spec: &Step) -> Option<crate::id::Label> {
        if !spec.same_rack {
            return None;
        }
        let step = self.jobs.get(&id.job)?.step(id)?;
        let open = step.tasks.iter().flat_map(|task| &task.open_runs).next()?;
        self.executors.get(&open.executor)?.registration.rack().cloned()
    }

    /// Opens a run on an executor; it is started once it is recorded.
    fn open_run(&mut self, now: Time, task: &TaskId, run: Run, id: ExecutorId, spec: &Step) {
        let Some(executor) = self.executors.get_mut(&id) else {
            return;
        };
        let Some(step) = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|entry| entry.step_mut(task.step.occurrence, task.step.step))
        else {
            return;
        };
        executor.reserve(*task, spec);
        step.waiting.remove(&task.index);
        let waited_ms = now.since(step.ready_since).as_ms();
        let found = &mut step.tasks[task.index as usize];
        found.run = run.0;
        found.open_runs.push(OpenRun {
            run,
            executor: id.clone(),
            incarnation: executor.registration.incarnation,
            stage: Stage::Recording,
            stop: Stop::NotRequested,
            limit_percent: 100,
            throttled_since: None,
            first_sent: now,
            last_sent: now,
            progress: (0, now),
        });
        self.placed.push((*task, run));
        self.dirty.insert(task.step.job);
        let order = Order { executor: id, task: *task, run };
        self.out.push(Command::Log(Decision::Placed { order, waited_ms }));
    }

    /// Returns the executor with the highest score for a task, if any may run it.
    fn best_executor(&self, now: Time, request: &Request<'_>, task: &TaskId) -> Option<ExecutorId> {
        let avoid = self.jobs.get(&task.step.job)?.task(task)?.avoided_executor.as_ref();
        let mut best: Option<(f64, &ExecutorId)> = None;
        for (id, executor) in &self.executors {
            let Some(mut score) = self.score(now, request, executor) else {
                continue;
            };
            if avoid == Some(id) {
                score -= AVOIDED_EXECUTOR_PENALTY;
            }
            if best.is_none_or(|(most, _)| score > most) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns the score of an executor for a task of the step, or `None` if the task may not
    /// run there.
    pub(super) fn score(
        &self,
        now: Time,
        request: &Request<'_>,
        executor: &Executor,
    ) -> Option<f64> {
        if request.needs_ticket && self.ticket(now, request.id, executor).is_none() {
            return None;
        }
        self.score_without_ticket(now, request, executor)
    }

    /// Returns the score of an executor, whether or not a ticket is needed and available.
    pub(super) fn score_without_ticket(
        &self,
        now: Time,
        request: &Request<'_>,
        executor: &Executor,
    ) -> Option<f64> {
        let step = request.step;
        let registration = &executor.registration;
        if !executor.takes_work() || registration.service != *request.service {
            return None;
        }
        if executor.health.is_quarantined(now) {
            return None;
        }
        if step.label.as_ref().is_some_and(|label| !registration.labels.contains(label)) {
            return None;
        }
        if !registration.capacity.saturating_sub(&executor.used).covers(&step.reserved()) {
            return None;
        }
        if step
            .max_per_executor
            .is_some_and(|most| step_tasks_on(request.id, executor) >= most as usize)
        {
            return None;
        }
        let mut score = if step.best_effort {
            self.best_effort_score(request, executor)?
        } else {
            packing_score(request, executor)
        };
        score -= self.locality_penalty(request, executor);
        score -= if executor.health.is_on_probation() { PROBATION_PENALTY } else { 0.0 };
        score -= if registration.warm_up.as_ms() > 0 { WARM_UP_PENALTY } else { 0.0 };
        Some(score)
    }

    /// Returns the score deducted if the executor is on another rack than the step's data or
    /// its running tasks.
    fn locality_penalty(&self, request: &Request<'_>, executor: &Executor) -> f64 {
        let rack = executor.registration.rack();
        let away = |wanted: Option<&crate::id::Label>| wanted.is_some() && wanted != rack;
        let remote = away(request.step.data_rack.as_ref()) || away(request.rack.as_ref());
        if remote { self.settings.remote_penalty - 1.0 } else { 0.0 }
    }

    /// Returns the fraction of its requested processor time that a best-effort task would get,
    /// less the cost of its interference with latency-critical tasks.
    fn best_effort_score(&self, request: &Request<'_>, executor: &Executor) -> Option<f64> {
        let step = request.step;
        let latency_critical = executor.latency_critical_total();
        let expected_use = latency_critical as f64 * self.settings.latency_critical_use;
        let others = executor.used.cpu.saturating_sub(latency_critical) as f64;
        let left = (executor.registration.capacity.cpu as f64 - others - expected_use).max(0.0);
        let best_effort: u64 = executor.best_effort_cpu.values().sum();
        let share = left / (best_effort + step.resources.cpu).max(1) as f64;
        if share < MIN_CPU_SHARE {
            return None;
        }
        Some(share.min(1.0) - self.interference_cost(step, request.column, executor)?)
    }
}

/// Returns a score that is higher the less processor time remains unused, so that large gaps
/// are kept for large tasks.
fn packing_score(request: &Request<'_>, executor: &Executor) -> f64 {
    let step = request.step;
    let capacity = executor.registration.capacity;
    let left = capacity.saturating_sub(&executor.used).saturating_sub(&step.reserved());
    let packing = 1.0 - left.cpu as f64 / capacity.cpu.max(1) as f64;
    let total = executor.latency_critical_total();
    if step.objective_ms.is_none() || total == 0 {
        return packing;
    }
    // Latency-critical tasks of one image are sensitive to the same best-effort images.
    let same_image =
        executor.latency_critical_cpu.get(&super::throttle::image(step)).copied().unwrap_or(0);
    // Tasks of one job have their load peaks at the same time. Kept together, they leave other
    // executors with spare capacity at that time.
    let same_step = step_tasks_on(request.id, executor).min(1) as f64;
    packing
        + SAME_IMAGE_BONUS * (same_image as f64 / total as f64 - 0.5)
        + SAME_STEP_BONUS * same_step
}

/// Returns the number of tasks of the step with open runs on an executor.
fn step_tasks_on(id: StepId, executor: &Executor) -> usize {
    executor.open_tasks.range(id.task(0)..=id.task(u32::MAX)).count()
}
