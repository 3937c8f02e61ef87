//! Waiting calls of one service, and which of them goes next.
//!
//! A flow is the calls of one team and one urgency. What a flow was served while
//! the service was not saturated is its usual rate. Up to that rate, with some
//! headroom, or up to a part of its team's declared share, the flow is in profile.
//! Calls of flows in profile go first, the most urgent ones before the others.
//! What is left goes to the flows beyond their profile by the teams' weights. So a
//! flood of any urgency gets what the usual work leaves, and nothing else.

mod flow;
mod history;
mod order;
mod settings;

pub(crate) use flow::{FlowId, Profile};
pub(crate) use order::{Offer, Queue};
pub use settings::Settings;
