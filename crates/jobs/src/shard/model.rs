//! How much tasks that fill press on tasks that serve, learned by pairs of images.
//!
//! The tail of a serving task behaves as that of a queue: it is its tail at rest over
//! what is left when its busy share is taken from 1. The busy share is taken as a sum:
//! the load of its own users, which all tasks of a job have in common and which moves
//! within seconds, and for each filling image the share of the executor's processors
//! that it uses, times a weight. The weights follow from least squares over recent
//! reports, in which older ones count for less.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};

use crate::id::{Image, JobId};

/// Most filling images told apart; further ones share the last column.
const MAX_IMAGES: usize = 24;
/// Inputs besides those of filling images: tasks that neither fill nor serve.
const FIXED_INPUTS: usize = 1;
/// Weight of a filling image before anything is known.
const PRIOR_WEIGHT: f64 = 1.0;
/// How much the prior counts, in squared shares: five reports of a tenth.
const PRIOR_STRENGTH: f64 = 0.05;
/// Part of the older reports that each new one leaves.
const DECAY: f64 = 0.999;
/// Time between two solutions.
const SOLVE_INTERVAL: Span = Span::from_ms(150);
/// Largest weight that is believed.
const MAX_WEIGHT: f64 = 12.0;
/// Load of a job's users before anything is known.
const PRIOR_LOAD: f64 = 0.45;
/// Part of a report in what is thought of the load of a job.
const LEVEL_GAIN: f64 = 0.35;
/// Part of a wrong expectation by which the slope of a load is turned, a second.
const SLOPE_GAIN: f64 = 0.25;
/// Time in seconds within which a report turns the slope only in part.
const SLOPE_GAIN_RAMP_S: f64 = 0.4;
/// Steepest slope of a load that is believed, a second.
const MAX_SLOPE: f64 = 0.12;
/// Longest time for which a slope is trusted without a report.
const MAX_EXTRAPOLATION: Span = Span::from_ms(1_500);
/// Pressure at which a report says half as much of the load.
const HALF_CONFIDENCE_INTERFERENCE: f64 = 0.08;
/// Tail at rest over objective before any tail was seen.
const PRIOR_IDLE_RATIO: f64 = 0.2;
/// Part of the lowest tail seen that the tail at rest is at most.
const IDLE_RATIO_MARGIN: f64 = 0.9;
/// Busiest share that a tail is read as; beyond, tails say only that they are long.
const MAX_UTILIZATION: f64 = 0.96;

/// Shares of an executor's processors in use, by filling image.
pub(super) type Shares = BTreeMap<Image, f64>;

/// A tail as reported: of which job and image, over its objective.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) job: JobId,
    pub(super) image: Image,
    pub(super) ratio: f64,
}

/// What is learned of all images.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    /// Places of filling images among the inputs.
    columns: BTreeMap<Image, usize>,
    /// Places of serving images among the fits.
    fit_indices: BTreeMap<Image, usize>,
    fits: Vec<Fit>,
    loads: BTreeMap<JobId, Load>,
}

/// The load of a job's own users, and how it moves.
#[derive(Clone, Copy, Debug)]
struct Load {
    level: f64,
    /// Change in a second.
    slope: f64,
    at: Time,
}

/// What is learned of one serving image.
#[derive(Clone, Debug)]
struct Fit {
    /// Tail at rest over objective.
    idle_ratio: f64,
    /// Sums of products of inputs, by rows.
    products: Vec<f64>,
    /// Sums of inputs times outcome.
    outcomes: Vec<f64>,
    weights: Vec<f64>,
    /// Weights before anything is seen.
    prior: Vec<f64>,
    solved_at: Time,
}

/// What is learned, as recorded for a successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// By serving image.
    pub serving: BTreeMap<Image, ImageSnapshot>,
}

