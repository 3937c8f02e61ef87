//! Outcomes of calls as a caller receives them.

use std::time::Duration;

/// Result of one attempt to send a call.
#[derive(Clone, Debug)]
pub(super) enum SendResult {
    /// The instance answered with an outcome.
    Response(Response),
    /// The call was not sent because no instance listens at the address.
    NotSent,
    /// The attempt failed after the call may have been sent.
    Broken,
}

/// A response of an entry instance to a call.
#[derive(Clone, Debug)]
pub(super) struct Response {
    /// Outcome that the response states.
    pub(super) outcome: Outcome,
    /// Complete body.
    pub(super) body: String,
    /// Milliseconds since the call was first sent, according to the entry instance.
    pub(super) stated_ms: Option<f64>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The endpoint answered, to this or to an earlier attempt.
    Answered,
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// A call that the caller has finished.
#[derive(Clone, Debug)]
pub(super) struct CompletedCall {
    /// Response with the outcome, or none if the call timed out.
    pub(super) response: Option<Response>,
    /// Time since the call was first sent, measured by the caller.
    pub(super) elapsed: Duration,
}
