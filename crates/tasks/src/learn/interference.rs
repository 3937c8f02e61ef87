//! A model of how much tasks of one class slow down another on the same worker.
//!
//! The slowdown of a task is 1 plus the sum, over the classes on the worker, of an
//! effect times the fraction of the worker's cores that the class uses. The effect
//! of each pair of classes has a mean and a variance, updated as in a Kalman filter:
//! the error of a measurement is distributed over the pairs by their variance. The
//! variance grows with time, so that estimates follow interference that changes
//! with load.

use std::collections::{BTreeMap, VecDeque};

use sycamorerill_core::clock::Time;
use sycamorerill_core::size::Cpu;

use crate::cell::key;

/// Mean effect of a pair of classes without measurements.
const DEFAULT_EFFECT: f64 = 0.2;
/// Variance of the effect of a pair without measurements, and its upper limit.
const DEFAULT_VARIANCE: f64 = 0.25;
/// Growth of the variance of an effect per second.
const VARIANCE_PER_SECOND: f64 = 0.0005;
/// Variance of one measurement, relative to the square of the slowdown.
const MEASUREMENT_VARIANCE: f64 = 0.01;
/// Largest number of mixes kept for one worker.
const MAX_MIXES: usize = 16;

/// Fraction of a worker's cores used by each class, sorted by class.
pub(crate) type Mix = Vec<(key::Class, f64)>;

/// Recent mixes of one worker with the instants at which they began.
#[derive(Clone, Debug, Default)]
pub(crate) struct MixHistory {
    entries: VecDeque<(Time, Mix)>,
}

impl MixHistory {
    /// Records the mix that begins at `now`; does nothing if it equals the current one.
    pub(crate) fn record(&mut self, now: Time, mix: Mix) {
        if self.entries.back().is_some_and(|(_, last)| *last == mix) {
            return;
        }
        if self.entries.len() == MAX_MIXES {
            self.entries.pop_front();
        }
        self.entries.push_back((now, mix));
    }

    /// Returns the mix that was current at `time`, if it is still recorded.
    pub(crate) fn at(&self, time: Time) -> Option<&Mix> {
        let found = self.entries.iter().rev().find(|(since, _)| *since <= time);
        found.map(|(_, mix)| mix)
    }

    /// Returns the current mix.
    pub(crate) fn current(&self) -> Option<&Mix> {
        self.entries.back().map(|(_, mix)| mix)
    }
}

/// Adds a fraction of the cores for `class` to a mix.
pub(crate) fn add_to_mix(mix: &mut Mix, class: key::Class, part: f64) {
    match mix.binary_search_by_key(&class, |(class, _)| *class) {
        Ok(at) => mix[at].1 += part,
        Err(at) => mix.insert(at, (class, part)),
    }
}

/// Returns `cpu` as a fraction of `whole`.
pub(crate) fn core_fraction(cpu: Cpu, whole: Cpu) -> f64 {
    cpu.0 as f64 / whole.0.max(1) as f64
}

#[derive(Clone, Copy, Debug)]
struct Effect {
    mean: f64,
    variance: f64,
    at: Time,
}

impl Effect {
    fn aged(self, now: Time) -> Self {
        let seconds = now.since(self.at).as_ms_f64() / 1_000.0;
        let variance = (self.variance + VARIANCE_PER_SECOND * seconds).min(DEFAULT_VARIANCE);
        Self { variance, at: now.max(self.at), ..self }
    }
}

/// The effect of each class on each other one.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterferenceModel {
    effects: BTreeMap<(key::Class, key::Class), Effect>,
}

impl InterferenceModel {
    fn effect(&self, class: key::Class, other: key::Class, now: Time) -> Effect {
        match self.effects.get(&(class, other)) {
            Some(effect) => effect.aged(now),
            None => Effect { mean: DEFAULT_EFFECT, variance: DEFAULT_VARIANCE, at: now },
        }
    }

    /// Updates the effects on `class` by a slowdown measured for one of its tasks in `mix`.
    pub(crate) fn observe(&mut self, class: key::Class, mix: &Mix, slowdown: f64, now: Time) {
        if !slowdown.is_finite() || slowdown < 1.0 {
            return;
        }
        let effects: Vec<Effect> =
            mix.iter().map(|(other, _)| self.effect(class, *other, now)).collect();
        let terms = || effects.iter().zip(mix).map(|(effect, (_, part))| (effect, *part));
        let expected = 1.0 + terms().map(|(effect, part)| effect.mean * part).sum::<f64>();
        let model_variance: f64 = terms().map(|(effect, part)| effect.variance * part * part).sum();
        let error = slowdown - expected;
        let total = model_variance + MEASUREMENT_VARIANCE * slowdown * slowdown;
        for (effect, (other, part)) in effects.iter().zip(mix) {
            let gain = effect.variance * part / total;
            let mean = (effect.mean + gain * error).max(0.0);
            let variance = effect.variance * (1.0 - gain * part);
            self.effects.insert((class, *other), Effect { mean, variance, at: now });
        }
    }

    /// Returns the mean effect of `other` on `class`.
    pub(crate) fn mean(&self, class: key::Class, other: key::Class, now: Time) -> f64 {
        self.effect(class, other, now).mean
    }

    /// Returns the mean and the standard deviation of the slowdown of `class` in `mix`.
    pub(crate) fn expected_slowdown(&self, class: key::Class, mix: &Mix, now: Time) -> (f64, f64) {
        let mut mean = 1.0;
        let mut variance = 0.0;
        for (other, part) in mix {
            let effect = self.effect(class, *other, now);
            mean += effect.mean * part;
            variance += effect.variance * part * part;
        }
        (mean, variance.sqrt())
    }
}
