//! Least-squares fit of the interference weights of one latency-critical image.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Time;

use crate::id::Image;

/// Number of input columns for best-effort images. Once the others are taken, further images
/// share the last one, which then has a weight that suits none of them.
pub(super) const MAX_IMAGES: usize = 64;
/// Number of inputs before those of best-effort images: one for tasks that are neither
/// best-effort nor latency-critical.
pub(super) const FIXED_INPUTS: usize = 1;
/// Weight of a best-effort image before any report.
pub(super) const PRIOR_WEIGHT: f64 = 1.0;
/// Strength of the prior in squared shares: equals five reports with a share of a tenth.
const PRIOR_STRENGTH: f64 = 0.05;
/// Factor by which each new report reduces the influence of older ones.
const DECAY: f64 = 0.999;
/// Weight of a new report at which the sums are divided by it, so that they stay finite.
const MAX_REPORT_WEIGHT: f64 = 1e9;
/// Upper bound on a weight.
pub(super) const MAX_WEIGHT: f64 = 12.0;
/// Idle tail divided by the objective before any tail was reported.
pub(super) const PRIOR_IDLE_RATIO: f64 = 0.2;
/// Upper bound on a utilization; longer tails do not tell utilizations apart.
pub(super) const MAX_UTILIZATION: f64 = 0.96;

/// Least-squares fit for one latency-critical image.
#[derive(Clone, Debug)]
pub(super) struct Fit {
    /// Tail without load divided by the objective.
    pub(super) idle_ratio: f64,
    /// Sums of products of inputs, as a matrix in row-major order, in units of `report_weight`.
    products: Vec<f64>,
    /// Sums of each input times the utilization that it explains, in units of `report_weight`.
    outcomes: Vec<f64>,
    /// Weight of the latest report. Instead of all older reports losing weight, new ones gain it.
    report_weight: f64,
    pub(super) weights: Vec<f64>,
    /// Weights before any report, or those that a predecessor recorded.
    pub(super) prior: Vec<f64>,
    pub(super) solved_at: Time,
    /// Accuracy since it was last taken.
    pub(super) accuracy: Accuracy,
}

/// Sums over the reports on one latency-critical image.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Accuracy {
    pub(super) reports: u32,
    pub(super) saturated: u32,
    pub(super) error_sum: f64,
    pub(super) load_sum: f64,
}

/// Fit for one latency-critical image with its accuracy over recent reports.
#[derive(Clone, Debug, PartialEq)]
pub struct FitReport {
    /// Latency-critical image.
    pub image: Image,
    /// Tail without load divided by the objective.
    pub idle_ratio: f64,
    /// Number of reports since the previous `FitReport` of the image.
    pub reports: u32,
    /// Number of those whose tails are too long to tell utilizations apart.
    pub saturated: u32,
    /// Mean of predicted less observed utilization over these reports.
    pub mean_error: f64,
    /// Mean load of the jobs' own users at these reports.
    pub mean_load: f64,
    /// Utilization added per processor share of 1, by best-effort image.
    pub weights: BTreeMap<Image, f64>,
}

/// Returns the utilization at a tail of `ratio`, given the idle tail; both are divided by the
/// objective.
pub(super) fn utilization(idle_ratio: f64, ratio: f64) -> f64 {
    (1.0 - idle_ratio / ratio.max(idle_ratio)).min(MAX_UTILIZATION)
}

impl Accuracy {
    pub(super) fn add(&mut self, load: f64, interference: f64, observed: f64) {
        self.reports += 1;
        self.saturated += u32::from(observed >= MAX_UTILIZATION);
        self.error_sum += (load + interference).min(MAX_UTILIZATION) - observed;
        self.load_sum += load;
    }
}

impl Fit {
    pub(super) fn new() -> Self {
        let size = FIXED_INPUTS + MAX_IMAGES;
        let mut weights = vec![PRIOR_WEIGHT; size];
        weights[..FIXED_INPUTS].fill(0.0);
        Self {
            idle_ratio: PRIOR_IDLE_RATIO,
            products: vec![0.0; size * size],
            outcomes: vec![0.0; size],
            report_weight: 1.0,
            prior: weights.clone(),
            weights,
            solved_at: Time::ZERO,
            accuracy: Accuracy::default(),
        }
    }

    pub(super) fn utilization(&self, ratio: f64) -> f64 {
        utilization(self.idle_ratio, ratio)
    }

    /// Returns the utilization that the inputs add; each is a column and its value.
    pub(super) fn interference(&self, inputs: &[(usize, f64)]) -> f64 {
        let added =
            |(column, input): &(usize, f64)| input * self.weights[*column].clamp(0.0, MAX_WEIGHT);
        inputs.iter().map(added).sum()
    }

    pub(super) fn add(&mut self, inputs: &[(usize, f64)], outcome: f64) {
        self.report_weight /= DECAY;
        if self.report_weight > MAX_REPORT_WEIGHT {
            self.rescale();
        }
        let size = self.outcomes.len();
        for (row, left) in inputs {
            let left = left * self.report_weight;
            for (column, right) in inputs {
                self.products[row * size + column] += left * right;
            }
            self.outcomes[*row] += left * outcome;
        }
    }

    fn rescale(&mut self) {
        let factor = 1.0 / self.report_weight;
        self.products.iter_mut().for_each(|sum| *sum *= factor);
        self.outcomes.iter_mut().for_each(|sum| *sum *= factor);
        self.report_weight = 1.0;
    }

    /// Solves the normal equations of the first `size` columns with the prior by Gaussian
    /// elimination.
    pub(super) fn solve(&mut self, size: usize) {
        let stride = self.outcomes.len();
        let unit = 1.0 / self.report_weight;
        let mut rows: Vec<f64> = (0..size)
            .flat_map(|row| &self.products[row * stride..row * stride + size])
            .map(|sum| sum * unit)
            .collect();
        let mut values: Vec<f64> = self.outcomes[..size].iter().map(|sum| sum * unit).collect();
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
