//! Steps of queues with a policy: queries to the advice service for the executors that may run
//! them, and the tickets that it grants.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::executors::Executor;
use super::message::Command;
use super::place::Request;
use crate::executor::{Advice, Incarnation, Ticket};
use crate::id::{ExecutorId, JobId, StepId};

/// Maximum number of executors in one query. The objective allows for one query of 30 executors
/// per step.
const MAX_EXECUTORS_PER_QUERY: usize = 30;
/// Maximum number of queries in flight. The service handles queries of one machine one at a
/// time and refuses them when 32 are waiting.
const MAX_IN_FLIGHT: usize = 8;
/// Backoff after a query that was refused or not answered.
const RETRY_DELAY: Span = Span::from_ms(150);
/// Fraction of a ticket's validity that is reserved for recording and starting a run.
const RESERVED_FRACTION: f64 = 0.2;
/// Upper bound on the reserved validity.
const MAX_RESERVED: Span = Span::from_ms(500);

/// Advice on one step, as far as it was queried.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    /// Permit by executor, with the incarnation that it was queried for; `None` if the policy
    /// does not allow the executor.
    permits: BTreeMap<ExecutorId, (Incarnation, Option<Permit>)>,
    /// Executors that the query in flight names, each with the incarnation known when it was sent.
    in_flight: Option<BTreeMap<ExecutorId, Incarnation>>,
    /// Earliest time of the next query.
    query_after: Time,
}

#[derive(Debug)]
struct Permit {
    ticket: Ticket,
    valid_until: Time,
}

impl StepAdvice {
    /// Returns the ticket for an executor, if it is valid at `now`.
    pub(super) fn ticket(&self, now: Time, executor: &Executor) -> Option<&Ticket> {
        let (incarnation, permit) = self.permits.get(&executor.registration.id)?;
        let permit = permit.as_ref().filter(|permit| now < permit.valid_until)?;
        (*incarnation == executor.registration.incarnation).then_some(&permit.ticket)
    }

    /// Returns whether the policy does not allow an executor.
    pub(super) fn denies(&self, executor: &ExecutorId) -> bool {
        matches!(self.permits.get(executor), Some((_, None)))
    }

    /// Returns whether a query for an executor may yield a new ticket.
    fn needs_query(&self, now: Time, executor: &Executor) -> bool {
        match self.permits.get(&executor.registration.id) {
            None => true,
            Some((_, None)) => false,
            Some((incarnation, Some(permit))) => {
                *incarnation != executor.registration.incarnation || now >= permit.valid_until
            }
        }
    }
}

impl Shard {
    /// Returns the ticket with which a task of the step may start on an executor at `now`.
    pub(super) fn ticket(&self, now: Time, id: StepId, executor: &Executor) -> Option<&Ticket> {
        self.advice.get(&id)?.ticket(now, executor)
    }

    /// Sends a query for executors that have the resources for a task of the step, unless one is in
    /// flight.
    pub(super) fn request_advice(&mut self, now: Time, request: &Request<'_>) {
        let in_flight = self.advice.values().filter(|found| found.in_flight.is_some()).count();
        let advice = self.advice.entry(request.id).or_default();
        if advice.in_flight.is_some() || now < advice.query_after || in_flight >= MAX_IN_FLIGHT {
            return;
        }
        let advice = &self.advice[&request.id];
        let mut candidates: Vec<(f64, &ExecutorId)> = self
            .executors
            .iter()
            .filter(|(_, executor)| advice.needs_query(now, executor))
            .filter_map(|(id, executor)| {
                Some((self.score_without_ticket(now, request, executor)?, id))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        let executors: Vec<ExecutorId> = candidates
            .into_iter()
            .take(MAX_EXECUTORS_PER_QUERY)
            .map(|(_, id)| id.clone())
            .collect();
        if executors.is_empty() {
            return;
        }
        let named = executors
            .iter()
            .filter_map(|id| Some((id.clone(), self.executors.get(id)?.registration.incarnation)));
        let named = named.collect();
        if let Some(advice) = self.advice.get_mut(&request.id) {
            advice.in_flight = Some(named);
        }
        self.out.push(Command::Advise { step: request.id, executors });
    }

    /// Handles the advice on the executors `queried`; `None` if the query was refused or not
    /// answered.
    pub(super) fn handle_advice(
        &mut self,
        now: Time,
        id: StepId,
        queried: &[ExecutorId],
        advice: Option<Advice>,
    ) {
        let Some(step_advice) = self.advice.get_mut(&id) else {
            return;
        };
        let named = step_advice.in_flight.take().unwrap_or_default();
        let Some(advice) = advice else {
            step_advice.query_after = now + RETRY_DELAY;
            return;
        };
        self.placement_due = true;
        let reserved = advice.valid.scale(RESERVED_FRACTION).min(MAX_RESERVED);
        let valid_until = now + advice.valid.saturating_sub(reserved);
        let mut tickets: BTreeMap<ExecutorId, Ticket> = advice.permitted.into_iter().collect();
        for executor in queried {
            // A ticket is granted to the life of the executor in which the query named it.
            let Some(incarnation) = named.get(executor).copied() else {
                continue;
            };
            let permit = tickets.remove(executor).map(|ticket| Permit { ticket, valid_until });
            step_advice.permits.insert(executor.clone(), (incarnation, permit));
        }
    }

    /// Discards the ticket for an executor that refused it.
    pub(super) fn remove_ticket(&mut self, id: StepId, executor: &ExecutorId) {
        if let Some(advice) = self.advice.get_mut(&id) {
            advice.permits.remove(executor);
        }
    }

    /// Discards the advice for a step that is done.
    pub(super) fn remove_step_advice(&mut self, id: StepId) {
        self.advice.remove(&id);
    }

    /// Discards the advice for the steps of a job that has ended.
    pub(super) fn remove_job_advice(&mut self, job: JobId) {
        self.advice.retain(|id, _| id.job != job);
    }
}
