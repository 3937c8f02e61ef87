//! Room for urgent tasks and for teams below their quota, made by moving others.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;
use sycamorerill_core::size::Size;

use super::place::Need;
use super::step::share_of;
use super::{Cause, Cell, Command, key};
use crate::queue::Position;
use crate::worker::{Hold, Intent, Token};

/// Time between two searches for room for one job.
const RECLAIM_EVERY: Span = Span::from_ms(500);
/// Time in which evicted tasks are off their worker.
const RECLAIM_TERM: Span = Span::from_secs(4);
/// Tasks of one job for which room is made in one search.
const RECLAIM_TASKS: usize = 16;
/// Workers that are looked at in one search.
const RECLAIM_CANDIDATES: usize = 32;

/// Tasks of one worker whose eviction makes enough room.
struct Plan {
    worker: key::Worker,
    tokens: Vec<(Token, bool)>,
}

impl Cell {
    /// Moves tasks off one worker, so that a task of size `need` fits there.
    pub(super) fn reclaim(
        &mut self,
        now: Time,
        position: Position,
        need: &Need,
        out: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.entry_mut(position.job) else { return };
        job.reclaims.retain(|at| now.since(*at) < RECLAIM_TERM);
        let lately = job.reclaimed_at.is_some_and(|at| now.since(at) < RECLAIM_EVERY);
        if !self.settings.reclaim || lately {
            return;
        }
        job.reclaimed_at = Some(now);
        let wanted = job.ready.len().min(RECLAIM_TASKS).saturating_sub(job.reclaims.len());
        let Some(cause) = self.reclaim_cause(now, position, need) else { return };
        for _ in 0..wanted {
            let Some(plan) = self.plan(now, position, need.size, cause) else { return };
            if position.urgency.0 < Urgency::Urgent && !self.take_eviction(now) {
                return;
            }
            if let Some(job) = self.jobs.entry_mut(position.job) {
                job.reclaims.push(now);
            }
            let until = now + RECLAIM_TERM;
            self.claim_room(plan.worker, position.job, position.urgency.0, until);
            for (token, checkpoint) in plan.tokens {
                self.evict(now, plan.worker, token, checkpoint, cause, out);
            }
        }
    }

    fn reclaim_cause(&self, now: Time, position: Position, need: &Need) -> Option<Cause> {
        let task = self.jobs.task(key::Task::new(need.job, need.task))?;
        let waited = now.since(task.since) >= self.settings.give_back;
        match position.urgency.0 {
            _ if !self.is_within_quota(position.team, need.size) => None,
            Urgency::High | Urgency::Urgent => Some(Cause::Urgency),
            // Room comes back by itself as tasks end; others are moved when that takes long.
            Urgency::Low | Urgency::Normal => (waited || need.pressing).then_some(Cause::Quota),
        }
    }

    fn plan(&mut self, now: Time, position: Position, need: Size, cause: Cause) -> Option<Plan> {
        let drawn = self.workers.draw(RECLAIM_CANDIDATES, &mut self.rng);
        let unclaimed = drawn.into_iter().filter(|key| !self.is_claimed(now, *key, position.job));
        let plans = unclaimed.filter_map(|key| self.plan_on(key, position, need, cause));
        plans.min_by_key(|plan| (plan.tokens.len(), plan.worker))
    }

    fn plan_on(
        &self,
        worker: key::Worker,
        position: Position,
        need: Size,
        cause: Cause,
    ) -> Option<Plan> {
        let entry = self.workers.entry(worker).filter(|entry| entry.is_indexed())?;
        if !self.is_spread(position.job, worker) {
            return None;
        }
        // More may be reserved than the worker has, where tasks use more than was reserved.
        let mut left = entry.reserved;
        let mut movable = Vec::new();
        for (token, hold) in entry.holds.iter().filter(|(_, hold)| hold.counted) {
            if !matches!(hold.intent, Intent::Run(_)) {
                // Room that is being made already counts for whoever waits for it.
                return None;
            }
            if self.yields(hold, position, cause) {
                movable.push((self.urgency_of(hold.task.job()), *token));
            }
        }
        movable.sort_unstable();
        let mut tokens = Vec::new();
        for (_, token) in movable {
            if need.fits(entry.size.less(left)) {
                break;
            }
            let hold = entry.holds.get(&token)?;
            left = left.less(hold.size);
            tokens.push((token, self.can_checkpoint(hold.class)));
        }
        (need.fits(entry.size.less(left)) && !tokens.is_empty()).then_some(Plan { worker, tokens })
    }

    /// Reports whether a task is moved for the sake of the job at `position`.
    fn yields(&self, hold: &Hold, position: Position, cause: Cause) -> bool {
        let urgency = self.urgency_of(hold.task.job());
        if self.is_service(hold.class) {
            return false;
        }
        let may_stop = self.can_checkpoint(hold.class) || position.urgency.0 == Urgency::Urgent;
        let below = urgency < position.urgency.0;
        let held = self.held.get(&hold.team).copied().unwrap_or_default();
        let over = hold.team != position.team && share_of(held, self.quota(hold.team)) > 1.0;
        let yields = match cause {
            Cause::Urgency => below || over,
            _ => over,
        };
        yields && may_stop
    }
}
