//! Throttling of best-effort runs next to latency-critical tasks.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::executors::{Executor, PlacedRun};
use super::limit::Limit;
use super::message::{Command, Decision, Order};
use super::model::{Model, Sample, Shares};
use crate::executor::{Outcome, RunReport};
use crate::id::{ExecutorId, Image, JobId, Run, TaskId};
use crate::spec::Step;

/// Distance that throttling keeps below the utilization at which the tail meets the objective.
const THROTTLE_MARGIN: f64 = 0.07;
/// Utilization beyond the budget that images below `LOW_WEIGHT` may add: throttling them costs
/// more than their interference.
const LOW_WEIGHT_ALLOWANCE: f64 = 0.16;
/// Distance that placement keeps below the utilization at which the tail meets the objective.
const PLACEMENT_MARGIN: f64 = 0.08;
/// Weight up to which a best-effort image is placed wherever the resources suffice, even beyond
/// `PLACEMENT_MARGIN`.
const LOW_WEIGHT: f64 = 0.5;
/// Weight below which a best-effort image is not throttled.
const NEGLIGIBLE_WEIGHT: f64 = 0.05;
/// Tail divided by objective above which a task counts as over its objective. It is below 1
/// because reported tails are imprecise.
const OVER_RATIO: f64 = 0.95;
/// Tail divided by objective at or below which a task no longer counts as over its objective.
const OVER_CLEAR_RATIO: f64 = 0.85;
/// Minimum time between two changes of the limits of runs on an executor. Reported tails cover
/// the last half second.
const THROTTLE_INTERVAL: Span = Span::from_ms(500);
/// Minimum time from a change of limits on an executor to a raise while the owner's shortage of
/// processor time is at its largest.
const MAX_RAISE_INTERVAL: Span = Span::from_ms(2_000);
/// Minimum change of a limit that is ordered, in percentage points.
const MIN_CHANGE_PERCENT: u32 = 15;
/// Maximum increase of a limit in one change, in percentage points.
const MAX_INCREASE_PERCENT: u32 = 35;
/// Fraction of `Settings::max_over_objective` over the objective after which all best-effort
/// runs are limited to `THROTTLE_ALL_PERCENT`, regardless of the model.
const THROTTLE_ALL_AFTER: f64 = 0.25;
/// Fraction of `Settings::max_over_objective` over the objective after which all best-effort
/// runs are suspended.
const SUSPEND_ALL_AFTER: f64 = 0.42;
/// Limit of all best-effort runs after `THROTTLE_ALL_AFTER`, in percent.
const THROTTLE_ALL_PERCENT: u32 = 30;
/// Placement score deducted per unit of expected utilization above `FREE_UTILIZATION`.
const INTERFERENCE_COST: f64 = 1.5;
/// Utilization of a latency-critical task up to which added interference has no cost.
const FREE_UTILIZATION: f64 = 0.45;
/// How far ahead a placement predicts the load: most best-effort tasks run for a few seconds.
const PLACEMENT_HORIZON: Span = Span::from_ms(1_000);
/// How long a forecast is reused.
const FORECAST_TTL: Span = Span::from_ms(50);
/// How far ahead throttling predicts the load: until the next report.
const THROTTLE_HORIZON: Span = Span::from_ms(400);

/// Upper bound on the share of an executor's processors that a run reports: reports are rough.
const MAX_SHARE: f64 = 2.0;

/// Latest tail latency of the tasks of a latency-critical job on an executor.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    /// Image of the tasks.
    pub(super) image: Image,
    /// Tail divided by objective.
    pub(super) ratio: f64,
    /// Since when the tail counts as over the objective.
    pub(super) over_since: Option<Time>,
}

/// Interference model and the time of its latest record.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimator {
    pub(super) model: Model,
    /// When the model was last recorded.
    pub(super) recorded_at: Time,
}

/// A best-effort run on an executor.
struct BestEffortRun {
    task: TaskId,
    run: Run,
    image: Image,
    /// Share of the executor's processors that the run requests.
    share: f64,
    limit: Limit,
}

