//! Filling tasks beside serving ones: how far they are let work.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::executors::{Executor, PlacedRun};
use super::message::{Command, Note, Order};
use super::model::{Model, Sample, Shares};
use crate::executor::{Answer, Running};
use crate::id::{ExecutorId, Image, JobId, Run, TaskId};
use crate::spec::Step;

/// Room below the busy share at the objective that pacing leaves.
const THROTTLE_MARGIN: f64 = 0.07;
/// How far beyond what pacing leaves images that press lightly may go: slowing them
/// costs more than they do.
const LOW_WEIGHT_ALLOWANCE: f64 = 0.16;
/// Room below the busy share at the objective up to which filling tasks are placed.
const PLACEMENT_MARGIN: f64 = 0.08;
/// Weight below which a filling image is placed wherever there is room.
const LOW_WEIGHT: f64 = 0.5;
/// Weight below which a filling image is not paced.
const NEGLIGIBLE_WEIGHT: f64 = 0.05;
/// Tail over objective from which a task counts as over it: the figure is rough.
const OVER_RATIO: f64 = 0.95;
/// Tail over objective down to which it goes on to count so.
const OVER_CLEAR_RATIO: f64 = 0.85;
/// Time between two limits at an executor: the tail is over the last half second.
const THROTTLE_INTERVAL: Span = Span::from_ms(500);
/// Smallest change of pace worth an order, in percent.
const MIN_CHANGE_PERCENT: u32 = 15;
/// Largest step up, in percent.
const MAX_INCREASE_PERCENT: u32 = 35;
/// Part of the longest harm after which all filling tasks are slowed, whatever is
/// learned.
const THROTTLE_ALL_AFTER: f64 = 0.25;
/// Part of the longest harm after which all filling tasks stand still.
const SUSPEND_ALL_AFTER: f64 = 0.42;
/// Pace of all filling tasks after the overdue_after, in percent.
const THROTTLE_ALL_PERCENT: u32 = 30;
/// What making a serving task busier costs a placement.
const INTERFERENCE_COST: f64 = 1.5;
/// Busy share below which a serving task is at ease.
const FREE_UTILIZATION: f64 = 0.45;
/// How far ahead a placement looks: most filling tasks run for a few seconds.
const PLACEMENT_HORIZON: Span = Span::from_ms(1_000);
/// Time for which it stands how busy serving tasks are expected to be.
const FORECAST_TTL: Span = Span::from_ms(50);
/// How far ahead a pace looks: until the next report.
const THROTTLE_HORIZON: Span = Span::from_ms(400);

/// The latest tail of the tasks of a serving job at an executor.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    /// Image of the tasks.
    pub(super) image: Image,
    /// Tail over objective.
    pub(super) ratio: f64,
    /// Since when it is over its objective.
    pub(super) over_since: Option<Time>,
}

/// What is learned of images.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimator {
    pub(super) model: Model,
    /// When what is learned was last recorded.
    pub(super) recorded_at: Time,
}

/// A filling run at an executor.
struct BestEffortRun {
    task: TaskId,
    run: Run,
    image: Image,
    /// Share of the executor's processors that it would use at full pace.
    share: f64,
    percent: u32,
}

