//! The placement policies that the benchmark compares.

use sycamorerill_core::clock::Span;
use sycamorerill_tasks::cell::{Interference, Placement, Settings};

/// A configuration of placement and interference handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The default settings.
    Learned,
    /// The default settings without hysteresis, budget and throttling: evicts immediately.
    NoHysteresis,
    /// The first worker with room for the declared size.
    FirstFit,
    /// The worker with the most free processor time and room for the declared size.
    Spread,
    /// The first worker with room, never with services and batch tasks on the same worker.
    Segregated,
}

impl Policy {
    pub(crate) const ALL: [Self; 5] =
        [Self::Learned, Self::NoHysteresis, Self::FirstFit, Self::Spread, Self::Segregated];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Learned => "learned",
            Self::NoHysteresis => "no-hysteresis",
            Self::FirstFit => "first-fit",
            Self::Spread => "spread",
            Self::Segregated => "never-colocate",
        }
    }

    pub(crate) fn settings(self) -> Settings {
        let interference_off = Interference { enabled: false, ..Interference::default() };
        let plain = |placement| Settings {
            placement,
            interference: interference_off.clone(),
            reclaim_enabled: false,
            low_urgency_headroom: 0.0,
            ..Settings::default()
        };
        match self {
            Self::Learned => Settings::default(),
            Self::NoHysteresis => {
                Settings { interference: without_hysteresis(), ..Settings::default() }
            }
            Self::FirstFit => plain(Placement::FirstFit),
            Self::Spread => plain(Placement::Spread),
            Self::Segregated => plain(Placement::Segregated),
        }
    }
}

fn without_hysteresis() -> Interference {
    let steps = Interference::default();
    Interference {
        release_fraction: steps.throttle_fraction,
        confirming_reports: 1,
        step_interval: Span::ZERO,
        release_delay: Span::ZERO,
        throttle_shares: Vec::new(),
        eviction_budget_enabled: false,
        stop_slowdown: 0.0,
        ..steps
    }
}