impl Shard {
    /// Updates the model from the processor use and the tails that an executor reports, and
    /// throttles its best-effort runs.
    pub(super) fn observe(&mut self, now: Time, id: &ExecutorId, running: &[RunReport]) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        if executor.registration.capacity.cpu == 0 {
            // The capacity of an executor that is not listed is not known.
            return;
        }
        let capacity = executor.registration.capacity.cpu as f64;
        let share_of = |load: f64| (load / capacity).min(MAX_SHARE);
        let mut shares = Shares::new();
        let mut others = 0.0;
        let mut samples: BTreeMap<JobId, Sample> = BTreeMap::new();
        for row in running {
            let (Some(step), Some(load)) = (self.step_of(&row.task), row.load) else {
                continue;
            };
            let load = load as f64;
            match (step.objective_ms, step.best_effort) {
                (Some(objective), _) if load > 0.0 => {
                    let ratio = load / objective.max(1) as f64;
                    let job = row.task.step.job;
                    let sample = Sample { job, image: image(step), ratio };
                    let kept = samples.entry(job).or_insert(sample);
                    kept.ratio = kept.ratio.max(ratio);
                }
                (Some(_), _) => {}
                (None, true) => *shares.entry(image(step)).or_default() += share_of(load),
                (None, false) => others += share_of(load),
            }
        }
        for sample in samples.values() {
            self.estimator.model.learn(now, sample, &shares, others);
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.update_tails(now, samples);
        }
        self.throttle(now, id);
    }

    /// Returns the specification of a task's step.
    pub(super) fn step_of(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.step.job)?.job.steps.get(task.step.step as usize)
    }

    /// Lowers or raises the limits of best-effort runs so that latency-critical tasks keep
    /// their objective.
    fn throttle(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let too_early = executor.throttled_at.is_some_and(|at| now.since(at) < THROTTLE_INTERVAL);
        if executor.best_effort_cpu.is_empty() || too_early {
            return;
        }
        let raise_interval = MAX_RAISE_INTERVAL.scale(self.shortage);
        let may_raise = executor.throttled_at.is_none_or(|at| now.since(at) >= raise_interval);
        let is_over = Self::is_over_objective(executor);
        let runs = self.best_effort_runs(executor);
        let wanted = self.limits(now, executor, &runs);
        let orders: Vec<(TaskId, Run, u32)> = runs
            .iter()
            .zip(wanted)
            .map(|(run, percent)| (run, percent.min(run.limit.percent() + MAX_INCREASE_PERCENT)))
            .filter(|(run, percent)| {
                let change = percent.abs_diff(run.limit.percent());
                let allowed = may_raise || *percent <= run.limit.percent();
                allowed
                    && (change >= MIN_CHANGE_PERCENT
                        || (change > 0 && (*percent == 0 || *percent == 100))
                        || run.limit.is_repeat_due(now, is_over))
            })
            .map(|(run, percent)| (run.task, run.run, percent))
            .collect();
        if !orders.is_empty()
            && let Some(executor) = self.executors.get_mut(id)
        {
            executor.throttled_at = Some(now);
        }
        for (task, run, percent) in orders {
            self.send_throttle(now, id, task, run, percent);
        }
    }

    /// Returns the best-effort runs on an executor.
    fn best_effort_runs(&self, executor: &Executor) -> Vec<BestEffortRun> {
        let capacity = executor.registration.capacity.cpu.max(1) as f64;
        let runs = self.runs_on(executor).filter(|placed| placed.step.best_effort);
        let to_run = |PlacedRun { task, step, open, .. }| BestEffortRun {
            task,
            run: open.run,
            image: image(step),
            share: step.resources.cpu as f64 / capacity,
            limit: open.limit,
        };
        runs.map(to_run).collect()
    }

    /// Returns the limit, in percent, of each best-effort run at which all latency-critical
    /// tasks keep their objective.
    fn limits(&self, now: Time, executor: &Executor, runs: &[BestEffortRun]) -> Vec<u32> {
        let mut limits = vec![100; runs.len()];
        for (job, tail) in &executor.tails {
            let job_limits = self.limits_for(now, *job, tail, runs);
            for (limit, job_limit) in limits.iter_mut().zip(job_limits) {
                *limit = (*limit).min(job_limit);
            }
        }
        limits
    }

    fn limits_for(&self, now: Time, job: JobId, tail: &Tail, runs: &[BestEffortRun]) -> Vec<u32> {
        let max_over_objective = self.settings.max_over_objective;
        let model = &self.estimator.model;
        let over = tail.over_since.map_or(Span::ZERO, |since| now.since(since));
        if over >= max_over_objective.scale(SUSPEND_ALL_AFTER) {
            return vec![0; runs.len()];
        }
        let max_limit = if over >= max_over_objective.scale(THROTTLE_ALL_AFTER) {
            THROTTLE_ALL_PERCENT
        } else {
            100
        };
        let weights: Vec<f64> =
            runs.iter().map(|run| model.weight(&tail.image, &run.image)).collect();
        let interference = |(run, weight): (&BestEffortRun, &f64)| run.share * weight;
        let current: f64 = runs
            .iter()
            .zip(&weights)
            .map(|pair| interference(pair) * f64::from(pair.0.limit.percent()) / 100.0)
            .sum();
        // Interference that the best-effort runs may cause in total: by the model and, if the
        // reported tail is over the objective nonetheless, by the report.
        let target = model.utilization(&tail.image, 1.0) - THROTTLE_MARGIN;
        let by_model = target - model.load(now, job, THROTTLE_HORIZON);
        let by_report = if tail.ratio > 1.0 {
            current + target - model.utilization(&tail.image, tail.ratio)
        } else {
            f64::MAX
        };
        let mut budget = by_model.min(by_report);
        let mut order: Vec<usize> = (0..runs.len()).collect();
        order.sort_by(|a, b| weights[*a].total_cmp(&weights[*b]));
        let mut limits = vec![max_limit; runs.len()];
        for index in order {
            let weight = weights[index];
            if weight < NEGLIGIBLE_WEIGHT {
                continue;
            }
            let at_full_speed = runs[index].share * weight;
            let spare = if weight < LOW_WEIGHT { budget + LOW_WEIGHT_ALLOWANCE } else { budget };
            let fraction = (spare.max(0.0) / at_full_speed.max(f64::MIN_POSITIVE)).min(1.0);
            limits[index] = max_limit.min((fraction * 100.0) as u32);
            budget -= fraction * at_full_speed;
        }
        limits
    }

    fn send_throttle(&mut self, now: Time, id: &ExecutorId, task: TaskId, run: Run, percent: u32) {
        let order = Order { executor: id.clone(), task, run };
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let address = executor.registration.address;
        let (tail_percent, over) = executor.worst_tail(now);
        let Some(open) = self.open_run_mut(&order) else {
            return;
        };
        open.set_limit(now, percent);
        let decision = Decision::Throttled { order: order.clone(), percent, tail_percent, over };
        self.out.push(Command::Log(decision));
        self.out.push(Command::Throttle { order, address, percent });
    }

    /// Handles the outcome of an order to limit a run.
    pub(super) fn handle_throttle_outcome(
        &mut self,
        now: Time,
        order: &Order,
        percent: u32,
        outcome: Outcome,
    ) {
        self.record_outcome(now, &order.executor, outcome);
        let max_delay = self.settings.max_order_delay;
        if let Some(open) = self.open_run_mut(order)
            && !open.limit.note_outcome(percent, outcome, max_delay)
            && let Some(executor) = self.executors.get_mut(&order.executor)
        {
            // The limit is ordered again with the next report.
            executor.throttled_at = None;
        }
    }

    /// Returns whether a latency-critical task on the executor counts as over its objective.
    pub(super) fn is_over_objective(executor: &Executor) -> bool {
        executor.tails.values().any(|tail| tail.over_since.is_some())
    }

    /// Recomputes the forecast of one executor.
    pub(super) fn refresh_forecast(&mut self, now: Time, id: &ExecutorId) {
        let overdue_after = self.settings.max_over_objective.scale(THROTTLE_ALL_AFTER);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.forecasts =
                Some(forecasts(now, &self.estimator.model, executor, overdue_after));
        }
    }

    /// Recomputes the forecasts of executors where they are missing or older than
    /// `FORECAST_TTL`.
    pub(super) fn refresh_forecasts(&mut self, now: Time) {
        let model = &self.estimator.model;
        let overdue_after = self.settings.max_over_objective.scale(THROTTLE_ALL_AFTER);
        for executor in self.executors.values_mut() {
            let fresh = executor
                .forecasts
                .as_ref()
                .is_some_and(|forecasts| now.since(forecasts.at) < FORECAST_TTL);
            if !fresh {
                executor.forecasts = Some(forecasts(now, model, executor, overdue_after));
            }
        }
    }

    /// Returns the placement cost of the interference that a best-effort task of the step would
    /// cause on an executor; `None` if it would push a latency-critical task over its
    /// objective.
    ///
    /// `column` is the column of the step's image in the interference model.
    pub(super) fn interference_cost(
        &self,
        step: &Step,
        column: Option<usize>,
        executor: &Executor,
    ) -> Option<f64> {
        let capacity = executor.registration.capacity.cpu.max(1) as f64;
        let forecasts = executor.forecasts.as_ref().map_or(&[][..], |forecasts| &forecasts.jobs);
        let mut cost = 0.0;
        for forecast in forecasts {
            let weight = self.estimator.model.weight_at(forecast.fit, column);
            let expected = forecast.utilization + weight * step.resources.cpu as f64 / capacity;
            if forecast.overdue
                || (weight > LOW_WEIGHT && (expected > forecast.max_utilization || forecast.over))
            {
                return None;
            }
            cost = f64::max(cost, INTERFERENCE_COST * (expected - FREE_UTILIZATION).max(0.0));
        }
        Some(cost)
    }
}

