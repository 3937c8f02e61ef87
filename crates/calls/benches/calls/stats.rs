//! Statistics of a run.

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use sycamorerill_core::model::Urgency;

/// Largest time that the histograms can record, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Number of calls offered and answered within the deadline.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallCounts {
    pub(crate) offered: u64,
    pub(crate) answered_in_time: u64,
}

impl CallCounts {
    fn share(self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.answered_in_time as f64 / self.offered as f64 }
    }
}

/// Statistics of one run.
#[derive(Debug)]
pub(crate) struct Stats {
    wait: Histogram<u64>,
    other_wait: Histogram<u64>,
    total: Histogram<u64>,
    key_refusal: Histogram<u64>,
    by_urgency: [CallCounts; 4],
    /// Calls other than those of a flood, before and during the measurement.
    other: [CallCounts; 2],
    offered: u64,
    pub(crate) refused: u64,
    pub(crate) refused_idle: u64,
    pub(crate) unknown: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) forwards: u64,
    pub(crate) appends: u64,
    pub(crate) overcommits: u64,
    pub(crate) ran_twice: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, 3).expect("the bounds are constants that fit")
}

impl Stats {
    pub(crate) fn new() -> Self {
        Self {
            wait: histogram(),
            other_wait: histogram(),
            total: histogram(),
            key_refusal: histogram(),
            by_urgency: [CallCounts::default(); 4],
            other: [CallCounts::default(); 2],
            offered: 0,
            refused: 0,
            refused_idle: 0,
            unknown: 0,
            messages: 0,
            bytes: 0,
            forwards: 0,
            appends: 0,
            overcommits: 0,
            ran_twice: 0,
        }
    }

    pub(crate) fn record_offer(&mut self, urgency: Urgency, flood: bool, measured: bool) {
        if !flood {
            self.other[usize::from(measured)].offered += 1;
        }
        if measured {
            self.offered += 1;
            self.by_urgency[urgency as usize].offered += 1;
        }
    }

    pub(crate) fn record_wait(&mut self, ms: f64, flood: bool) {
        self.wait.saturating_record((ms * 1_000.0) as u64);
        if !flood {
            self.other_wait.saturating_record((ms * 1_000.0) as u64);
        }
    }

    pub(crate) fn record_key_refusal(&mut self, ms: f64) {
        self.key_refusal.saturating_record((ms * 1_000.0) as u64);
    }

    pub(crate) fn record_answer(
        &mut self,
        urgency: Urgency,
        flood: bool,
        measured: bool,
        ms: f64,
        in_time: bool,
    ) {
        if measured {
            self.total.saturating_record((ms * 1_000.0) as u64);
        }
        if !in_time {
            return;
        }
        if !flood {
            self.other[usize::from(measured)].answered_in_time += 1;
        }
        if measured {
            self.by_urgency[urgency as usize].answered_in_time += 1;
        }
    }

    /// Records messages between entry instances.
    pub(crate) fn record_messages(&mut self, messages: u64, bytes: u64) {
        self.messages += messages;
        self.bytes += bytes;
    }

    pub(crate) fn line(&self, scenario: &str, policy: &str, seed: u64, seconds: f64) -> Value {
        let ms = |histogram: &Histogram<u64>, quantile: f64| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let rate = |count: u64| (count as f64 / seconds).round();
        let share = |count: u64| round(count as f64 / self.offered.max(1) as f64);
        let goodput: serde_json::Map<String, Value> = Urgency::ALL
            .into_iter()
            .map(|u| {
                (u.as_str().to_owned(), json!(rate(self.by_urgency[u as usize].answered_in_time)))
            })
            .collect();
        let before = self.other[0].share();
        let kept = if before > 0.0 { self.other[1].share() / before } else { 0.0 };
        json!({
            "scenario": scenario, "policy": policy, "seed": seed,
            "wait_p50_ms": ms(&self.wait, 0.5), "wait_p99_ms": ms(&self.wait, 0.99),
            "wait_p999_ms": ms(&self.wait, 0.999),
            "other_wait_p99_ms": ms(&self.other_wait, 0.99),
            "answer_p50_ms": ms(&self.total, 0.5), "answer_p99_ms": ms(&self.total, 0.99),
            "answer_p999_ms": ms(&self.total, 0.999),
            "goodput_per_s": goodput, "other_kept": round(kept),
            "refused": share(self.refused), "refused_idle": share(self.refused_idle),
            "unknown": share(self.unknown), "forwarded": share(self.forwards),
            "peer_messages_per_s": rate(self.messages), "peer_bytes_per_s": rate(self.bytes),
            "appends_per_s": rate(self.appends),
            "key_refusal_p99_ms": ms(&self.key_refusal, 0.99),
            "overcommits": self.overcommits, "ran_twice": self.ran_twice,
        })
    }
}

fn round(share: f64) -> f64 {
    (share * 1e5).round() / 1e5
}