/// What is learned of one serving image, as recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageSnapshot {
    /// Tail at rest over objective.
    pub rest: f64,
    /// Weights by filling image.
    pub weights: BTreeMap<Image, f64>,
}

impl Model {
    /// Returns what is learned.
    pub(super) fn snapshot(&self) -> Snapshot {
        let record = |fit: &Fit| ImageSnapshot {
            rest: fit.idle_ratio,
            weights: self
                .columns
                .iter()
                .map(|(i, p)| (i.clone(), round_weight(fit.weights[*p])))
                .collect(),
        };
        let record = |(image, at): (&Image, &usize)| (image.clone(), record(&self.fits[*at]));
        Snapshot { serving: self.fit_indices.iter().map(record).collect() }
    }

    /// Starts from what a predecessor learned.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        for (image, recorded) in snapshot.serving {
            let columns: Vec<(usize, f64)> = recorded
                .weights
                .iter()
                .map(|(image, weight)| (self.add_column(image), *weight))
                .collect();
            let fit = self.fit(&image);
            fit.idle_ratio = recorded.rest;
            for (column, weight) in columns {
                fit.prior[column] = weight;
                fit.weights[column] = weight;
            }
        }
    }

    /// Takes one report.
    pub(super) fn learn(&mut self, now: Time, sample: &Sample, shares: &Shares, others: f64) {
        let mut inputs = vec![0.0; FIXED_INPUTS + MAX_IMAGES];
        inputs[0] = others;
        for (image, share) in shares {
            inputs[self.add_column(image)] += share;
        }
        let at = self.add_fit(&sample.image);
        let fit = &mut self.fits[at];
        fit.idle_ratio = fit.idle_ratio.min(sample.ratio * IDLE_RATIO_MARGIN);
        let utilization = fit.utilization(sample.ratio);
        let interference = fit.interference(&inputs);
        let load = self.loads.entry(sample.job).or_insert(Load::new(now));
        if shares.values().sum::<f64>() > 0.0 {
            fit.add(&inputs, utilization - load.predict(now, Span::ZERO));
            if now.since(fit.solved_at) >= SOLVE_INTERVAL {
                fit.solve();
                fit.solved_at = now;
            }
        }
        let confidence = 1.0 / (1.0 + (interference / HALF_CONFIDENCE_INTERFERENCE).powi(2));
        load.update(now, utilization - interference, confidence);
    }

    fn add_column(&mut self, image: &Image) -> usize {
        let next = FIXED_INPUTS + self.columns.len().min(MAX_IMAGES - 1);
        *self.columns.entry(image.clone()).or_insert(next)
    }

    fn add_fit(&mut self, image: &Image) -> usize {
        let next = self.fits.len();
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

    /// Returns the column of a serving image, where it is known.
    pub(super) fn fit_index(&self, image: &Image) -> Option<usize> {
        self.fit_indices.get(image).copied()
    }

    /// Returns the column of a filling image, where it is known.
    pub(super) fn column(&self, image: &Image) -> Option<usize> {
        self.columns.get(image).copied()
    }

    /// Returns by how much a share of 1 of a filling image makes a serving one busier.
    pub(super) fn weight(&self, latency_critical: &Image, best_effort: &Image) -> f64 {
        self.weight_at(self.fit_index(latency_critical), self.column(best_effort))
    }

    /// Returns the same by the columns of the images; none stands for one not known.
    pub(super) fn weight_at(&self, fit: Option<usize>, column: Option<usize>) -> f64 {
        match (fit, column) {
            (Some(at), Some(column)) => self.fits[at].weights[column].clamp(0.0, MAX_WEIGHT),
            _ => PRIOR_WEIGHT,
        }
    }

    /// Returns how busy a serving task is whose tail over objective is `ratio`.
    pub(super) fn utilization(&self, image: &Image, ratio: f64) -> f64 {
        let idle_ratio =
            self.fit_index(image).map_or(PRIOR_IDLE_RATIO, |at| self.fits[at].idle_ratio);
        utilization(idle_ratio, ratio)
    }

    /// Returns the load of a job's own users that is expected `ahead` of now.
    pub(super) fn load(&self, now: Time, job: JobId, ahead: Span) -> f64 {
        self.loads.get(&job).map_or(PRIOR_LOAD, |load| load.predict(now, ahead))
    }

    /// Forgets a job.
    pub(super) fn forget(&mut self, job: JobId) {
        self.loads.remove(&job);
    }
}

