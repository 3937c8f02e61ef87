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
    Apart,
}

impl Policy {
    pub(crate) const ALL: [Self; 5] =
        [Self::Learned, Self::NoHysteresis, Self::FirstFit, Self::Spread, Self::Apart];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Learned => "learned",
            Self::NoHysteresis => "no-hysteresis",
            Self::FirstFit => "first-fit",
            Self::Spread => "spread",
            Self::Apart => "never-colocate",
        }
    }

    pub(crate) fn settings(self) -> Settings {
        let passive = Interference { act: false, ..Interference::default() };
        let plain = |placement| Settings {
            placement,
            interference: passive.clone(),
            reclaim: false,
            headroom: 0.0,
            ..Settings::default()
        };
        match self {
            Self::Learned => Settings::default(),
            Self::NoHysteresis => Settings { interference: eager(), ..Settings::default() },
            Self::FirstFit => plain(Placement::FirstFit),
            Self::Spread => plain(Placement::Spread),
            Self::Apart => plain(Placement::Apart),
        }
    }
}

fn eager() -> Interference {
    let steps = Interference::default();
    Interference {
        relieve: steps.restrict,
        confirm: 1,
        settle: Span::ZERO,
        calm: Span::ZERO,
        shares: Vec::new(),
        budget: false,
        stop: 0.0,
        ..steps
    }
}
