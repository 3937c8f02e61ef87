//! Steps of queues whose policy says where they may run: which executors to ask about,
//! and the tickets that were given.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::executors::Executor;
use super::message::Command;
use super::place::Request;
use crate::executor::{Born, Permits, Ticket};
use crate::id::{ExecutorId, JobId, StepId};

/// Most executors named in one question: the objective allows for one call on 30 a step.
const MAX_EXECUTORS_PER_QUERY: usize = 30;
/// Most questions in flight: the service takes those of one machine in turn, and refuses
/// them when 32 wait.
const MAX_IN_FLIGHT: usize = 8;
/// Pause after a question that was refused or not answered.
const RETRY_PAUSE: Span = Span::from_ms(150);
/// Part of a ticket's time that is kept for the record and the order of a run.
const RESERVED_FRACTION: f64 = 0.2;
/// Most of a ticket's time that is so kept.
const MAX_RESERVED: Span = Span::from_ms(500);

/// What is known of where a step may run.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    /// By executor and its life; one that the policy does not allow has no ticket.
    permits: BTreeMap<ExecutorId, (Born, Option<Permit>)>,
    in_flight: bool,
    /// It is not queried before.
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
        let (born, permit) = self.permits.get(&executor.listed.id)?;
        let permit = permit.as_ref().filter(|permit| now < permit.valid_until)?;
        (*born == executor.listed.born).then_some(&permit.ticket)
    }

    /// Reports whether asking about an executor may help.
    fn needs_query(&self, now: Time, executor: &Executor) -> bool {
        match self.permits.get(&executor.listed.id) {
            None => true,
            Some((_, None)) => false,
            Some((born, Some(permit))) => {
                *born != executor.listed.born || now >= permit.valid_until
            }
        }
    }
}

impl Shard {
    /// Returns the ticket with which a task of the step may start at an executor now.
    pub(super) fn ticket(&self, now: Time, id: StepId, executor: &Executor) -> Option<&Ticket> {
        self.advice.get(&id)?.ticket(now, executor)
    }

    /// Asks for advice on executors that have room for a task of the step, unless it is
    /// being queried for.
    pub(super) fn request_advice(&mut self, now: Time, request: &Request<'_>) {
        let in_flight = self.advice.values().filter(|advice| advice.in_flight).count();
        let advice = self.advice.entry(request.id).or_default();
        if advice.in_flight || now < advice.query_after || in_flight >= MAX_IN_FLIGHT {
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
        if let Some(advice) = self.advice.get_mut(&request.id) {
            advice.in_flight = true;
        }
        self.out.push(Command::Advise { step: request.id, executors });
    }

    /// Takes the answer to a question on `queried`; none where it was refused or did not
    /// come.
    pub(super) fn handle_advice(
        &mut self,
        now: Time,
        id: StepId,
        queried: &[ExecutorId],
        permits: Option<Permits>,
    ) {
        let Some(advice) = self.advice.get_mut(&id) else {
            return;
        };
        advice.in_flight = false;
        let Some(permits) = permits else {
            advice.query_after = now + RETRY_PAUSE;
            return;
        };
        self.placement_due = true;
        let reserved = permits.valid.scale(RESERVED_FRACTION).min(MAX_RESERVED);
        let valid_until = now + permits.valid.less(reserved);
        let mut tickets: BTreeMap<ExecutorId, Ticket> = permits.good.into_iter().collect();
        for executor in queried {
            let Some(born) = self.executors.get(executor).map(|found| found.listed.born) else {
                continue;
            };
            let permit = tickets.remove(executor).map(|ticket| Permit { ticket, valid_until });
            advice.permits.insert(executor.clone(), (born, permit));
        }
    }

    /// Takes that an executor refused a ticket.
    pub(super) fn remove_ticket(&mut self, id: StepId, executor: &ExecutorId) {
        if let Some(advice) = self.advice.get_mut(&id) {
            advice.permits.remove(executor);
        }
    }

    /// Forgets the tickets of a step that is done.
    pub(super) fn remove_step_advice(&mut self, id: StepId) {
        self.advice.remove(&id);
    }

    /// Forgets the tickets of a job that has ended.
    pub(super) fn remove_job_advice(&mut self, job: JobId) {
        self.advice.retain(|id, _| id.job != job);
    }
}
