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

/// Most filling images told apart; further ones share the last place.
const IMAGES: usize = 24;
/// Inputs besides those of filling images: tasks that neither fill nor serve.
const FIXED: usize = 1;
/// Weight of a filling image before anything is known.
const PRIOR_WEIGHT: f64 = 1.0;
/// How much the prior counts, in squared shares: five reports of a tenth.
const PRIOR_STRENGTH: f64 = 0.05;
/// Part of the older reports that each new one leaves.
const KEEP: f64 = 0.999;
/// Time between two solutions.
const SOLVE_EVERY: Span = Span::from_ms(150);
/// Largest weight that is believed.
const MOST_WEIGHT: f64 = 12.0;
/// Load of a job's users before anything is known.
const PRIOR_LOAD: f64 = 0.45;
/// Part of a report in what is thought of the load of a job.
const FOLLOW: f64 = 0.35;
/// Part of a wrong expectation by which the slope of a load is turned, a second.
const TURN: f64 = 0.25;
/// Time in seconds within which a report turns the slope only in part.
const TURN_WITHIN: f64 = 0.4;
/// Steepest slope of a load that is believed, a second.
const MOST_SLOPE: f64 = 0.12;
/// Longest time for which a slope is trusted without a report.
const LOOK_AHEAD: Span = Span::from_ms(1_500);
/// Pressure at which a report says half as much of the load.
const MUDDLED: f64 = 0.08;
/// Tail at rest over objective before any tail was seen.
const PRIOR_REST: f64 = 0.2;
/// Part of the lowest tail seen that the tail at rest is at most.
const REST_BELOW: f64 = 0.9;
/// Busiest share that a tail is read as; beyond, tails say only that they are long.
const MOST_BUSY: f64 = 0.96;

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
    places: BTreeMap<Image, usize>,
    /// Places of serving images among the fits.
    serving: BTreeMap<Image, usize>,
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
    rest: f64,
    /// Sums of products of inputs, by rows.
    products: Vec<f64>,
    /// Sums of inputs times outcome.
    outcomes: Vec<f64>,
    weights: Vec<f64>,
    /// Weights before anything is seen.
    prior: Vec<f64>,
    solved: Time,
}

/// What is learned, as recorded for a successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lesson {
    /// By serving image.
    pub serving: BTreeMap<Image, Pressed>,
}

/// What is learned of one serving image, as recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pressed {
    /// Tail at rest over objective.
    pub rest: f64,
    /// Weights by filling image.
    pub weights: BTreeMap<Image, f64>,
}

impl Model {
    /// Returns what is learned.
    pub(super) fn lesson(&self) -> Lesson {
        let record = |fit: &Fit| Pressed {
            rest: fit.rest,
            weights: self.places.iter().map(|(i, p)| (i.clone(), round(fit.weights[*p]))).collect(),
        };
        let record = |(image, at): (&Image, &usize)| (image.clone(), record(&self.fits[*at]));
        Lesson { serving: self.serving.iter().map(record).collect() }
    }

    /// Starts from what a predecessor learned.
    pub(super) fn start_from(&mut self, lesson: Lesson) {
        for (image, pressed) in lesson.serving {
            let places: Vec<(usize, f64)> = pressed
                .weights
                .iter()
                .map(|(image, weight)| (self.place(image), *weight))
                .collect();
            let fit = self.fit(&image);
            fit.rest = pressed.rest;
            for (place, weight) in places {
                fit.prior[place] = weight;
                fit.weights[place] = weight;
            }
        }
    }

    /// Takes one report.
    pub(super) fn learn(&mut self, now: Time, sample: &Sample, shares: &Shares, others: f64) {
        let mut inputs = vec![0.0; FIXED + IMAGES];
        inputs[0] = others;
        for (image, share) in shares {
            inputs[self.place(image)] += share;
        }
        let at = self.fit_number(&sample.image);
        let fit = &mut self.fits[at];
        fit.rest = fit.rest.min(sample.ratio * REST_BELOW);
        let busy = fit.busy(sample.ratio);
        let pressed = fit.pressed(&inputs);
        let load = self.loads.entry(sample.job).or_insert(Load::new(now));
        if shares.values().sum::<f64>() > 0.0 {
            fit.add(&inputs, busy - load.after(now, Span::ZERO));
            if now.since(fit.solved) >= SOLVE_EVERY {
                fit.solve();
                fit.solved = now;
            }
        }
        let clear = 1.0 / (1.0 + (pressed / MUDDLED).powi(2));
        load.follow(now, busy - pressed, clear);
    }

