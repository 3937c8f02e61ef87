//! Queue of the waiting calls of one service.
//!
//! A flow consists of the calls of one team and one urgency. Its baseline rate is the
//! rate at which it was served while the service was not saturated. A flow is in profile
//! up to its baseline rate times a headroom, or up to its part of the declared rate of
//! the service if that is higher.
//!
//! Flows in profile are served first, in order of urgency. The remaining capacity is
//! shared among the flows that are out of profile, by the weights of their teams. A flood
//! of calls therefore gets only the capacity that normal traffic leaves, whatever its
//! urgency.

mod flow;
mod order;
mod rate;
mod settings;

pub(crate) use flow::{FlowId, Profile};
pub(crate) use order::{Limits, Queue};
pub use settings::Settings;
