//! Claims, which reserve a worker for a waiting task against work of lower priority.
//!
//! A task that is large or causes interference finds no worker while smaller tasks take
//! the capacity that becomes free. After a short wait its job claims one worker, which is
//! then assigned no tasks of less urgent or borrowing jobs. As tasks end there, capacity
//! is freed until the waiting task fits.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::model::Urgency;

use super::placement::Demand;
use super::{Cell, key};

/// Time that a task waits before its job claims a worker.
const CLAIM_DELAY: Span = Span::from_secs(5);
/// Time after which a claim expires.
const CLAIM_DURATION: Span = Span::from_secs(90);
/// At most one in this many workers may be claimed at a time, but always at least one.
const WORKERS_PER_CLAIM: usize = 6;
/// Number of workers considered for a claim.
const CLAIM_CANDIDATES: usize = 16;

/// A claim on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    job: key::Job,
    urgency: Urgency,
    until: Time,
}

impl Cell {
    /// Claims a worker for a job for which none was found.
    pub(super) fn claim(&mut self, now: Time, demand: &Demand) {
        if demand.urgency < Urgency::Normal || demand.borrows || demand.service {
            return;
        }
        let task = self.jobs.task(key::Task::new(demand.job, demand.task));
        if task.is_none_or(|task| now.since(task.waiting_since) < CLAIM_DELAY) {
            return;
        }
        self.claims.retain(|_, claim| claim.until > now);
        let full = self.claims.len() >= (self.workers.len() / WORKERS_PER_CLAIM).max(1);
        if full || self.claims.values().any(|claim| claim.job == demand.job) {
            return;
        }
        let drawn = self.workers.sample_keys(CLAIM_CANDIDATES, &mut self.rng);
        let open = drawn.into_iter().filter_map(|key| {
            let entry = self.workers.entry(key).filter(|entry| entry.is_indexed())?;
            let fits = demand.size.fits(entry.size) && !self.claims.contains_key(&key);
            fits.then(|| (self.expected_service_slowdown(now, key, entry, demand), key))
        });
        if let Some((_, worker)) = open.min_by(|a, b| a.0.total_cmp(&b.0)) {
            let until = now + CLAIM_DURATION;
            let claim = Claim { job: demand.job, urgency: demand.urgency, until };
            self.claims.insert(worker, claim);
        }
    }

    /// Returns whether a claim of another job excludes a task from a worker.
    pub(super) fn is_claimed_by_other(
        &self,
        now: Time,
        worker: key::Worker,
        demand: &Demand,
    ) -> bool {
        let Some(claim) = self.claims.get(&worker) else { return false };
        let lower_priority = demand.urgency < claim.urgency || demand.borrows;
        claim.until > now && claim.job != demand.job && lower_priority
    }

    /// Returns the workers that a job has claimed.
    pub(super) fn claimed_by(&self, job: key::Job) -> impl Iterator<Item = key::Worker> + '_ {
        let claims = self.claims.iter().filter(move |(_, claim)| claim.job == job);
        claims.map(|(worker, _)| *worker)
    }

    /// Claims a worker on which tasks are being evicted for a job.
    pub(super) fn claim_for_reclaim(
        &mut self,
        worker: key::Worker,
        job: key::Job,
        urgency: Urgency,
        until: Time,
    ) {
        self.claims.insert(worker, Claim { job, urgency, until });
    }

    /// Returns whether another job has claimed a worker.
    pub(super) fn is_claimed(&self, now: Time, worker: key::Worker, job: key::Job) -> bool {
        self.claims.get(&worker).is_some_and(|claim| claim.until > now && claim.job != job)
    }

    /// Ends the claim of a job on a worker because a task of the job was placed there.
    pub(super) fn end_claim(&mut self, worker: key::Worker, job: key::Job) {
        if self.claims.get(&worker).is_some_and(|claim| claim.job == job) {
            self.claims.remove(&worker);
        }
    }
}
