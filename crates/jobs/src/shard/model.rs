//! Model of the interference of best-effort tasks with latency-critical tasks, learned for each
//! pair of images.
//!
//! The tail latency of a latency-critical task is modelled as that of a queue: its idle tail
//! divided by 1 less its utilization. The utilization is a sum: the load of the task's own
//! users, which all tasks of a job share and which changes within seconds, and for each
//! best-effort image the share of the executor's processors that it uses, times a weight. The
//! weights are fitted by least squares over recent reports, in which older reports count for
//! less.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};

use super::fit::{
    Accuracy, FIXED_INPUTS, Fit, FitReport, MAX_IMAGES, MAX_UTILIZATION, MAX_WEIGHT,
    PRIOR_IDLE_RATIO, PRIOR_WEIGHT, utilization,
};
use crate::id::{Image, JobId};
use crate::record::json_field_bytes;

/// Minimum time between two solutions of a fit.
const SOLVE_INTERVAL: Span = Span::from_ms(150);
/// Load of a job's users before any report.
const PRIOR_LOAD: f64 = 0.45;
/// Fraction of the prediction error that is added to the load of a job.
const LEVEL_GAIN: f64 = 0.35;
/// Fraction of the prediction error that is added to the slope of a load, per second.
const SLOPE_GAIN: f64 = 0.25;
/// Seconds since the previous report from which on the full `SLOPE_GAIN` applies; below, it is
/// reduced in proportion.
const SLOPE_GAIN_RAMP_S: f64 = 0.4;
/// Upper bound on the slope of a load, per second.
const MAX_SLOPE: f64 = 0.12;
/// Longest time since the last report for which a slope is extrapolated.
const MAX_EXTRAPOLATION: Span = Span::from_ms(1_500);
/// Interference at which a report has half the confidence as an observation of the load.
const HALF_CONFIDENCE_INTERFERENCE: f64 = 0.08;
/// Lower bound on a recorded idle tail divided by the objective.
const MIN_IDLE_RATIO: f64 = 1e-6;
/// Upper bound on the idle tail, as a fraction of the lowest tail reported.
const IDLE_RATIO_MARGIN: f64 = 0.9;

/// Shares of an executor's processors in use, by best-effort image.
pub(super) type Shares = BTreeMap<Image, f64>;

/// Reported tail latency of the tasks of a job on an executor, divided by their objective.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) job: JobId,
    pub(super) image: Image,
    pub(super) ratio: f64,
}

/// Interference weights by image and loads by job.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    /// Columns of best-effort images in the inputs of each fit.
    columns: BTreeMap<Image, usize>,
    /// Indices of latency-critical images in `fits`.
    fit_indices: BTreeMap<Image, usize>,
    fits: Vec<Fit>,
    loads: BTreeMap<JobId, Load>,
}

/// Utilization caused by a job's own users, and its trend.
#[derive(Clone, Copy, Debug)]
struct Load {
    level: f64,
    /// Change per second.
    slope: f64,
    at: Time,
}

/// Interference model as recorded for a successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Fits by latency-critical image.
    pub serving: BTreeMap<Image, ImageSnapshot>,
}

/// Fit for one latency-critical image as recorded for a successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageSnapshot {
    /// Tail without load divided by the objective.
    pub rest: f64,
    /// Utilization added per processor share of 1, by best-effort image.
    pub weights: BTreeMap<Image, f64>,
}

impl Model {
    /// Returns the state that a successor starts from, as much of it as fits into `max_bytes` of
    /// JSON.
    pub(super) fn snapshot(&self, max_bytes: usize) -> Snapshot {
        let mut left = max_bytes;
        let mut fits = |image: &Image| {
            let bytes = json_field_bytes(image.as_str());
            let fits = bytes <= left;
            left -= if fits { bytes } else { 0 };
            fits
        };
        let mut snapshot = Snapshot::default();
        for (image, at) in &self.fit_indices {
            if !fits(image) {
                continue;
            }
            let fit = &self.fits[*at];
            let columns = self.columns.iter().filter(|(image, _)| fits(image));
            let weights = columns.map(|(i, p)| (i.clone(), round_weight(fit.weights[*p])));
            let recorded = ImageSnapshot { rest: fit.idle_ratio, weights: weights.collect() };
            snapshot.serving.insert(image.clone(), recorded);
        }
        snapshot
    }

    /// Returns all fits with their accuracy since the previous call.
    pub(super) fn take_fit_reports(&mut self) -> Vec<FitReport> {
        let snapshot = self.snapshot(usize::MAX);
        let reports = snapshot.serving.into_iter().map(|(image, recorded)| {
            let Accuracy { reports, saturated, error_sum, load_sum } =
                std::mem::take(&mut self.fit(&image).accuracy);
            let count = f64::from(reports.max(1));
            let (mean_error, mean_load) = (error_sum / count, load_sum / count);
            let (idle_ratio, weights) = (recorded.rest, recorded.weights);
            FitReport { image, idle_ratio, reports, saturated, mean_error, mean_load, weights }
        });
        reports.collect()
    }

