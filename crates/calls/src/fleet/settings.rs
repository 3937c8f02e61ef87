//! Settings of the health of executors.

use sycamorerill_core::clock::Span;
use sycamorerill_core::rate::Share;

/// When an executor is ejected, probed and taken back.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Latency above this many times the mean of the service ejects an executor.
    pub outlier: f64,
    /// Answers of an executor before its latency or errors may eject it.
    pub min_samples: u32,
    /// Failures in a row that eject an executor.
    pub max_failures: u32,
    /// Largest share of the executors that latency, errors and lost answers eject.
    pub max_ejected: Share,
    /// Time from an ejection to the first probe; doubles with each ejection in a row.
    pub back_off: Span,
    /// Longest time from an ejection to the first probe.
    pub max_back_off: Span,
    /// Time between two probes.
    pub probe_interval: Span,
    /// Good probes in a row before an executor gets calls again.
    pub good_probes: u32,
    /// Calls at a time that a new executor gets at first.
    pub start_slots: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            outlier: 3.0,
            min_samples: 8,
            max_failures: 3,
            max_ejected: Share::new(0.34),
            back_off: Span::from_secs(1),
            max_back_off: Span::from_secs(60),
            probe_interval: Span::from_ms(250),
            good_probes: 2,
            start_slots: 2,
        }
    }
}
