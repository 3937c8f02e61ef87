//! Settings of health checks of executors.

use sycamorerill_core::clock::Span;
use sycamorerill_core::rate::Share;

/// Thresholds for ejecting, probing and readmitting an executor.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Latency, as a multiple of the mean of the service, above which an executor is ejected.
    pub outlier_ratio: f64,
    /// Number of answers before the latency or errors of an executor may eject it.
    pub min_samples: u32,
    /// Number of consecutive failures that eject an executor.
    pub max_failures: u32,
    /// Largest share of the executors that may be ejected because of latency, errors or lost
    /// answers.
    pub max_ejected: Share,
    /// Time from an ejection to the first probe; doubles with each consecutive ejection.
    pub backoff: Span,
    /// Upper bound of `backoff` after doubling.
    pub max_backoff: Span,
    /// Time between two probes of an ejected executor.
    pub probe_interval: Span,
    /// Number of consecutive successful probes before an executor receives calls again.
    pub good_probes: u32,
    /// Initial limit of concurrent calls on a new executor; each good answer raises it by one.
    pub start_slots: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            outlier_ratio: 3.0,
            min_samples: 8,
            max_failures: 3,
            max_ejected: Share::new(0.34),
            backoff: Span::from_secs(1),
            max_backoff: Span::from_secs(60),
            probe_interval: Span::from_ms(250),
            good_probes: 2,
            start_slots: 2,
        }
    }
}
