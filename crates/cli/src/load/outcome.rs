//! Outcomes as a caller is told them.

use std::time::Duration;

/// What came of one sending of a call.
#[derive(Clone, Debug)]
pub(super) enum Sending {
    /// The caller was told an outcome.
    Told(Told),
    /// Nothing was sent: no instance listens at the address.
    NotSent,
    /// The connection broke after the call was sent.
    Broken,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub(super) struct Told {
    /// Kind of the outcome.
    pub(super) outcome: Outcome,
    /// Whole body.
    pub(super) body: String,
    /// Time since the first sending, as the entry instance states it.
    pub(super) stated_ms: Option<f64>,
}

/// Kind of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The endpoint's answer, also if it was given to an earlier sending.
    Answered,
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// A call that has come to its end for the caller.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    /// Outcome that was told last, if any was.
    pub(super) told: Option<Told>,
    /// Time since the first sending, by the caller's own clock.
    pub(super) took: Duration,
}
