//! Admission of submitted jobs by what the owner of their shard expects.
//!
//! Load pattern: much of the capacity is lost, or long-running tasks occupy it, while jobs go on
//! arriving at the same rate. A job that would begin after three times its objective has no value
//! to its caller any more. It is refused at once, with the time at which to come back, instead of
//! waiting behind work that nobody needs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::config::Queue;
use crate::id::QueueName;
use crate::spec::Job;

/// Multiple of its objective after which completing a job has no value.
pub(crate) const EXPIRY_FACTOR: u64 = 3;
/// Milliseconds in a second, the unit of `Retry-After`.
const SECOND_MS: u64 = 1_000;
/// Time by which a caller may come back early: the clocks of instances differ.
const CLOCK_TOLERANCE_MS: u64 = 250;
/// Time for which the first refusal of a job counts. A caller that comes back later than this has
/// begun anew.
const MEMORY_MS: u64 = 60_000;

data! {
    /// Settings of admission at an instance.
    #[derive(Copy)]
    pub struct Settings {
        /// Whether submissions may be refused because of an outlook.
        pub enabled: bool,
        /// Age from which on an outlook refuses nothing.
        pub max_age: Span,
        /// Multiple of the time in which a job has value that its expected completion must exceed.
        pub margin: f64,
        /// Range of that multiple, above `margin`, over which the probability of a refusal rises
        /// from 0 to 1.
        pub ramp: f64,
        /// Shortest time over which the callers that are refused at one time come back.
        pub min_spread: Span,
        /// Longest time that a refused caller is told to wait.
        pub max_retry: Span,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            enabled: true,
            // Outlooks are written about once a second and read after another second.
            max_age: Span::from_ms(3_000),
            // Estimates of run times are off by up to half.
            margin: 1.5,
            ramp: 0.5,
            min_spread: Span::from_ms(2_000),
            max_retry: Span::from_ms(30_000),
        }
    }
}

data! {
    /// When jobs accepted now would begin, as the owner of a shard expects.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Outlook {
        /// When the outlook was made, in milliseconds since 1970.
        #[serde(rename = "at")]
        pub at_ms: u64,
        /// Time until a job accepted now would begin, in milliseconds; queues in which a job has
        /// its full value all the same are left out.
        #[serde(rename = "waits")]
        pub wait_ms: BTreeMap<QueueName, u64>,
    }
}

data! {
    /// The wait that is expected for a queue, and how old that expectation is.
    #[derive(Copy)]
    pub struct Forecast {
        /// Time until a job would begin, when the outlook was made.
        pub wait: Span,
        /// Upper bound on the time since the outlook was made.
        pub age: Span,
    }
}

data! {
    /// Why a job may be refused.
    #[derive(Copy)]
    pub struct Assessment {
        /// Time until the job would be completed.
        pub expected: Span,
        /// Time within which completing the job has value.
        pub limit: Span,
        /// Age of the outlook.
        pub age: Span,
        /// Probability of a refusal, above 0 and at most 1.
        pub probability: f64,
    }
}

/// Assesses a submitted job; returns none if nothing speaks against its acceptance.
///
/// Long-running and scheduled jobs have no time within which they must be completed.
pub fn assess(
    settings: &Settings,
    queue: &Queue,
    job: &Job,
    forecast: Option<Forecast>,
) -> Option<Assessment> {
    let forecast = forecast.filter(|forecast| forecast.age <= settings.max_age)?;
    if !settings.enabled || job.is_long_running() || job.schedule.is_some() {
        return None;
    }
    let path = job.critical_path();
    let objective = path.scale(queue.stretch) + queue.objective;
    let limit = objective.saturating_mul(EXPIRY_FACTOR);
    // Work goes on while the outlook is on its way.
    let expected = forecast.wait.saturating_sub(forecast.age) + path;
    if limit == Span::ZERO {
        return None;
    }
    let excess = expected.as_ms_f64() / limit.as_ms_f64() - settings.margin;
    let probability = (excess / settings.ramp.max(f64::EPSILON)).min(1.0);
    let assessment = Assessment { expected, limit, age: forecast.age, probability };
    (probability > 0.0).then_some(assessment)
}

impl Assessment {
    /// Returns whether the job is refused, given a number from 0 up to 1 that follows from the
    /// identifier of the job.
    ///
    /// Repeats of a job thus get the same answer at all instances, so that they gain nothing.
    pub fn refuses(&self, draw: f64) -> bool {
        draw < self.probability
    }

    /// Returns the time after which the caller is to come back, in whole seconds.
    ///
    /// It is the time in which the excess is worked off, and up to as much again by `spread`, a
    /// number from 0 up to 1, so that callers come back one after the other.
    pub fn retry_after(&self, settings: &Settings, spread: f64) -> Span {
        let excess = self.expected.saturating_sub(self.limit);
        let range = excess.max(settings.min_spread).scale(spread.clamp(0.0, 1.0));
        whole_seconds((excess + range).min(settings.max_retry))
    }
}

data! {
    /// The stored refusal of a job.
    ///
    /// Its row has the place of the job's own, so that no earlier attempt to store the job can
    /// take effect any more.
    #[derive(Copy, Serialize, Deserialize)]
    pub struct Refusal {
        /// When the job was first refused, in milliseconds since 1970.
        #[serde(rename = "refused")]
        pub since_ms: u64,
        /// When its caller is to come back, in milliseconds since 1970.
        #[serde(rename = "back")]
        pub back_ms: u64,
    }
}

impl Refusal {
    /// Returns a refusal at `now_ms` whose caller is told to come back after a time.
    pub fn new(now_ms: u64, retry_after: Span) -> Self {
        Self { since_ms: now_ms, back_ms: now_ms.saturating_add(retry_after.as_ms()) }
    }

    /// Returns the refusal of a job that is submitted again, with the time after which its caller is
    /// to come back; returns none if the job is accepted now.
    ///
    /// A caller that comes back too early keeps its time. One that comes back in time goes before
    /// new ones: it is refused only where all of those are.
    pub fn again(
        &self,
        settings: &Settings,
        assessment: &Assessment,
        spread: f64,
        now_ms: u64,
    ) -> Option<(Self, Span)> {
        let left_ms = self.back_ms.saturating_sub(now_ms);
        // A time further ahead than any caller is told is one of a clock that was wrong.
        let is_early = left_ms > CLOCK_TOLERANCE_MS && left_ms <= settings.max_retry.as_ms();
        if is_early {
            return Some((*self, whole_seconds(Span::from_ms(left_ms))));
        }
        let after = assessment.retry_after(settings, spread);
        let next = Self { since_ms: self.counts_from(now_ms), ..Self::new(now_ms, after) };
        (assessment.probability >= 1.0).then_some((next, after))
    }

    /// Returns the time from which the objective of a job counts that is accepted after its
    /// refusal, in milliseconds since 1970.
    pub const fn counts_from(&self, now_ms: u64) -> u64 {
        let is_recent = self.since_ms <= now_ms && now_ms - self.since_ms <= MEMORY_MS;
        if is_recent { self.since_ms } else { now_ms }
    }
}

fn whole_seconds(span: Span) -> Span {
    Span::from_secs(span.as_ms().div_ceil(SECOND_MS).max(1))
}
