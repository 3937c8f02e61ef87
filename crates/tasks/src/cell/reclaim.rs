//! Preemption: evicts tasks for more urgent ones and for teams within their quota.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;
use sycamorerill_core::size::Size;

use super::placement::Demand;
use super::transition::dominant_share;
use super::{Cause, Cell, Command, key};
use crate::queue::Position;
use crate::worker::{Assignment, Intent, Token};

/// Interval between two searches for evictions for one job.
const RECLAIM_INTERVAL: Span = Span::from_ms(500);
/// Time within which an evicted task is expected to have left its worker.
const EVICTION_TIME: Span = Span::from_secs(4);
/// Largest number of tasks of one job with pending evictions.
const MAX_PENDING_RECLAIMS: usize = 16;
/// Number of workers considered in one search.
const RECLAIM_CANDIDATES: usize = 32;

/// Tasks of one worker whose eviction frees enough capacity.
struct Plan {
    worker: key::Worker,
    tokens: Vec<(Token, bool)>,
}

impl Cell {
    /// Evicts tasks, so that ready tasks of the job at `position` fit on their workers.
    pub(super) fn reclaim(
        &mut self,
        now: Time,
        position: Position,
        demand: &Demand,
        out: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.entry_mut(position.job) else { return };
        job.pending_reclaims.retain(|at| now.since(*at) < EVICTION_TIME);
        let tried_recently = job.last_reclaim_at.is_some_and(|at| now.since(at) < RECLAIM_INTERVAL);
        if !self.settings.reclaim_enabled || tried_recently {
            return;
        }
        job.last_reclaim_at = Some(now);
        let wanted =
            job.ready.len().min(MAX_PENDING_RECLAIMS).saturating_sub(job.pending_reclaims.len());
        let Some(cause) = self.reclaim_cause(now, position, demand) else { return };
        for _ in 0..wanted {
            let Some(plan) = self.plan(now, position, demand.size, cause) else { return };
            if position.urgency.0 < Urgency::Urgent && !self.take_eviction_token(now) {
                return;
            }
            if let Some(job) = self.jobs.entry_mut(position.job) {
                job.pending_reclaims.push(now);
            }
            let until = now + EVICTION_TIME;
            self.claim_for_reclaim(plan.worker, position.job, position.urgency.0, until);
            for (token, checkpoint) in plan.tokens {
                self.evict(now, plan.worker, token, checkpoint, cause, out);
            }
        }
    }

    fn reclaim_cause(&self, now: Time, position: Position, demand: &Demand) -> Option<Cause> {
        let task = self.jobs.task(key::Task::new(demand.job, demand.task))?;
        let waited = now.since(task.waiting_since) >= self.settings.reclaim_delay;
        match position.urgency.0 {
            _ if !self.is_within_quota(position.team, demand.size) => None,
            Urgency::High | Urgency::Urgent => Some(Cause::Urgency),
            // Capacity is freed as tasks end; tasks are evicted only if that takes too long.
            Urgency::Low | Urgency::Normal => {
                (waited || demand.near_deadline).then_some(Cause::Quota)
            }
        }
    }

    fn plan(&mut self, now: Time, position: Position, demand: Size, cause: Cause) -> Option<Plan> {
        let drawn = self.workers.sample_keys(RECLAIM_CANDIDATES, &mut self.rng);
        let unclaimed = drawn.into_iter().filter(|key| !self.is_claimed(now, *key, position.job));
        let plans = unclaimed.filter_map(|key| self.plan_for_worker(key, position, demand, cause));
        plans.min_by_key(|plan| (plan.tokens.len(), plan.worker))
    }

    fn plan_for_worker(
        &self,
        worker: key::Worker,
        position: Position,
        demand: Size,
        cause: Cause,
    ) -> Option<Plan> {
        let entry = self.workers.entry(worker).filter(|entry| entry.is_indexed())?;
        if !self.spread_allows(position.job, worker) {
            return None;
        }
        // The reserved size can exceed the worker: it grows with tasks that use more than reserved.
        let mut remaining = entry.reserved;
        let mut movable = Vec::new();
        for (token, assignment) in
            entry.assignments.iter().filter(|(_, assignment)| assignment.is_reserved)
        {
            if !matches!(assignment.intent, Intent::Run(_)) {
                // An eviction is pending, and its capacity is meant for another task.
                return None;
            }
            if self.is_evictable(assignment, position, cause) {
                movable.push((self.urgency_of(assignment.task.job()), *token));
            }
        }
        movable.sort_unstable();
        let mut tokens = Vec::new();
        for (_, token) in movable {
            if demand.fits(entry.size.saturating_sub(remaining)) {
                break;
            }
            let assignment = entry.assignments.get(&token)?;
            remaining = remaining.saturating_sub(assignment.size);
            tokens.push((token, self.can_checkpoint(assignment.class)));
        }
        (demand.fits(entry.size.saturating_sub(remaining)) && !tokens.is_empty())
            .then_some(Plan { worker, tokens })
    }

    /// Returns whether a task may be evicted for the job at `position`.
    fn is_evictable(&self, assignment: &Assignment, position: Position, cause: Cause) -> bool {
        let urgency = self.urgency_of(assignment.task.job());
        if self.is_service(assignment.class) {
            return false;
        }
        let may_stop =
            self.can_checkpoint(assignment.class) || position.urgency.0 == Urgency::Urgent;
        let less_urgent = urgency < position.urgency.0;
        let held = self.team_usage.get(&assignment.team).copied().unwrap_or_default();
        let over_quota = assignment.team != position.team
            && dominant_share(held, self.quota(assignment.team)) > 1.0;
        let matches_cause = match cause {
            Cause::Urgency => less_urgent || over_quota,
            _ => over_quota,
        };
        matches_cause && may_stop
    }
}
