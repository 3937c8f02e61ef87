//! Settings of a cell.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::Urgency;

/// How workers are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// By learned size and expected interference.
    #[default]
    Learned,
    /// The first worker by name with room for the declared size.
    FirstFit,
    /// The worker with most room for the declared size.
    Spread,
    /// The first worker by name with room for the declared size that has no task of the
    /// other kind, where services are one kind and batch work the other.
    Apart,
}

/// Settings of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How workers are chosen.
    pub placement: Placement,
    /// Time between two exchanges with an idle worker.
    pub heartbeat: Span,
    /// Time between two exchanges with a worker that is taking a task off.
    pub poll: Span,
    /// Time after which an exchange without an answer is repeated.
    pub exchange_timeout: Span,
    /// Time without a report after which a worker is given no new tasks.
    pub silence: Span,
    /// Added to a lease to cover clocks that run at different rates.
    pub lease_margin: Span,
    /// Workers that are looked at for one placement.
    pub candidates: usize,
    /// Jobs that are tried in one step.
    pub tries: usize,
    /// Jobs that found no room before and are tried again when some is freed.
    pub blocked_tries: usize,
    /// Time after which jobs that found no room are tried again.
    pub retry: Span,
    /// First wait before a task that failed is tried again; it doubles with each attempt.
    pub backoff: Span,
    /// Longest wait before a task that failed is tried again.
    pub max_backoff: Span,
    /// Most tasks of one job.
    pub max_tasks: u32,
    /// Most tasks of one urgency that may wait.
    pub max_waiting: u64,
    /// Time for which the names of ended jobs are kept.
    pub keep_ended: Span,
    /// Part of the cell's cores that the least urgent work leaves free.
    pub headroom: f64,
    /// When and how interference is acted on.
    pub interference: Interference,
    /// Time that a task of a team below its quota waits before others are moved for it.
    pub give_back: Span,
    /// Whether tasks make room for more urgent ones and for teams below their quota.
    pub reclaim: bool,
}

/// When and how interference is acted on.
#[derive(Clone, Debug, PartialEq)]
pub struct Interference {
    /// Whether it is acted on at all.
    pub act: bool,
    /// Slowdown up to which a service meets its target.
    pub allowed: f64,
    /// Part of the allowed slowdown above which neighbours are restricted.
    pub restrict: f64,
    /// Part of the allowed slowdown below which restrictions are lifted.
    pub relieve: f64,
    /// Part of the allowed slowdown up to which ordinary tasks are placed beside a service.
    pub place: f64,
    /// The same for the least urgent tasks.
    pub place_low: f64,
    /// Consecutive reports above `restrict` before a step.
    pub confirm: u32,
    /// Time from one step on a worker to the next.
    pub settle: Span,
    /// Time below `relieve` before a restriction is lifted.
    pub calm: Span,
    /// Shares to which a task is throttled before it is moved, falling.
    pub shares: Vec<f64>,
    /// Whether the eviction budget of the policy applies.
    pub budget: bool,
    /// Slowdown of a service above which a task that can't be checkpointed is stopped.
    pub stop: f64,
}

impl Interference {
    /// Returns the slowdown of a service above which its neighbours are restricted.
    pub fn high(&self) -> f64 {
        self.slowdown(self.restrict)
    }

    /// Returns the slowdown of a service below which restrictions are lifted.
    pub fn low(&self) -> f64 {
        self.slowdown(self.relieve)
    }

    /// Returns the expected slowdown of a service up to which a task is placed beside it.
    ///
    /// A task is pressing when it would otherwise miss its deadline, and borrows when its
    /// team goes beyond its quota.
    pub fn place_limit(&self, urgency: Urgency, pressing: bool, borrows: bool) -> f64 {
        match urgency {
            _ if pressing => self.high(),
            _ if borrows => self.slowdown(self.place_low),
            Urgency::Low => self.slowdown(self.place_low),
            Urgency::Normal | Urgency::High => self.slowdown(self.place),
            Urgency::Urgent => f64::INFINITY,
        }
    }

    fn slowdown(&self, part: f64) -> f64 {
        1.0 + part * (self.allowed - 1.0)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            placement: Placement::default(),
            heartbeat: Span::from_ms(2_500),
            poll: Span::from_ms(500),
            exchange_timeout: Span::from_ms(2_000),
            silence: Span::from_ms(6_000),
            lease_margin: Span::from_ms(2_000),
            candidates: 16,
            tries: 256,
            blocked_tries: 32,
            retry: Span::from_ms(500),
            backoff: Span::from_secs(5),
            max_backoff: Span::from_secs(300),
            max_tasks: 10_000,
            max_waiting: 100_000,
            keep_ended: Span::from_secs(86_400),
            headroom: 0.05,
            interference: Interference::default(),
            give_back: Span::from_secs(30),
            reclaim: true,
        }
    }
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            act: true,
            allowed: 1.5,
            restrict: 0.9,
            relieve: 0.6,
            place: 0.8,
            place_low: 0.7,
            confirm: 2,
            settle: Span::from_secs(8),
            calm: Span::from_secs(30),
            shares: vec![0.5, 0.25],
            budget: true,
            stop: 2.0,
        }
    }
}
