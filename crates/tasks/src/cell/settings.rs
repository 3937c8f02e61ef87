//! Settings of a cell.

use sycamorerill_core::clock::Span;

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
    /// By learned size, services and batch work never on one worker.
    Apart,
}

/// Settings of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How workers are chosen.
    pub placement: Placement,
    /// Time between two exchanges with an idle worker.
    pub heartbeat: Span,
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
    /// Part of the cell's cores that borrowing teams leave free.
    pub headroom: f64,
    /// When and how interference is acted on.
    pub interference: Interference,
    /// Whether tasks make room for more urgent ones and for teams below their quota.
    pub reclaim: bool,
}

/// When and how interference is acted on.
#[derive(Clone, Debug, PartialEq)]
pub struct Interference {
    /// Whether it is acted on at all.
    pub act: bool,
    /// Slowdown of a service above which its neighbours are restricted.
    pub high: f64,
    /// Slowdown of a service below which restrictions are lifted.
    pub low: f64,
    /// Consecutive reports above `high` before a step.
    pub confirm: u32,
    /// Time from one step on a worker to the next.
    pub settle: Span,
    /// Time below `low` before a restriction is lifted.
    pub calm: Span,
    /// Shares to which a task is throttled before it is moved, falling.
    pub shares: Vec<f64>,
    /// Whether the eviction budget of the policy applies.
    pub budget: bool,
    /// Slowdown of a service above which a task that can't be checkpointed is stopped.
    pub stop: f64,
    /// Expected slowdown of a service up to which tasks are placed beside it.
    pub place: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            placement: Placement::default(),
            heartbeat: Span::from_ms(2_500),
            exchange_timeout: Span::from_ms(2_000),
            silence: Span::from_ms(6_000),
            lease_margin: Span::from_ms(2_000),
            candidates: 16,
            tries: 256,
            retry: Span::from_ms(500),
            backoff: Span::from_secs(5),
            max_backoff: Span::from_secs(300),
            max_tasks: 10_000,
            max_waiting: 100_000,
            keep_ended: Span::from_secs(86_400),
            headroom: 0.05,
            interference: Interference::default(),
            reclaim: true,
        }
    }
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            act: true,
            high: 1.3,
            low: 1.12,
            confirm: 2,
            settle: Span::from_secs(8),
            calm: Span::from_secs(30),
            shares: vec![0.5, 0.25],
            budget: true,
            stop: 2.0,
            place: 1.2,
        }
    }
}
