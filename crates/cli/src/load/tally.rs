//! Counters of the callers.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use sycamorerill_core::api::Failure;
use sycamorerill_core::clock::Span;

use super::outcome::{CompletedCall, Outcome};

/// Largest latency in the histogram, in microseconds; longer ones count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters of one caller.
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
    /// Identities of calls that ended with the outcome "not run".
    told_not_run: Vec<String>,
    reasons: BTreeMap<String, u64>,
    latency: Option<Histogram<u64>>,
    steady_latency: Option<Histogram<u64>>,
}

/// Counters of all callers together.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Calls {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) wrong_answer: u64,
    /// Calls that timed out without an outcome.
    pub(crate) untold: u64,
    /// Attempts that failed after the call may have been sent; the caller retries them.
    pub(crate) broken: u64,
    /// Part of the steady load that was answered, in percent.
    pub(crate) steady_answered_percent: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// 99th percentile of the latencies of the steady load alone.
    pub(crate) steady_p99_ms: f64,
    /// Calls without an answer, by outcome and reason.
    pub(crate) reasons: BTreeMap<String, u64>,
    /// Calls that missed the target: late, or without an answer of the endpoint.
    #[serde(skip)]
    pub(crate) missed: u64,
    /// Responses that state a longer time than the caller measured.
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
    /// Counts a finished call.
    pub(super) fn record(
        &mut self,
        within: Span,
        id: &str,
        is_flood: bool,
        completed: CompletedCall,
    ) {
        self.sent += 1;
        self.steady_sent += u64::from(!is_flood);
        let Some(response) = completed.response else {
            self.untold += 1;
            self.missed += 1;
            return;
        };
        match response.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.steady_answered += u64::from(!is_flood);
                self.wrong_answer += u64::from(!response.body.ends_with(id));
                self.record_latency(is_flood, completed.elapsed);
            }
            Outcome::NotRun => {
                self.not_run += 1;
                self.told_not_run.push(id.to_owned());
                self.count_reason("not-run", is_flood, &response.body);
            }
            Outcome::Unknown => {
                self.unknown += 1;
                self.count_reason("unknown", is_flood, &response.body);
            }
        }
        let stated = response.stated_ms.unwrap_or(f64::MAX);
        let elapsed = completed.elapsed.as_secs_f64() * 1_000.0;
        let late = stated > within.as_ms_f64();
        self.missed += u64::from(late || response.outcome != Outcome::Answered);
        self.overstated += u64::from(stated > elapsed);
    }

    fn record_latency(&mut self, is_flood: bool, elapsed: Duration) {
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(MAX_LATENCY_US);
        if let Some(latency) = &mut self.latency {
            latency.saturating_record(us.max(1));
        }
        if let (Some(latency), false) = (&mut self.steady_latency, is_flood) {
            latency.saturating_record(us.max(1));
        }
    }

    fn count_reason(&mut self, outcome: &str, is_flood: bool, body: &str) {
        let failure: Option<Failure> = serde_json::from_str(body).ok();
        let reason = failure.map_or_else(String::new, |failure| failure.error.message);
        let load = if is_flood { "flood" } else { "steady" };
        *self.reasons.entry(format!("{load} {outcome}: {reason}")).or_default() += 1;
    }

    /// Adds the counters of another caller.
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
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}

fn add(all: &mut Option<Histogram<u64>>, one: Option<Histogram<u64>>) {
    if let (Some(all), Some(one)) = (all, one) {
        // Both histograms have the same bounds, so no value is out of range.
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