    fn place(&mut self, image: &Image) -> usize {
        let next = FIXED + self.places.len().min(IMAGES - 1);
        *self.places.entry(image.clone()).or_insert(next)
    }

    fn fit_number(&mut self, image: &Image) -> usize {
        let next = self.fits.len();
        let at = *self.serving.entry(image.clone()).or_insert(next);
        if at == next {
            self.fits.push(Fit::new());
        }
        at
    }

    fn fit(&mut self, image: &Image) -> &mut Fit {
        let at = self.fit_number(image);
        &mut self.fits[at]
    }

    /// Returns the place of a serving image, where it is known.
    pub(super) fn serving_place(&self, image: &Image) -> Option<usize> {
        self.serving.get(image).copied()
    }

    /// Returns the place of a filling image, where it is known.
    pub(super) fn filling_place(&self, image: &Image) -> Option<usize> {
        self.places.get(image).copied()
    }

    /// Returns by how much a share of 1 of a filling image makes a serving one busier.
    pub(super) fn weight(&self, serving: &Image, filling: &Image) -> f64 {
        self.weight_at(self.serving_place(serving), self.filling_place(filling))
    }

    /// Returns the same by the places of the images; none stands for one not known.
    pub(super) fn weight_at(&self, serving: Option<usize>, filling: Option<usize>) -> f64 {
        match (serving, filling) {
            (Some(at), Some(place)) => self.fits[at].weights[place].clamp(0.0, MOST_WEIGHT),
            _ => PRIOR_WEIGHT,
        }
    }

    /// Returns how busy a serving task is whose tail over objective is `ratio`.
    pub(super) fn busy(&self, serving: &Image, ratio: f64) -> f64 {
        let rest = self.serving_place(serving).map_or(PRIOR_REST, |at| self.fits[at].rest);
        busy(rest, ratio)
    }

    /// Returns the load of a job's own users that is expected `ahead` of now.
    pub(super) fn load(&self, now: Time, job: JobId, ahead: Span) -> f64 {
        self.loads.get(&job).map_or(PRIOR_LOAD, |load| load.after(now, ahead))
    }

    /// Forgets a job.
    pub(super) fn forget(&mut self, job: JobId) {
        self.loads.remove(&job);
    }
}

/// Rounds a weight to what is worth recording.
fn round(weight: f64) -> f64 {
    (weight * 1_000.0).round() / 1_000.0
}

/// Returns how busy a task is from its tails at rest and now, both over its objective.
fn busy(rest: f64, ratio: f64) -> f64 {
    (1.0 - rest / ratio.max(rest)).min(MOST_BUSY)
}

impl Load {
    const fn new(now: Time) -> Self {
        Self { level: PRIOR_LOAD, slope: 0.0, at: now }
    }

    /// Returns the load that is expected `ahead` of now.
    fn after(&self, now: Time, ahead: Span) -> f64 {
        let passed = (now.since(self.at).min(LOOK_AHEAD) + ahead).as_ms_f64() / 1_000.0;
        (self.level + self.slope * passed).clamp(0.0, MOST_BUSY)
    }

    /// Takes a load as seen; `clear` tells how much it says, from 0 to 1.
    fn follow(&mut self, now: Time, seen: f64, clear: f64) {
        let passed = now.since(self.at).min(LOOK_AHEAD).as_ms_f64() / 1_000.0;
        let wrong = seen - self.after(now, Span::ZERO);
        self.level = self.after(now, Span::ZERO) + FOLLOW * clear * wrong;
        self.slope += TURN * clear * wrong * passed.min(TURN_WITHIN) / TURN_WITHIN;
        self.slope = self.slope.clamp(-MOST_SLOPE, MOST_SLOPE);
        self.at = now;
    }
}

impl Fit {
    fn new() -> Self {
        let size = FIXED + IMAGES;
        let mut weights = vec![PRIOR_WEIGHT; size];
        weights[..FIXED].fill(0.0);
        Self {
            rest: PRIOR_REST,
            products: vec![0.0; size * size],
            outcomes: vec![0.0; size],
            prior: weights.clone(),
            weights,
            solved: Time::ZERO,
        }
    }

    fn busy(&self, ratio: f64) -> f64 {
        busy(self.rest, ratio)
    }

    /// Returns what the inputs add to the busy share.
    fn pressed(&self, inputs: &[f64]) -> f64 {
        let pairs = inputs.iter().zip(&self.weights);
        pairs.map(|(input, weight)| input * weight.clamp(0.0, MOST_WEIGHT)).sum()
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
            let prior = self.prior[place];
            rows[place * size + place] += PRIOR_STRENGTH;
            values[place] += PRIOR_STRENGTH * prior;
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
