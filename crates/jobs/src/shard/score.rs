//! Scores of executors for tasks.

use sycamorerill_core::clock::Time;

use super::Shard;
use super::evacuate::warm_up_penalty;
use super::executors::Executor;
use super::place::Request;
use crate::id::{Label, StepId};

/// Minimum fraction of its requested processor time that a best-effort task must be able to get
/// to be placed. Tasks of a burst that all run slowly are all late; those that wait keep the order
/// of their ranks.
pub(super) const MIN_CPU_SHARE: f64 = 0.7;
/// Score deducted for an executor that is on probation after failures.
const PROBATION_PENALTY: f64 = 0.5;
/// Difference in the score of a latency-critical task between an executor where all
/// latency-critical tasks have its image and one where none has.
const SAME_IMAGE_BONUS: f64 = 3.0;
/// Score of a latency-critical task next to another task of the same step.
const SAME_STEP_BONUS: f64 = 1.0;
/// Range of the score for packing. A fuller executor far away does not outweigh the longer run
/// time there.
const PACKING_RANGE: f64 = 1.0;

impl Shard {
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
        if executor.health.is_quarantined(now) || now < executor.trial_until {
            return None;
        }
        if step.label.as_ref().is_some_and(|label| !registration.labels.contains(label)) {
            return None;
        }
        let free = registration.capacity.saturating_sub(&executor.used);
        if !free.covers(&step.reserved()) || !self.is_below_task_limit(request, executor) {
            return None;
        }
        if executor.reservation.is_some_and(|held| !held.admits(now, request, &free)) {
            return None;
        }
        let mut score = if step.best_effort {
            self.best_effort_score(request, executor)?
        } else {
            packing_score(request, executor)
        };
        score -= self.locality_penalty(request, executor);
        score -= if executor.health.is_on_probation() { PROBATION_PENALTY } else { 0.0 };
        score -= if request.suspects { executor.crash_cost(now) } else { 0.0 };
        score -= warm_up_penalty(now, executor, step.estimate_ms);
        Some(score)
    }

    /// Returns whether an executor may get another task of the step.
    pub(super) fn is_below_task_limit(&self, request: &Request<'_>, executor: &Executor) -> bool {
        let most = request.step.max_per_executor;
        most.is_none_or(|most| step_tasks_on(request.id, executor) < most as usize)
    }

    /// Returns the score deducted if the executor is on another rack than the step's data or
    /// its running tasks.
    fn locality_penalty(&self, request: &Request<'_>, executor: &Executor) -> f64 {
        let rack = executor.registration.rack();
        let away = |wanted: Option<&Label>| wanted.is_some() && wanted != rack;
        let remote = away(request.step.data_rack.as_ref()) || away(request.rack.as_ref());
        let weight = if request.step.best_effort || !self.decides_locality(request) {
            0.0
        } else {
            PACKING_RANGE
        };
        if remote { self.settings.remote_penalty - 1.0 + weight } else { 0.0 }
    }

    /// Returns the fraction of its requested processor time that a best-effort task would get,
    /// less the cost of its interference with latency-critical tasks.
    fn best_effort_score(&self, request: &Request<'_>, executor: &Executor) -> Option<f64> {
        let step = request.step;
        let latency_critical = executor.latency_critical_total;
        let expected_use = latency_critical as f64 * self.settings.latency_critical_use;
        let others = executor.used.cpu.saturating_sub(latency_critical) as f64;
        let left = (executor.registration.capacity.cpu as f64 - others - expected_use).max(0.0);
        let share = left / (executor.best_effort_total + step.resources.cpu).max(1) as f64;
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
    let total = executor.latency_critical_total;
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
