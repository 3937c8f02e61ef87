//! Where waiting tasks run.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{OpenRun, Stage, Stop};
use super::executors::Executor;
use super::message::{Command, Note, Order};
use super::rank::Rank;
use super::rejections::Rejections;
use crate::id::{ExecutorId, Run, ServiceName, StepId, TaskId};
use crate::spec::Step;

/// Most steps without room that one turn tries.
const MAX_BLOCKED_PER_TURN: usize = 200;
/// Least share of its processor time at which a filling task is worth starting.
const MIN_CPU_SHARE: f64 = 0.3;
/// What a doubted executor must be better by.
const PROBATION_PENALTY: f64 = 0.5;
/// What an executor on which the task failed must be better by.
const FAILED_THERE_PENALTY: f64 = 2.0;
/// What serving tasks of the same image beside it are worth to a serving task.
const SAME_IMAGE_BONUS: f64 = 3.0;
/// What tasks of the same step beside it are worth to a serving task.
const SAME_JOB_BONUS: f64 = 1.0;
/// What an executor that is still slow after its start must be better by.
const COLD_PENALTY: f64 = 0.5;

/// Pause after a turn in which steps found no room: looking through all executors for
/// each of them costs more than what ends meanwhile is worth.
const BLOCKED_PAUSE: Span = Span::from_ms(20);

/// A step and what its placement needs to know.
pub(super) struct Request<'a> {
    pub(super) id: StepId,
    pub(super) step: &'a Step,
    pub(super) service: &'a ServiceName,
    /// Rack of tasks of the step that run already, where one rack is preferred.
    pub(super) rack: Option<crate::id::Label>,
    /// Whether a task needs a ticket of the advice service.
    pub(super) needs_ticket: bool,
    /// Place of the step's image in what is learned, for filling tasks.
    pub(super) column: Option<usize>,
}

impl Shard {
    /// Places waiting tasks, the most urgent first.
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

    /// Puts a step behind others when its job is late or can no longer earn.
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

    /// Places waiting tasks of a step; returns whether none is left.
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

    /// Gives all members of a gang the checkpoint that is furthest on.
    fn share_checkpoint(&mut self, id: StepId) {
        let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        else {
            return;
        };
        let saved = step.tasks.iter().map(|task| task.saved.clone()).max().unwrap_or_default();
        for task in &mut step.tasks {
            task.saved.clone_from(&saved);
        }
    }

    /// Takes back a placement that was not asked to be recorded.
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

