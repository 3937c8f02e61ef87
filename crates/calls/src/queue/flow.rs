//! Calls of one team and one urgency.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;
use sycamorerill_core::model::Urgency;

use super::history::History;

/// Unit of a flow's tag, for one call of weight one.
const TAG_UNIT: u64 = 1 << 20;
/// Lowest rate that is in profile, in calls per millisecond.
const MIN_RATE: f64 = 0.001;

/// Place of a flow in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowId(pub(crate) u32);

/// What is declared for a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Profile {
    /// Weight of the team.
    pub(crate) weight: u32,
    /// Rate that is in profile whatever the history, in calls per millisecond.
    pub(crate) declared: f64,
}

/// Where a flow with waiting calls is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    InProfile,
    Beyond,
}

#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) urgency: Urgency,
    pub(crate) profile: Profile,
    pub(crate) waiting: BTreeMap<u64, CallId>,
    pub(crate) place: Option<Place>,
    /// Instant at which the flow would be exactly at its rate.
    pub(crate) due: Time,
    /// Progress beyond the profile, in which weights count.
    pub(crate) tag: u64,
    pub(crate) usual: History,
    pub(crate) served: History,
}

impl Flow {
    pub(crate) fn new(urgency: Urgency, profile: Profile) -> Self {
        Self {
            urgency,
            profile,
            waiting: BTreeMap::new(),
            place: None,
            due: Time::ZERO,
            tag: 0,
            usual: History::default(),
            served: History::default(),
        }
    }

    /// Returns the rate up to which the flow is in profile, in calls per millisecond.
    pub(crate) fn rate(&self, calm_ms: f64, memory_ms: f64, headroom: f64) -> f64 {
        let usual = self.usual.rate(calm_ms, memory_ms) * headroom;
        usual.max(self.profile.declared).max(MIN_RATE)
    }

    /// Moves the flow's due instant on by one call at `rate` calls per millisecond.
    pub(crate) fn advance(&mut self, now: Time, rate: f64) {
        self.due = self.due.max(now) + Span::from_ms_f64(1.0 / rate);
    }

    /// Moves the flow's tag on by one call beyond the profile; returns where it began.
    pub(crate) fn advance_tag(&mut self, reached: u64) -> u64 {
        let weight = u64::from(self.profile.weight.max(1));
        let weight = weight * (1 + self.urgency as u64);
        let begin = self.tag.max(reached);
        self.tag = begin + TAG_UNIT / weight;
        begin
    }
}