impl Shard {
    /// Takes what the tasks at an executor use and how their users fare.
    pub(super) fn observe(&mut self, now: Time, id: &ExecutorId, running: &[Running]) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let capacity = executor.listed.capacity.cpu.max(1) as f64;
        let mut shares = Shares::new();
        let mut others = 0.0;
        let mut samples: BTreeMap<JobId, Sample> = BTreeMap::new();
        for row in running {
            let (Some(step), Some(load)) = (self.step_of(&row.task), row.load) else {
                continue;
            };
            let load = load as f64;
            match (step.objective_ms, step.filling) {
                (Some(objective), _) if load > 0.0 => {
                    let ratio = load / objective.max(1) as f64;
                    let job = row.task.step.job;
                    let sample = Sample { job, image: image(step), ratio };
                    let kept = samples.entry(job).or_insert(sample);
                    kept.ratio = kept.ratio.max(ratio);
                }
                (Some(_), _) => {}
                (None, true) => *shares.entry(image(step)).or_default() += load / capacity,
                (None, false) => others += load / capacity,
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

    /// Returns the step of a task.
    fn step_of(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.step.job)?.job.steps.get(task.step.step as usize)
    }

    /// Slows filling tasks beside serving ones near their objective, or lets them on.
    fn throttle(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let too_early = executor.throttled_at.is_some_and(|at| now.since(at) < THROTTLE_INTERVAL);
        if executor.best_effort_cpu.is_empty() || too_early {
            return;
        }
        let runs = self.best_effort_runs(executor);
        let wanted = self.limits(now, executor, &runs);
        let orders: Vec<(TaskId, Run, u32)> = runs
            .iter()
            .zip(wanted)
            .map(|(run, percent)| (run, percent.min(run.percent + MAX_INCREASE_PERCENT)))
            .filter(|(run, percent)| {
                let change = percent.abs_diff(run.percent);
                change >= MIN_CHANGE_PERCENT || (change > 0 && (*percent == 0 || *percent == 100))
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

    /// Returns the filling runs at an executor.
    fn best_effort_runs(&self, executor: &Executor) -> Vec<BestEffortRun> {
        let capacity = executor.listed.capacity.cpu.max(1) as f64;
        let runs = self.runs_at(executor).filter(|placed| placed.step.filling);
        let to_run = |PlacedRun { task, step, open, .. }| BestEffortRun {
            task,
            run: open.run,
            image: image(step),
            share: step.room.cpu as f64 / capacity,
            percent: open.limit_percent,
        };
        runs.map(to_run).collect()
    }

    /// Returns the pace of each filling run at which all serving tasks keep their
    /// objective.
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
        let harm = self.settings.harm;
        let model = &self.estimator.model;
        let over = tail.over_since.map_or(Span::ZERO, |since| now.since(since));
        if over >= harm.scale(SUSPEND_ALL_AFTER) {
            return vec![0; runs.len()];
        }
        let most = if over >= harm.scale(THROTTLE_ALL_AFTER) { THROTTLE_ALL_PERCENT } else { 100 };
        let weights: Vec<f64> =
            runs.iter().map(|run| model.weight(&tail.image, &run.image)).collect();
        let interference = |(run, weight): (&BestEffortRun, &f64)| run.share * weight;
        let current: f64 = runs
            .iter()
            .zip(&weights)
            .map(|pair| interference(pair) * f64::from(pair.0.percent) / 100.0)
            .sum();
        // What the filling tasks may press in all, by what is learned and, where the
        // tail is long all the same, by what is seen.
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
        let mut limits = vec![most; runs.len()];
        for index in order {
            let weight = weights[index];
            if weight < NEGLIGIBLE_WEIGHT {
                continue;
            }
            let at_full_speed = runs[index].share * weight;
            let spare = if weight < LOW_WEIGHT { budget + LOW_WEIGHT_ALLOWANCE } else { budget };
            let fraction = (spare.max(0.0) / at_full_speed.max(f64::MIN_POSITIVE)).min(1.0);
            limits[index] = most.min((fraction * 100.0) as u32);
            budget -= fraction * at_full_speed;
        }
        limits
    }

    fn send_throttle(&mut self, now: Time, id: &ExecutorId, task: TaskId, run: Run, percent: u32) {
        let order = Order { executor: id.clone(), task, run };
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let address = executor.listed.address;
        let (tail_percent, over) = executor.worst_tail(now);
        let Some(open) = self.open_run_mut(&order) else {
            return;
        };
        open.set_limit(now, percent);
        let note = Note::Paced { order: order.clone(), percent, tail_percent, over };
        self.out.push(Command::Log(note));
        self.out.push(Command::Pace { order, address, percent });
    }

    /// Takes the outcome of an order to pace.
    pub(super) fn handle_throttle_answer(
        &mut self,
        now: Time,
        order: &Order,
        percent: u32,
        answer: Answer,
    ) {
        self.record_answer(now, &order.executor, answer);
        if matches!(answer, Answer::Done(_)) {
            return;
        }
        // Not known to be in force: what is wanted next differs from it, and is ordered.
        if let Some(open) = self.open_run_mut(order)
            && open.limit_percent == percent
        {
            open.limit_percent = if percent == 100 { 0 } else { 100 };
            if let Some(executor) = self.executors.get_mut(&order.executor) {
                executor.throttled_at = None;
            }
        }
    }

    /// Reports whether a serving task at an executor is over its objective.
    pub(super) fn is_over_objective(executor: &Executor) -> bool {
        executor.tails.values().any(|tail| tail.over_since.is_some())
    }

    /// Works out how busy the serving tasks at each executor are, where that has changed.
    pub(super) fn refresh_forecasts(&mut self, now: Time) {
        let model = &self.estimator.model;
        let overdue_after = self.settings.harm.scale(THROTTLE_ALL_AFTER);
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

    /// Returns what a filling task of the step would press on serving tasks at an
    /// executor; none where it would push one over its objective.
    ///
    /// `column` is the place of the step's image in what is learned.
    pub(super) fn interference_cost(
        &self,
        step: &Step,
        column: Option<usize>,
        executor: &Executor,
    ) -> Option<f64> {
        let capacity = executor.listed.capacity.cpu.max(1) as f64;
        let forecasts = executor.forecasts.as_ref().map_or(&[][..], |forecasts| &forecasts.jobs);
        let mut cost = 0.0;
        for forecast in forecasts {
            let weight = self.estimator.model.weight_at(forecast.fit, column);
            let expected = forecast.utilization + weight * step.room.cpu as f64 / capacity;
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

/// How busy the serving tasks at an executor are expected to be.
#[derive(Clone, Debug)]
pub(super) struct Forecasts {
    at: Time,
    jobs: Vec<Forecast>,
}

/// How busy the tasks of a serving job at an executor are expected to be.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    /// Place of their image in what is learned.
    fit: Option<usize>,
    /// Busy share with the filling tasks that are there.
    utilization: f64,
    /// Busy share up to which filling tasks are placed.
    max_utilization: f64,
    /// Whether they are over their objective now.
    over: bool,
    /// Whether they have been so for too long.
    overdue: bool,
}

fn forecasts(now: Time, model: &Model, executor: &Executor, overdue_after: Span) -> Forecasts {
    let capacity = executor.listed.capacity.cpu.max(1) as f64;
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
    /// Returns the longest tail there over its objective in percent, and the longest time
    /// for which one is over it.
    fn worst_tail(&self, now: Time) -> (u32, Span) {
        let ratio = self.tails.values().map(|tail| tail.ratio).fold(0.0, f64::max);
        let over = self.tails.values().filter_map(|tail| tail.over_since).min();
        ((ratio * 100.0) as u32, over.map_or(Span::ZERO, |since| now.since(since)))
    }

    /// Takes the tails of the serving jobs there.
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

/// Returns the image of a step; steps without one behave alike.
pub(super) fn image(step: &Step) -> Image {
    step.image.clone().unwrap_or_else(|| Image::from(""))
}