    /// Returns what the placement of a step needs to know.
    pub(super) fn request<'a>(
        &mut self,
        now: Time,
        id: StepId,
        step: &'a Step,
        service: &'a ServiceName,
    ) -> Request<'a> {
        if step.filling {
            self.refresh_forecasts(now);
        }
        let column = self.estimator.model.column(&super::throttle::image(step));
        let entry = self.jobs.get(&id.job);
        let queue = entry.and_then(|entry| self.config.queues.get(&entry.queue));
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        Request { id, step, service, rack: self.rack_of(id, step), needs_ticket, column }
    }

    /// Returns the rack on which tasks of the step run, where one rack is preferred.
    fn rack_of(&self, id: StepId, spec: &Step) -> Option<crate::id::Label> {
        if !spec.one_rack {
            return None;
        }
        let step = self.jobs.get(&id.job)?.step(id)?;
        let open = step.tasks.iter().flat_map(|task| &task.open_runs).next()?;
        self.executors.get(&open.executor)?.listed.rack().cloned()
    }

    /// Opens a run, which is ordered once it is recorded.
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
            born: executor.listed.born,
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
        self.out.push(Command::Log(Note::Placed { order, waited_ms }));
    }

    /// Returns the best executor for a task.
    fn best_executor(&self, now: Time, request: &Request<'_>, task: &TaskId) -> Option<ExecutorId> {
        let avoid = self.jobs.get(&task.step.job)?.task(task)?.avoided_executor.as_ref();
        let mut best: Option<(f64, &ExecutorId)> = None;
        for (id, executor) in &self.executors {
            let Some(mut score) = self.score(now, request, executor) else {
                continue;
            };
            if avoid == Some(id) {
                score -= FAILED_THERE_PENALTY;
            }
            if best.is_none_or(|(most, _)| score > most) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns how well a task of the step would do at an executor, if it may run there.
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

    /// Returns the same without regard to tickets.
    pub(super) fn score_without_ticket(
        &self,
        now: Time,
        request: &Request<'_>,
        executor: &Executor,
    ) -> Option<f64> {
        let step = request.step;
        let listed = &executor.listed;
        if !executor.takes_work() || listed.service != *request.service {
            return None;
        }
        if executor.health.is_quarantined(now) {
            return None;
        }
        if step.label.as_ref().is_some_and(|label| !listed.labels.contains(label)) {
            return None;
        }
        if !listed.capacity.less(&executor.used).fits(&step.taken()) {
            return None;
        }
        if step.spread.is_some_and(|most| step_tasks_at(request.id, executor) >= most as usize) {
            return None;
        }
        let mut score = if step.filling {
            self.best_effort_score(request, executor)?
        } else {
            packing_score(request, executor)
        };
        score -= self.locality_penalty(request, executor);
        score -= if executor.health.is_on_probation() { PROBATION_PENALTY } else { 0.0 };
        score -= if listed.cold.as_ms() > 0 { COLD_PENALTY } else { 0.0 };
        Some(score)
    }

    /// Returns what running away from its data or its peers costs a task.
    fn locality_penalty(&self, request: &Request<'_>, executor: &Executor) -> f64 {
        let rack = executor.listed.rack();
        let away = |wanted: Option<&crate::id::Label>| wanted.is_some() && wanted != rack;
        let remote = away(request.step.data_rack.as_ref()) || away(request.rack.as_ref());
        if remote { self.settings.remote_penalty - 1.0 } else { 0.0 }
    }

    /// Returns the share of its processor time that a filling task would get, less the
    /// harm it would do.
    fn best_effort_score(&self, request: &Request<'_>, executor: &Executor) -> Option<f64> {
        let step = request.step;
        let latency_critical = executor.latency_critical_total();
        let expected_use = latency_critical as f64 * self.settings.latency_critical_use;
        let others = executor.used.cpu.saturating_sub(latency_critical) as f64;
        let left = (executor.listed.capacity.cpu as f64 - others - expected_use).max(0.0);
        let best_effort: u64 = executor.best_effort_cpu.values().sum();
        let share = left / (best_effort + step.room.cpu).max(1) as f64;
        if share < MIN_CPU_SHARE {
            return None;
        }
        Some(share.min(1.0) - self.interference_cost(step, request.column, executor)?)
    }
}

/// Returns how closely a task fits, so that large gaps are kept for large tasks.
fn packing_score(request: &Request<'_>, executor: &Executor) -> f64 {
    let step = request.step;
    let capacity = executor.listed.capacity;
    let left = capacity.less(&executor.used).less(&step.taken());
    let packing = 1.0 - left.cpu as f64 / capacity.cpu.max(1) as f64;
    let total = executor.latency_critical_total();
    if step.objective_ms.is_none() || total == 0 {
        return packing;
    }
    // Serving tasks of one image mind the same filling ones, so they go together.
    let same_image =
        executor.latency_critical_cpu.get(&super::throttle::image(step)).copied().unwrap_or(0);
    // Tasks of one job are busy at the same times, so that others can be at ease then.
    let same_job = step_tasks_at(request.id, executor).min(1) as f64;
    packing
        + SAME_IMAGE_BONUS * (same_image as f64 / total as f64 - 0.5)
        + SAME_JOB_BONUS * same_job
}

/// Returns the number of tasks of the step at an executor.
fn step_tasks_at(id: StepId, executor: &Executor) -> usize {
    executor.open_tasks.range(id.task(0)..=id.task(u32::MAX)).count()
}