    /// Starts from the state that a predecessor recorded.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        for (image, recorded) in snapshot.serving {
            let columns: Vec<(usize, f64)> = recorded
                .weights
                .iter()
                .map(|(image, weight)| (self.add_column(image), weight.clamp(0.0, MAX_WEIGHT)))
                .collect();
            let fit = self.fit(&image);
            fit.idle_ratio = recorded.rest.clamp(MIN_IDLE_RATIO, 1.0);
            for (column, weight) in columns {
                fit.prior[column] = weight;
                fit.weights[column] = weight;
            }
        }
    }

    /// Updates the fit of an image and the load of a job from one report.
    ///
    /// `shares` holds the processor shares of best-effort images, `others` that of tasks that
    /// are neither best-effort nor latency-critical.
    pub(super) fn learn(&mut self, now: Time, sample: &Sample, shares: &Shares, others: f64) {
        let mut inputs = vec![(0, others)];
        for (image, share) in shares {
            inputs.push((self.add_column(image), *share));
        }
        let columns = FIXED_INPUTS + self.columns.len().min(MAX_IMAGES);
        let at = self.add_fit(&sample.image);
        let fit = &mut self.fits[at];
        fit.idle_ratio = fit.idle_ratio.min(sample.ratio * IDLE_RATIO_MARGIN);
        let utilization = fit.utilization(sample.ratio);
        let interference = fit.interference(&inputs);
        let load = self.loads.entry(sample.job).or_insert(Load::new(now));
        fit.accuracy.add(load.predict(now, Span::ZERO), interference, utilization);
        if shares.values().sum::<f64>() > 0.0 {
            fit.add(&inputs, utilization - load.predict(now, Span::ZERO));
            if now.since(fit.solved_at) >= SOLVE_INTERVAL {
                fit.solve(columns);
                fit.solved_at = now;
            }
        }
        let confidence = 1.0 / (1.0 + (interference / HALF_CONFIDENCE_INTERFERENCE).powi(2));
        load.update(now, utilization - interference, confidence);
    }

    fn add_column(&mut self, image: &Image) -> usize {
        let last = FIXED_INPUTS + MAX_IMAGES - 1;
        if self.columns.len() >= MAX_IMAGES {
            // Further images share the last column.
            return self.columns.get(image).copied().unwrap_or(last);
        }
        let next = FIXED_INPUTS + self.columns.len();
        *self.columns.entry(image.clone()).or_insert(next)
    }

    fn add_fit(&mut self, image: &Image) -> usize {
        let next = self.fits.len();
        if next >= MAX_IMAGES {
            // Further images share the last fit.
            return self.fit_indices.get(image).copied().unwrap_or(MAX_IMAGES - 1);
        }
        let at = *self.fit_indices.entry(image.clone()).or_insert(next);
        if at == next {
            self.fits.push(Fit::new());
        }
        at
    }

    fn fit(&mut self, image: &Image) -> &mut Fit {
        let at = self.add_fit(image);
        &mut self.fits[at]
    }

    /// Returns the index of a latency-critical image among the fits, if it was reported.
    pub(super) fn fit_index(&self, image: &Image) -> Option<usize> {
        self.fit_indices.get(image).copied()
    }

    /// Returns the input column of a best-effort image, if it was reported.
    pub(super) fn column(&self, image: &Image) -> Option<usize> {
        self.columns.get(image).copied()
    }

    /// Returns the utilization that a processor share of 1 of one image adds to tasks of the
    /// other.
    pub(super) fn weight(&self, latency_critical: &Image, best_effort: &Image) -> f64 {
        self.weight_at(self.fit_index(latency_critical), self.column(best_effort))
    }

    /// Returns the weight for a fit and a column; `None` stands for an image that was never
    /// reported.
    pub(super) fn weight_at(&self, fit: Option<usize>, column: Option<usize>) -> f64 {
        match (fit, column) {
            (Some(at), Some(column)) => self.fits[at].weights[column].clamp(0.0, MAX_WEIGHT),
            _ => PRIOR_WEIGHT,
        }
    }

    /// Returns the utilization of a task of `image` whose tail divided by its objective is
    /// `ratio`.
    pub(super) fn utilization(&self, image: &Image, ratio: f64) -> f64 {
        let idle_ratio =
            self.fit_index(image).map_or(PRIOR_IDLE_RATIO, |at| self.fits[at].idle_ratio);
        utilization(idle_ratio, ratio)
    }

    /// Returns the load of a job's own users that is predicted for `ahead` after `now`.
    pub(super) fn load(&self, now: Time, job: JobId, ahead: Span) -> f64 {
        self.loads.get(&job).map_or(PRIOR_LOAD, |load| load.predict(now, ahead))
    }

    /// Removes the load of a job.
    pub(super) fn remove_job(&mut self, job: JobId) {
        self.loads.remove(&job);
    }
}

/// Rounds a weight to the precision that is recorded, three decimals.
fn round_weight(weight: f64) -> f64 {
    (weight * 1_000.0).round() / 1_000.0
}

impl Load {
    const fn new(now: Time) -> Self {
        Self { level: PRIOR_LOAD, slope: 0.0, at: now }
    }

    /// Returns the load that is predicted for `ahead` after `now`.
    fn predict(&self, now: Time, ahead: Span) -> f64 {
        let elapsed_s = (now.since(self.at).min(MAX_EXTRAPOLATION) + ahead).as_ms_f64() / 1_000.0;
        (self.level + self.slope * elapsed_s).clamp(0.0, MAX_UTILIZATION)
    }

    /// Corrects level and slope by an observed load; `confidence` ranges from 0 to 1.
    fn update(&mut self, now: Time, observed: f64, confidence: f64) {
        let elapsed_s = now.since(self.at).min(MAX_EXTRAPOLATION).as_ms_f64() / 1_000.0;
        let error = observed - self.predict(now, Span::ZERO);
        self.level = self.predict(now, Span::ZERO) + LEVEL_GAIN * confidence * error;
        self.slope +=
            SLOPE_GAIN * confidence * error * elapsed_s.min(SLOPE_GAIN_RAMP_S) / SLOPE_GAIN_RAMP_S;
        self.slope = self.slope.clamp(-MAX_SLOPE, MAX_SLOPE);
        self.at = now;
    }
}
