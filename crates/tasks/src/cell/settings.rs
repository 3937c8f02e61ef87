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
    Segregated,
}

/// Settings of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How workers are chosen.
    pub placement: Placement,
    /// Time between two exchanges with an idle worker.
    pub heartbeat_interval: Span,
    /// Time between two exchanges with a worker that is taking a task off.
    pub removal_poll_interval: Span,
    /// Time after which an exchange without an answer is repeated.
    pub exchange_timeout: Span,
    /// Time without a report after which a worker is given no new tasks.
    pub max_report_age: Span,
    /// Added to a lease to cover clocks that run at different rates.
    pub lease_margin: Span,
    /// Workers that are looked at for one placement.
    pub placement_candidates: usize,
    /// Jobs that are tried in one step.
    pub max_jobs_per_pass: usize,
    /// Jobs that found no room before and are tried again when some is freed.
    pub max_blocked_jobs_per_pass: usize,
    /// Time after which jobs that found no room are tried again.
    pub blocked_retry_interval: Span,
    /// First wait before a task that failed is tried again; it doubles with each attempt.
    pub initial_backoff: Span,
    /// Longest wait before a task that failed is tried again.
    pub max_backoff: Span,
    /// Most tasks of one job.
    pub max_tasks_per_job: u32,
    /// Most tasks of one urgency that may wait.
    pub max_waiting_tasks: u64,
    /// Time for which the names of ended jobs are kept.
    pub ended_job_retention: Span,
    /// Part of the cell's cores that the least urgent work leaves free.
    pub low_urgency_headroom: f64,
    /// When and how interference is acted on.
    pub interference: Interference,
    /// Time that a task of a team below its quota waits before others are moved for it.
    pub reclaim_delay: Span,
    /// Whether tasks make room for more urgent ones and for teams below their quota.
    pub reclaim_enabled: bool,
}

/// When and how interference is acted on.
#[derive(Clone, Debug, PartialEq)]
pub struct Interference {
    /// Whether it is acted on at all.
    pub enabled: bool,
    /// Slowdown up to which a service meets its target.
    pub max_slowdown: f64,
    /// Part of the allowed slowdown above which neighbours are restricted.
    pub throttle_fraction: f64,
    /// Part of the allowed slowdown below which restrictions are lifted.
    pub release_fraction: f64,
    /// Part of the allowed slowdown up to which ordinary tasks are placed beside a service.
    pub placement_fraction: f64,
    /// The same for the least urgent tasks.
    pub low_urgency_placement_fraction: f64,
    /// Consecutive reports above `restrict` before a step.
    pub confirming_reports: u32,
    /// Time from one step on a worker to the next.
    pub step_interval: Span,
    /// Time below `relieve` before a restriction is lifted.
    pub release_delay: Span,
    /// Shares to which a task is throttled before it is moved, falling.
    pub throttle_shares: Vec<f64>,
    /// Whether the eviction budget of the policy applies.
    pub eviction_budget_enabled: bool,
    /// Slowdown of a service above which a task that can't be checkpointed is stopped.
    pub stop_slowdown: f64,
}

impl Interference {
    /// Returns the slowdown of a service above which its neighbours are restricted.
    pub fn throttle_threshold(&self) -> f64 {
        self.slowdown(self.throttle_fraction)
    }

    /// Returns the slowdown of a service below which restrictions are lifted.
    pub fn release_threshold(&self) -> f64 {
        self.slowdown(self.release_fraction)
    }

    /// Returns the expected slowdown of a service up to which a task is placed beside it.
    ///
    /// A task is pressing when it would otherwise miss its deadline, and borrows when its
    /// team goes beyond its quota.
    pub fn placement_limit(&self, urgency: Urgency, near_deadline: bool, borrows: bool) -> f64 {
        match urgency {
            _ if near_deadline => self.throttle_threshold(),
            _ if borrows => self.slowdown(self.low_urgency_placement_fraction),
            Urgency::Low => self.slowdown(self.low_urgency_placement_fraction),
            Urgency::Normal | Urgency::High => self.slowdown(self.placement_fraction),
            Urgency::Urgent => f64::INFINITY,
        }
    }

    fn slowdown(&self, fraction: f64) -> f64 {
        1.0 + fraction * (self.max_slowdown - 1.0)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            placement: Placement::default(),
            heartbeat_interval: Span::from_ms(2_500),
            removal_poll_interval: Span::from_ms(500),
            exchange_timeout: Span::from_ms(2_000),
            max_report_age: Span::from_ms(6_000),
            lease_margin: Span::from_ms(2_000),
            placement_candidates: 16,
            max_jobs_per_pass: 256,
            max_blocked_jobs_per_pass: 32,
            blocked_retry_interval: Span::from_ms(500),
            initial_backoff: Span::from_secs(5),
            max_backoff: Span::from_secs(300),
            max_tasks_per_job: 10_000,
            max_waiting_tasks: 100_000,
            ended_job_retention: Span::from_secs(86_400),
            low_urgency_headroom: 0.05,
            interference: Interference::default(),
            reclaim_delay: Span::from_secs(30),
            reclaim_enabled: true,
        }
    }
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            enabled: true,
            max_slowdown: 1.5,
            throttle_fraction: 0.9,
            release_fraction: 0.6,
            placement_fraction: 0.8,
            low_urgency_placement_fraction: 0.7,
            confirming_reports: 2,
            step_interval: Span::from_secs(8),
            release_delay: Span::from_secs(30),
            throttle_shares: vec![0.5, 0.25],
            eviction_budget_enabled: true,
            stop_slowdown: 2.0,
        }
    }
}
