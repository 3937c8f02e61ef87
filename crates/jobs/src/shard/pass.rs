//! Passes over the waiting steps, in the order of their rank.
//!
//! Load pattern: a backlog of hundreds of steps for which no executor has resources, while runs
//! end all the time. A step that found no executor is tried on all of them again only once in
//! [`FULL_PASS_INTERVAL`]; until then only executors on which resources were released are tried.
//!
//! Second load pattern: an owner that has less processor time than its work takes, with a backlog
//! of best-effort tasks. Each of them that is placed next to latency-critical tasks costs further
//! orders, so fewer are placed the more time the owner lacks. An owner that lacks little places as
//! many as arrive: a backlog of them costs it time as well.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::effort::Effort;
use super::rank::Rank;
use super::rejections::Rejections;
use crate::id::{ExecutorId, StepId};

/// Maximum number of searches for an executor to reserve in one pass, each of which looks at all
/// executors.
const MAX_RESERVATIONS_PER_PASS: usize = 8;
/// Pause after a pass in which steps found no executor, so that releases accumulate.
const BLOCKED_PAUSE: Span = Span::from_ms(10);
/// Time between two passes that try blocked steps on all executors. Expected interference
/// changes at this rate, with the reports.
const FULL_PASS_INTERVAL: Span = Span::from_ms(100);

/// Time between two passes in which an owner that lacks processor time places best-effort tasks.
const BEST_EFFORT_INTERVAL: Span = Span::from_ms(200);
/// Maximum number of best-effort runs that such a pass places while the shortage is at its largest.
const MIN_BEST_EFFORT_BUDGET: f64 = 16.0;
/// Maximum number of best-effort runs that such a pass places while the shortage is at its smallest.
const MAX_BEST_EFFORT_BUDGET: f64 = 256.0;

/// Executors that a step is tried on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All executors.
    All,
    /// Executors on which resources were released since the previous pass.
    Released,
    /// Executors of the rack that the step waits for.
    Rack,
}

/// Result of trying a step, from the most to the least that was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Placed {
    /// No task of the step waits any more.
    All,
    /// The step is kept apart, as no executor could run it.
    Unschedulable,
    /// Tasks of the step wait until another pass.
    Some,
    /// No executor was found for a task of the step.
    Blocked,
    /// The step was not tried, since a step with the same requirements was blocked.
    Rejected,
}

/// State of one pass.
#[derive(Debug)]
pub(super) struct Pass {
    /// Number of runs that the pass may still place.
    pub(super) budget: usize,
    /// Number of best-effort runs that the pass may still place.
    pub(super) best_effort_budget: usize,
    /// Number of searches for an executor to reserve that the pass may still make.
    pub(super) reservation_budget: usize,
    /// Whether steps that were blocked before are tried on all executors.
    full: bool,
    /// Executors on which resources were released since the previous pass.
    pub(super) released: BTreeSet<ExecutorId>,
    /// Resources that no executor has.
    rejections: Rejections,
    /// Resources that no executor in `released` has.
    released_rejections: Rejections,
}

impl Pass {
    /// Returns the executors on which a step is tried, given whether it was blocked before.
    pub(super) const fn scope(&self, blocked: bool) -> Scope {
        if blocked && !self.full { Scope::Released } else { Scope::All }
    }

    /// Returns whether steps that were blocked before are tried on all executors.
    pub(super) const fn is_full(&self) -> bool {
        self.full
    }

    /// Deducts placed runs from the numbers that may still be placed.
    pub(super) const fn take(&mut self, count: usize, best_effort: bool) {
        self.budget = self.budget.saturating_sub(count);
        if best_effort {
            self.best_effort_budget = self.best_effort_budget.saturating_sub(count);
        }
    }

    /// Returns the resources that no executor in `scope` has.
    pub(super) const fn rejections(&mut self, scope: Scope) -> &mut Rejections {
        match scope {
            Scope::All => &mut self.rejections,
            Scope::Released | Scope::Rack => &mut self.released_rejections,
        }
    }
}

impl Shard {
    /// Places waiting tasks in the order of their rank.
    pub(super) fn place_waiting(&mut self, now: Time) {
        if !self.placement_due || now < self.place_after {
            return;
        }
        self.placement_due = false;
        self.promote_restarts(now);
        self.requeue_schedulable(now);
        let mut pass = self.begin_pass(now);
        let full = pass.full;
        let mut effort = Effort::new(full, self.resume_after);
        let (mut found_none, mut is_used_up) = (false, false);
        if pass.full {
            self.review_reservations(now);
            self.review_shares(now);
        }
        let ranked: Vec<(Rank, StepId)> = self.waiting.iter().copied().collect();
        for (rank, id) in ranked {
            if pass.full && self.update_rank(now, rank, id) {
                continue;
            }
            let blocked = self.is_blocked(id);
            if !effort.allows((rank, id), blocked) {
                continue;
            }
            match self.place_step(now, id, &mut pass) {
                Placed::All => {
                    self.waiting.remove(&(rank, id));
                }
                Placed::Unschedulable => {
                    self.waiting.remove(&(rank, id));
                    effort.spend(blocked, false);
                }
                Placed::Some => {}
                result @ (Placed::Blocked | Placed::Rejected) => {
                    found_none = true;
                    effort.spend(blocked, result == Placed::Blocked);
                    if rank.is_held_back() {
                        self.log_held_back(now, id);
                    }
                }
            }
            if pass.budget == 0 {
                self.continue_pass(now, pass);
                is_used_up = true;
                break;
            }
        }
        if full && !is_used_up {
            self.resume_after = effort.resume_after();
        }
        if found_none {
            self.place_after = now + BLOCKED_PAUSE;
        }
    }

    fn is_blocked(&self, id: StepId) -> bool {
        let step = self.jobs.get(&id.job).and_then(|entry| entry.step(id));
        step.is_some_and(|step| step.blocked)
    }

    fn begin_pass(&mut self, now: Time) -> Pass {
        let full = now >= self.full_pass_after;
        if full {
            self.full_pass_after = now + FULL_PASS_INTERVAL;
        }
        Pass {
            budget: self.settings.max_placed_per_turn,
            best_effort_budget: self.best_effort_budget(now),
            reservation_budget: MAX_RESERVATIONS_PER_PASS,
            full,
            released: std::mem::take(&mut self.released),
            rejections: Rejections::default(),
            released_rejections: Rejections::default(),
        }
    }

    /// Returns the number of best-effort runs that a pass may place.
    fn best_effort_budget(&mut self, now: Time) -> usize {
        if self.shortage == 0.0 {
            return usize::MAX;
        }
        if now < self.best_effort_after {
            return 0;
        }
        self.best_effort_after = now + BEST_EFFORT_INTERVAL;
        let range = MAX_BEST_EFFORT_BUDGET - MIN_BEST_EFFORT_BUDGET;
        (MAX_BEST_EFFORT_BUDGET - self.shortage * range) as usize
    }

    /// Lets the next turn go on with a pass whose budget is used up.
    fn continue_pass(&mut self, now: Time, pass: Pass) {
        self.placement_due = true;
        self.released.extend(pass.released);
        if pass.full {
            self.full_pass_after = now;
        }
    }
}
