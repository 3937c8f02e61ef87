//! The policies that are compared.

use sycamorerill_core::clock::Span;
use sycamorerill_tasks::cell::{Interference, Placement, Settings};

/// A way of placing and moving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// What ships.
    Learned,
    /// The same without hysteresis, budget and steps: evicts at once, every time.
    NoHysteresis,
    /// First worker with room for the declared size.
    FirstFit,
    /// Worker with most room for the declared size.
    Spread,
    /// Services and batch work never on one worker, by declared size.
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
        let passive = Interference { enabled: false, ..Interference::default() };
        let plain = |placement| Settings {
            placement,
            interference: passive.clone(),
            reclaim_enabled: false,
            low_urgency_headroom: 0.0,
            ..Settings::default()
        };
        match self {
            Self::Learned => Settings::default(),
            Self::NoHysteresis => Settings { interference: eager(), ..Settings::default() },
            Self::FirstFit => plain(Placement::FirstFit),
            Self::Spread => plain(Placement::Spread),
            Self::Segregated => plain(Placement::Segregated),
        }
    }
}

fn eager() -> Interference {
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
