//! Settings of a queue.

use sycamorerill_core::clock::Span;

/// How waiting calls are bounded and ordered.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time over which the usual rate of a flow is learned.
    pub history: Span,
    /// Multiple of its usual rate up to which a flow is in profile.
    pub headroom: f64,
    /// Time by which a flow in profile may be ahead of its rate.
    pub burst: Span,
    /// One in this many calls goes to the flow furthest behind, whatever its urgency.
    pub floor: u64,
    /// Part of the time that a call could wait that its flow's queue may be long.
    pub depth: f64,
    /// Time after a refusal or a long queue in which usual rates are not learned.
    pub saturation: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            history: Span::from_secs(30),
            headroom: 1.25,
            burst: Span::from_ms(200),
            floor: 16,
            depth: 0.5,
            saturation: Span::from_secs(1),
        }
    }
}
