//! Settings of a queue.

use sycamorerill_core::clock::Span;

/// Settings that bound and order the waiting calls.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time constant of the baseline rate of a flow.
    pub baseline_window: Span,
    /// Multiple of its baseline rate up to which a flow is in profile.
    pub headroom: f64,
    /// Largest time by which a flow may be ahead of its rate and still be in profile.
    pub burst: Span,
    /// Interval, in calls, at which the most overdue flow in profile is served regardless of
    /// its urgency.
    pub fairness_interval: u64,
    /// Largest expected time in the queue, as a share of the longest time that a call could
    /// wait before its deadline.
    pub max_wait_share: f64,
    /// Time for which the service counts as saturated after a refusal or an expired call;
    /// baseline rates are not updated during it.
    pub saturation_hold: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            baseline_window: Span::from_secs(30),
            headroom: 1.25,
            burst: Span::from_ms(200),
            fairness_interval: 16,
            max_wait_share: 0.5,
            saturation_hold: Span::from_secs(1),
        }
    }
}
