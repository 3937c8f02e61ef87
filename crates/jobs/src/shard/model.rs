//! How much tasks that fill press on tasks that serve, learned by pairs of images.
//!
//! For each serving image the logarithm of tail over objective is taken as a sum: what
//! it is alone, and for each filling image the share of the executor's processors that
//! it uses times a weight. The weights follow from least squares over recent reports,
//! in which older ones count for less.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use crate::id::Image;

/// Most filling images told apart; further ones share the last place.
const IMAGES: usize = 24;
/// Inputs besides those of filling images: a constant and the other tasks.
const FIXED: usize = 2;
/// Logarithm of tail over objective of an image alone, before anything is known.
const PRIOR_ALONE: f64 = -0.9;
/// Weight of a filling image before anything is known.
const PRIOR_WEIGHT: f64 = 2.0;
/// How much the prior counts, in the unit of squared shares: ten reports of a tenth.
const PRIOR_STRENGTH: f64 = 0.06;
/// How much the prior of the constant counts, in reports.
const PRIOR_REPORTS: f64 = 4.0;
/// Part of the older reports that each new one leaves.
const KEEP: f64 = 0.999;
/// Time between two solutions.
const SOLVE_EVERY: Span = Span::from_ms(150);
/// Largest weight that is believed.
const MOST_WEIGHT: f64 = 20.0;

/// Shares of an executor's processors in use, by filling image.
pub(super) type Shares = BTreeMap<Image, f64>;

/// What is learned of all images.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    /// Places of filling images among the inputs.
    places: BTreeMap<Image, usize>,
    serving: BTreeMap<Image, Fit>,
}

/// What is learned of one serving image.
#[derive(Clone, Debug)]
struct Fit {
    /// Sums of products of inputs, by rows.
    products: Vec<f64>,
    /// Sums of inputs times outcome.
    outcomes: Vec<f64>,
    weights: Vec<f64>,
    solved: Time,
}

impl Model {
    /// Takes one report: `ratio` is tail over objective of a serving image.
    pub(super) fn learn(
        &mut self,
        now: Time,
        serving: &Image,
        ratio: f64,
        shares: &Shares,
        others: f64,
    ) {
        let mut inputs = vec![0.0; FIXED + IMAGES];
        inputs[0] = 1.0;
        inputs[1] = others;
        for (image, share) in shares {
            inputs[self.place(image)] += share;
        }
        let fit = self.serving.entry(serving.clone()).or_insert_with(Fit::new);
        fit.add(&inputs, ratio.max(0.01).ln());
        if now.since(fit.solved) >= SOLVE_EVERY {
            fit.solve();
            fit.solved = now;
        }
    }

    fn place(&mut self, image: &Image) -> usize {
        let next = FIXED + self.places.len().min(IMAGES - 1);
        *self.places.entry(image.clone()).or_insert(next)
    }

    /// Returns by how much a share of 1 of a filling image raises the logarithm of a
    /// serving image's tail.
    pub(super) fn weight(&self, serving: &Image, filling: &Image) -> f64 {
        let place = self.places.get(filling);
        match (self.serving.get(serving), place) {
            (Some(fit), Some(place)) => fit.weights[*place].clamp(0.0, MOST_WEIGHT),
            _ => PRIOR_WEIGHT,
        }
    }

    /// Returns the logarithm of tail over objective of a serving image alone.
    pub(super) fn alone(&self, serving: &Image) -> f64 {
        self.serving.get(serving).map_or(PRIOR_ALONE, |fit| fit.weights[0])
    }
}

impl Fit {
    fn new() -> Self {
        let size = FIXED + IMAGES;
        let mut fit = Self {
            products: vec![0.0; size * size],
            outcomes: vec![0.0; size],
            weights: vec![PRIOR_WEIGHT; size],
            solved: Time::ZERO,
        };
        fit.weights[0] = PRIOR_ALONE;
        fit
    }

    fn add(&mut self, inputs: &[f64], outcome: f64) {
        let size = inputs.len();
        for (row, left) in inputs.iter().enumerate() {
            for (column, right) in inputs.iter().enumerate() {
                let sum = &mut self.products[row * size + column];
                *sum = *sum * KEEP + left * right;
            }
            self.outcomes[row] = self.outcomes[row] * KEEP + left * outcome;
        }
    }

    /// Solves the normal equations with the prior, by elimination.
    fn solve(&mut self) {
        let size = self.outcomes.len();
        let mut rows = self.products.clone();
        let mut values = self.outcomes.clone();
        for place in 0..size {
            let (strength, prior) = match place {
                0 => (PRIOR_REPORTS, PRIOR_ALONE),
                1 => (PRIOR_STRENGTH, 0.0),
                _ => (PRIOR_STRENGTH, PRIOR_WEIGHT),
            };
            rows[place * size + place] += strength;
            values[place] += strength * prior;
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