/// Rounds a weight to what is worth recording.
fn round_weight(weight: f64) -> f64 {
    (weight * 1_000.0).round() / 1_000.0
}

/// Returns how busy a task is from its tails at rest and now, both over its objective.
fn utilization(idle_ratio: f64, ratio: f64) -> f64 {
    (1.0 - idle_ratio / ratio.max(idle_ratio)).min(MAX_UTILIZATION)
}

impl Load {
    const fn new(now: Time) -> Self {
        Self { level: PRIOR_LOAD, slope: 0.0, at: now }
    }

    /// Returns the load that is expected `ahead` of now.
    fn predict(&self, now: Time, ahead: Span) -> f64 {
        let elapsed_s = (now.since(self.at).min(MAX_EXTRAPOLATION) + ahead).as_ms_f64() / 1_000.0;
        (self.level + self.slope * elapsed_s).clamp(0.0, MAX_UTILIZATION)
    }

    /// Takes a load as seen; `confidence` tells how much it says, from 0 to 1.
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

impl Fit {
    fn new() -> Self {
        let size = FIXED_INPUTS + MAX_IMAGES;
        let mut weights = vec![PRIOR_WEIGHT; size];
        weights[..FIXED_INPUTS].fill(0.0);
        Self {
            idle_ratio: PRIOR_IDLE_RATIO,
            products: vec![0.0; size * size],
            outcomes: vec![0.0; size],
            prior: weights.clone(),
            weights,
            solved_at: Time::ZERO,
        }
    }

    fn utilization(&self, ratio: f64) -> f64 {
        utilization(self.idle_ratio, ratio)
    }

    /// Returns what the inputs add to the busy share.
    fn interference(&self, inputs: &[f64]) -> f64 {
        let pairs = inputs.iter().zip(&self.weights);
        pairs.map(|(input, weight)| input * weight.clamp(0.0, MAX_WEIGHT)).sum()
    }

    fn add(&mut self, inputs: &[f64], outcome: f64) {
        let size = inputs.len();
        for (row, left) in inputs.iter().enumerate() {
            for (column, right) in inputs.iter().enumerate() {
                let sum = &mut self.products[row * size + column];
                *sum = *sum * DECAY + left * right;
            }
            self.outcomes[row] = self.outcomes[row] * DECAY + left * outcome;
        }
    }

    /// Solves the normal equations with the prior, by elimination.
    fn solve(&mut self) {
        let size = self.outcomes.len();
        let mut rows = self.products.clone();
        let mut values = self.outcomes.clone();
        for column in 0..size {
            let prior = self.prior[column];
            rows[column * size + column] += PRIOR_STRENGTH;
            values[column] += PRIOR_STRENGTH * prior;
        }
        // The prior makes the matrix positive definite, so no pivot is zero.
        for pivot in 0..size {
            for row in pivot + 1..size {
                let factor = rows[row * size + pivot] / rows[pivot * size + pivot];
                if factor == 0.0 {
                    continue;
                }
                for column in pivot..size {
                    rows[row * size + column] -= factor * rows[pivot * size + column];
                }
                values[row] -= factor * values[pivot];
            }
        }
        for row in (0..size).rev() {
            let known: f64 = (row + 1..size).map(|c| rows[row * size + c] * self.weights[c]).sum();
            self.weights[row] = (values[row] - known) / rows[row * size + row];
        }
    }
}