/// Expected utilization of all latency-critical jobs on an executor.
#[derive(Clone, Debug)]
pub(super) struct Forecasts {
    at: Time,
    jobs: Vec<Forecast>,
}

/// Expected utilization of the tasks of a latency-critical job on an executor.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    /// Index of the image's fit in the interference model.
    fit: Option<usize>,
    /// Utilization with the best-effort runs that are already there.
    utilization: f64,
    /// Utilization up to which best-effort tasks are placed.
    max_utilization: f64,
    /// Whether the latest tail is over the objective.
    over: bool,
    /// Whether the tail has been over the objective for `THROTTLE_ALL_AFTER` of
    /// `Settings::max_over_objective`.
    overdue: bool,
}

fn forecasts(now: Time, model: &Model, executor: &Executor, overdue_after: Span) -> Forecasts {
    let capacity = executor.registration.capacity.cpu.max(1) as f64;
    let best_effort: Vec<(Option<usize>, f64)> = executor
        .best_effort_cpu
        .iter()
        .map(|(image, cpu)| (model.column(image), *cpu as f64 / capacity))
        .collect();
    let forecast = |(job, tail): (&JobId, &Tail)| {
        let fit = model.fit_index(&tail.image);
        let interference: f64 =
            best_effort.iter().map(|(column, share)| model.weight_at(fit, *column) * share).sum();
        Forecast {
            fit,
            utilization: model.load(now, *job, PLACEMENT_HORIZON) + interference,
            max_utilization: model.utilization(&tail.image, 1.0) - PLACEMENT_MARGIN,
            over: tail.ratio > 1.0,
            overdue: tail.over_since.is_some_and(|since| now.since(since) >= overdue_after),
        }
    };
    Forecasts { at: now, jobs: executor.tails.iter().map(forecast).collect() }
}

