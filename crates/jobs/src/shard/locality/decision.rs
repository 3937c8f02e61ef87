//! How long a task waits for a place near its data or its group, by expected cost.

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

/// Cost of a missed objective, in run times. A job that misses it keeps 15% of its value.
const LATE_COST: f64 = 2.0;
/// Delay beyond the slack from which the objective counts as missed, in run times; the cost rises
/// up to there, as the slack follows from estimates.
const LATE_RAMP: f64 = 0.25;
/// Fraction of the cost of the far place that a wait must save. Without it, errors of the inputs
/// let tasks wait for gains too small to notice.
const MIN_SAVING: f64 = 0.1;
/// Power of the load in the probability that a task has to wait for room. With many executors
/// that is small until nearly all of them are full.
const LOAD_POWER: i32 = 6;
/// Upper bound on the delay of other tasks by a millisecond of processor time that a far run takes
/// in addition, where executors are full.
const MAX_CONGESTION: f64 = 4.0;
/// Part of the cost of a far place that waits may take in all, so that a wait that fails costs less
/// than half as much again.
const LONGEST_WAIT: f64 = 0.5;
/// Probabilities that the near place becomes free early, as expected and late.
const OUTCOMES: [f64; 3] = [0.25, 0.5, 0.25];

data! {
    /// What the decision on a wait for a near place follows from.
    #[derive(Copy)]
    pub struct WaitInputs {
        /// Expected run time at a near place.
        pub run: Span,
        /// Factor on the run time at a far place.
        pub penalty: f64,
        /// Expected time until a near place is free for this task; `None` if none will be.
        pub expected: Option<Span>,
        /// Relative error of that time.
        pub error: f64,
        /// Probability that the task gets the place once it is free.
        pub success: f64,
        /// Time by which the job would meet its objective if the task ran near now; `None` if it
        /// has no objective.
        pub slack: Option<Span>,
        /// Part of the processor time of the service that is in use, 0 to 1. A far run takes more of
        /// it, which delays others.
        pub load: f64,
        /// Longest wait that is allowed.
        pub allowance: Span,
        /// Whether the task waits already. A wait that pays little is not begun, but goes on.
        pub is_waiting: bool,
    }
}

/// Choice for a task that has a far place now and no near one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitChoice {
    /// The task runs at the far place.
    Far,
    /// The task waits for a near place, and takes a far one after this time.
    Wait(Span),
}

/// Returns whether a task waits for a near place, and how long at most.
///
/// The near place is taken to become free early, as expected, late or never. Of the waits that end
/// at one of these times, the one with the least expected cost is compared to the far place. The
/// cost is the delay against running near now, and more where the job misses its objective.
pub fn decide_wait(inputs: &WaitInputs) -> WaitChoice {
    let far = far_delay(inputs);
    let Some(expected) = inputs.expected.filter(|_| far > 0.0 && far.is_finite()) else {
        return WaitChoice::Far;
    };
    let error = inputs.error.clamp(0.0, 1.0);
    let releases = [1.0 - error, 1.0, 1.0 + error].map(|factor| expected.as_ms_f64() * factor);
    let saving = if inputs.is_waiting { 0.0 } else { MIN_SAVING };
    let allowance = longest_wait(inputs).as_ms_f64();
    let mut least = cost_of_far(inputs, far, 0.0) * (1.0 - saving);
    let mut choice = WaitChoice::Far;
    for limit in releases.map(|release| release.min(allowance)) {
        let found = cost_of_wait(inputs, far, &releases, limit);
        if limit > 0.0 && found < least {
            least = found;
            choice = WaitChoice::Wait(Span::from_ms_f64(limit).min(inputs.allowance));
        }
    }
    choice
}

/// Returns the expected cost of a wait of at most `limit` milliseconds.
fn cost_of_wait(inputs: &WaitInputs, far: f64, releases: &[f64; 3], limit: f64) -> f64 {
    let success = inputs.success.clamp(0.0, 1.0);
    let gives_up = cost_of_far(inputs, far, limit);
    let of_release = |(release, probability): (&f64, f64)| {
        let near = if *release <= limit { cost(inputs, *release) } else { gives_up };
        near * probability * success
    };
    let with_place: f64 = releases.iter().zip(OUTCOMES).map(of_release).sum();
    with_place + gives_up * (1.0 - success)
}

/// Returns the longest time for which a task may wait in all.
pub(super) fn longest_wait(inputs: &WaitInputs) -> Span {
    let cost = cost_of_far(inputs, far_delay(inputs), 0.0);
    inputs.allowance.min(Span::from_ms_f64(cost * LONGEST_WAIT))
}

/// Returns by how much a far run is longer, in milliseconds.
fn far_delay(inputs: &WaitInputs) -> f64 {
    inputs.run.as_ms_f64() * (inputs.penalty - 1.0)
}

/// Returns the cost of a far run after a wait, with what it costs others.
fn cost_of_far(inputs: &WaitInputs, far: f64, waited: f64) -> f64 {
    cost(inputs, waited + far) + far * congestion(inputs)
}

/// Returns the delay of others by a millisecond of processor time, which grows as a queue does as
/// the load comes near to 1.
fn congestion(inputs: &WaitInputs) -> f64 {
    let load = inputs.load.clamp(0.0, 1.0);
    (load.powi(LOAD_POWER) / (1.0 - load)).min(MAX_CONGESTION)
}

/// Returns the cost of a delay in milliseconds.
fn cost(inputs: &WaitInputs, delay: f64) -> f64 {
    let run = inputs.run.as_ms_f64().max(1.0);
    let late = inputs.slack.map_or(0.0, |slack| (delay - slack.as_ms_f64()) / (LATE_RAMP * run));
    delay + LATE_COST * run * late.clamp(0.0, 1.0)
}
