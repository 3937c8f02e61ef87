//! Waiting calls and rates of one team and urgency.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;
use sycamorerill_core::model::Urgency;

use super::rate::DecayingRate;

/// Increment of the tag of a flow for one call at weight one.
const TAG_UNIT: u64 = 1 << 20;
/// Lowest rate of a profile, in calls per millisecond.
const MIN_PROFILE_RATE: f64 = 0.001;

/// Index of a flow in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowId(pub(crate) u32);

/// Weight and rate that the configuration declares for a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Profile {
    /// Weight of the team among the flows that are out of profile.
    pub(crate) weight: u32,
    /// Rate that is in profile regardless of the baseline, in calls per millisecond.
    pub(crate) declared: f64,
}

/// Whether a flow with waiting calls is within its profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conformance {
    InProfile,
    OutOfProfile,
}

#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) urgency: Urgency,
    pub(crate) profile: Profile,
    pub(crate) waiting: BTreeMap<u64, CallId>,
    /// `None` while the flow is not scheduled, as it has no waiting call.
    pub(crate) conformance: Option<Conformance>,
    /// Time at which the next call would arrive if the flow kept exactly to its rate, as in
    /// the generic cell rate algorithm (GCRA).
    pub(crate) theoretical_arrival: Time,
    /// Start tag of the flow among those out of profile, as in start-time fair queueing.
    pub(crate) tag: u64,
    /// Rate of calls sent while the service was not saturated.
    pub(crate) baseline: DecayingRate,
    /// Rate of all calls sent, including those sent under saturation.
    pub(crate) served: DecayingRate,
}

impl Flow {
    pub(crate) fn new(urgency: Urgency, profile: Profile) -> Self {
        Self {
            urgency,
            profile,
            waiting: BTreeMap::new(),
            conformance: None,
            theoretical_arrival: Time::ZERO,
            tag: 0,
            baseline: DecayingRate::default(),
            served: DecayingRate::default(),
        }
    }

    /// Returns the rate up to which the flow is in profile, in calls per millisecond.
    pub(crate) fn profile_rate(
        &self,
        unsaturated_ms: f64,
        time_constant_ms: f64,
        headroom: f64,
    ) -> f64 {
        let baseline = self.baseline.rate(unsaturated_ms, time_constant_ms) * headroom;
        baseline.max(self.profile.declared).max(MIN_PROFILE_RATE)
    }

    /// Advances the theoretical arrival time by one call at `rate` calls per millisecond.
    pub(crate) fn advance_arrival(&mut self, now: Time, rate: f64) {
        self.theoretical_arrival =
            self.theoretical_arrival.max(now) + Span::from_ms_f64(1.0 / rate);
    }

    /// Advances the tag by one call out of profile; returns the start tag of that call.
    ///
    /// The increment is inversely proportional to the weight of the team times the rank of
    /// the urgency.
    pub(crate) fn advance_tag(&mut self, virtual_time: u64) -> u64 {
        let weight = u64::from(self.profile.weight.max(1));
        let weight = weight * (1 + self.urgency as u64);
        let start = self.tag.max(virtual_time);
        self.tag = start + TAG_UNIT / weight;
        start
    }
}