impl Executor {
    /// Returns the highest tail of the executor in percent of its objective, and the longest
    /// time for which a tail has been over it.
    fn worst_tail(&self, now: Time) -> (u32, Span) {
        let ratio = self.tails.values().map(|tail| tail.ratio).fold(0.0, f64::max);
        let over = self.tails.values().filter_map(|tail| tail.over_since).min();
        ((ratio * 100.0) as u32, over.map_or(Span::ZERO, |since| now.since(since)))
    }

    /// Replaces the tails with those of the latest report.
    fn update_tails(&mut self, now: Time, samples: BTreeMap<JobId, Sample>) {
        let before = std::mem::take(&mut self.tails);
        self.forecasts = None;
        self.tails = samples
            .into_iter()
            .map(|(job, Sample { image, ratio, .. })| {
                let since = before.get(&job).and_then(|tail| tail.over_since);
                let over_since = match ratio {
                    ratio if ratio > OVER_RATIO => Some(since.unwrap_or(now)),
                    ratio if ratio > OVER_CLEAR_RATIO => since,
                    _ => None,
                };
                (job, Tail { image, ratio, over_since })
            })
            .collect();
    }
}

/// Returns the image of a step. All steps without one share the empty image.
pub(super) fn image(step: &Step) -> Image {
    step.image.clone().unwrap_or_else(|| Image::from(""))
}
