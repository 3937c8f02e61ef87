//! Settings of a cell and their defaults.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::Urgency;

/// The policy for choosing workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// The lowest cost by learned size and expected interference.
    #[default]
    Learned,
    /// The worker with room for the declared size that joined the cell first.
    FirstFit,
    /// The worker with the most free processor time that has room for the declared size.
    Spread,
    /// Like [`FirstFit`](Self::FirstFit), but never with services and batch tasks on the same
    /// worker.
    Segregated,
}

/// Settings of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The policy for choosing workers.
    pub placement: Placement,
    /// Interval between exchanges with a worker.
    pub heartbeat_interval: Span,
    /// Interval between exchanges with a worker that is checkpointing or stopping a task.
    pub removal_poll_interval: Span,
    /// Time after which an unanswered exchange is abandoned and a new one sent.
    pub exchange_timeout: Span,
    /// Age of the last report above which a worker is assigned no new tasks.
    pub max_report_age: Span,
    /// Time added to a lease to allow for clocks that run at different rates.
    pub lease_margin: Span,
    /// Number of workers considered for one placement.
    pub placement_candidates: usize,
    /// Largest number of placements tried in one pass.
    pub max_placements_per_pass: usize,
    /// Largest number of blocked jobs tried again in one pass when capacity is freed.
    pub max_blocked_jobs_per_pass: usize,
    /// Interval at which blocked jobs are tried again.
    pub blocked_retry_interval: Span,
    /// Backoff after the first failed attempt of a task; doubles with each attempt.
    pub initial_backoff: Span,
    /// Upper limit of the backoff.
    pub max_backoff: Span,
    /// Largest number of tasks of one job.
    pub max_tasks_per_job: u32,
    /// Largest number of waiting tasks of one urgency.
    pub max_waiting_tasks: u64,
    /// Time for which the names and outcomes of ended jobs are retained.
    pub ended_job_retention: Span,
    /// Fraction of the cell's cores that work of low urgency leaves free.
    pub low_urgency_headroom: f64,
    /// Settings for the handling of interference.
    pub interference: Interference,
    /// Time that a task within its team's quota waits before tasks of borrowing teams are
    /// evicted for it.
    pub reclaim_delay: Span,
    /// Whether tasks are evicted for more urgent ones and for teams within their quota.
    pub reclaim_enabled: bool,
}

/// Settings for the handling of interference.
///
/// Fractions are of the slowdown allowed in excess of 1, `max_slowdown - 1`.
#[derive(Clone, Debug, PartialEq)]
pub struct Interference {
    /// Whether tasks are throttled or evicted because of interference.
    pub enabled: bool,
    /// Largest slowdown at which a service meets its target.
    pub max_slowdown: f64,
    /// Fraction of the allowed slowdown above which batch tasks are throttled.
    pub throttle_fraction: f64,
    /// Fraction of the allowed slowdown below which throttling is lifted.
    pub release_fraction: f64,
    /// Fraction of the allowed slowdown up to which tasks of normal and high urgency are placed
    /// beside a service.
    pub placement_fraction: f64,
    /// Fraction of the allowed slowdown for tasks of low urgency and of teams beyond their
    /// quota.
    pub low_urgency_placement_fraction: f64,
    /// Number of consecutive reports above the throttle threshold before a step is taken.
    pub confirming_reports: u32,
    /// Smallest interval between two steps on a worker.
    pub step_interval: Span,
    /// Time below the release threshold before throttling is lifted by one step.
    pub release_delay: Span,
    /// Shares to which a task is throttled in turn before it is evicted, in descending order.
    pub throttle_shares: Vec<f64>,
    /// Whether the eviction budget of the policy applies.
    pub eviction_budget_enabled: bool,
    /// Slowdown of a service from which a task that can't be checkpointed is stopped.
    pub stop_slowdown: f64,
}

impl Interference {
    /// Returns the slowdown of a service above which batch tasks on its worker are throttled.
    pub fn throttle_threshold(&self) -> f64 {
        self.slowdown(self.throttle_fraction)
    }

    /// Returns the slowdown of a service below which throttling is lifted.
    pub fn release_threshold(&self) -> f64 {
        self.slowdown(self.release_fraction)
    }

    /// Returns the expected slowdown of a service up to which a task is placed beside it.
    ///
    /// `near_deadline` says that the task may otherwise miss its deadline, and `borrows` that
    /// it takes its team beyond the quota.
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
            max_placements_per_pass: 256,
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
