//! What the callers counted.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use sycamorerill_core::api::Failure;
use sycamorerill_core::clock::Span;

use super::outcome::{Ended, Outcome};

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// What one caller counted.
pub(super) struct Tally {
    pub(super) broken: u64,
    pub(super) failed_callers: u64,
    sent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    untold: u64,
    wrong_answer: u64,
    missed: u64,
    overstated: u64,
    steady_sent: u64,
    steady_answered: u64,
    /// Calls that were told that they did not run.
    told_not_run: Vec<String>,
    reasons: BTreeMap<String, u64>,
    latency: Option<Histogram<u64>>,
    steady_latency: Option<Histogram<u64>>,
}

/// What all callers counted together.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Calls {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) wrong_answer: u64,
    /// Calls whose callers were told no outcome by any instance.
    pub(crate) untold: u64,
    /// Sendings whose connection broke; the caller sent again.
    pub(crate) broken: u64,
    /// Part of the steady load that was answered, in percent.
    pub(crate) steady_answered_percent: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// 99th percentile of the steady load alone.
    pub(crate) steady_p99_ms: f64,
    /// Calls without an answer, by outcome and reason.
    pub(crate) reasons: BTreeMap<String, u64>,
    /// Calls that missed the target as the callers saw it.
    #[serde(skip)]
    pub(crate) missed: u64,
    /// Answers whose stated time was longer than the caller's own.
    #[serde(skip)]
    pub(crate) overstated: u64,
    #[serde(skip)]
    pub(crate) failed_callers: u64,
    #[serde(skip)]
    pub(crate) told_not_run: Vec<String>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            broken: 0,
            failed_callers: 0,
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            untold: 0,
            wrong_answer: 0,
            missed: 0,
            overstated: 0,
            steady_sent: 0,
            steady_answered: 0,
            told_not_run: Vec::new(),
            reasons: BTreeMap::new(),
            latency: histogram(),
            steady_latency: histogram(),
        }
    }
}

impl Tally {
    /// Counts a call that has ended.
    pub(super) fn note(&mut self, within: Span, id: &str, flood: bool, ended: Ended) {
        self.sent += 1;
        self.steady_sent += u64::from(!flood);
        let Some(told) = ended.told else {
            self.untold += 1;
            self.missed += 1;
            return;
        };
        match told.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.steady_answered += u64::from(!flood);
                self.wrong_answer += u64::from(!told.body.ends_with(id));
                self.note_latency(flood, ended.took);
            }
            Outcome::NotRun => {
                self.not_run += 1;
                self.told_not_run.push(id.to_owned());
                self.note_reason("not-run", flood, &told.body);
            }
            Outcome::Unknown => {
                self.unknown += 1;
                self.note_reason("unknown", flood, &told.body);
            }
        }
        let stated = told.stated_ms.unwrap_or(f64::MAX);
        let took = ended.took.as_secs_f64() * 1_000.0;
        let late = stated > within.as_ms_f64();
        self.missed += u64::from(late || told.outcome != Outcome::Answered);
        self.overstated += u64::from(stated > took);
    }

    fn note_latency(&mut self, flood: bool, took: Duration) {
        let us = u64::try_from(took.as_micros()).unwrap_or(LONGEST_US);
        if let Some(latency) = &mut self.latency {
            latency.saturating_record(us.max(1));
        }
        if let (Some(latency), false) = (&mut self.steady_latency, flood) {
            latency.saturating_record(us.max(1));
        }
    }

    fn note_reason(&mut self, outcome: &str, flood: bool, body: &str) {
        let failure: Option<Failure> = serde_json::from_str(body).ok();
        let reason = failure.map_or_else(String::new, |failure| failure.error.message);
        let load = if flood { "flood" } else { "steady" };
        *self.reasons.entry(format!("{load} {outcome}: {reason}")).or_default() += 1;
    }

    /// Adds what another caller counted.
    pub(super) fn add(&mut self, other: Self) {
        self.broken += other.broken;
        self.failed_callers += other.failed_callers;
        self.sent += other.sent;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.untold += other.untold;
        self.wrong_answer += other.wrong_answer;
        self.missed += other.missed;
        self.overstated += other.overstated;
        self.steady_sent += other.steady_sent;
        self.steady_answered += other.steady_answered;
        self.told_not_run.extend(other.told_not_run);
        for (reason, number) in other.reasons {
            *self.reasons.entry(reason).or_default() += number;
        }
        add(&mut self.latency, other.latency);
        add(&mut self.steady_latency, other.steady_latency);
    }
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).ok()
}

fn add(all: &mut Option<Histogram<u64>>, one: Option<Histogram<u64>>) {
    if let (Some(all), Some(one)) = (all, one) {
        // Both have the same bounds, so nothing is out of range.
        let _ = all.add(one);
    }
}

fn quantile_ms(latency: Option<&Histogram<u64>>, quantile: f64) -> f64 {
    let us = latency.map_or(0, |latency| latency.value_at_quantile(quantile));
    us as f64 / 1_000.0
}

impl From<Tally> for Calls {
    fn from(tally: Tally) -> Self {
        let share = tally.steady_answered as f64 / tally.steady_sent.max(1) as f64;
        Self {
            p50_ms: quantile_ms(tally.latency.as_ref(), 0.5),
            p99_ms: quantile_ms(tally.latency.as_ref(), 0.99),
            p999_ms: quantile_ms(tally.latency.as_ref(), 0.999),
            steady_p99_ms: quantile_ms(tally.steady_latency.as_ref(), 0.99),
            reasons: tally.reasons,
            steady_answered_percent: (share * 10_000.0).round() / 100.0,
            sent: tally.sent,
            answered: tally.answered,
            not_run: tally.not_run,
            unknown: tally.unknown,
            wrong_answer: tally.wrong_answer,
            untold: tally.untold,
            broken: tally.broken,
            missed: tally.missed,
            overstated: tally.overstated,
            failed_callers: tally.failed_callers,
            told_not_run: tally.told_not_run,
        }
    }
}
