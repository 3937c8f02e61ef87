//! Steps of queues whose policy says where they may run: which executors to ask about,
//! and the tickets that were given.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::fleet::Executor;
use super::message::Command;
use super::place::Need;
use crate::executor::{Born, Permits, Ticket};
use crate::id::{ExecutorId, JobId, StepId};

/// Most executors named in one question: the objective allows for one call on 30 a step.
const NAMED: usize = 30;
/// Most questions in flight: the service takes those of one machine in turn, and refuses
/// them when 32 wait.
const IN_FLIGHT: usize = 8;
/// Pause after a question that was refused or not answered.
const RETRY: Span = Span::from_ms(150);
/// Part of a ticket's time that is kept for the record and the order of a run.
const KEPT: f64 = 0.2;
/// Most of a ticket's time that is so kept.
const MOST_KEPT: Span = Span::from_ms(500);

/// What is known of where a step may run.
#[derive(Debug, Default)]
pub(super) struct Advised {
    /// By executor and its life; one that the policy does not allow has no ticket.
    known: BTreeMap<ExecutorId, (Born, Option<Permit>)>,
    asking: bool,
    /// It is not asked before.
    not_before: Time,
}

#[derive(Debug)]
struct Permit {
    ticket: Ticket,
    until: Time,
}

impl Advised {
    /// Returns the ticket for an executor, if it is valid at `now`.
    pub(super) fn ticket(&self, now: Time, executor: &Executor) -> Option<&Ticket> {
        let (born, permit) = self.known.get(&executor.listed.id)?;
        let permit = permit.as_ref().filter(|permit| now < permit.until)?;
        (*born == executor.listed.born).then_some(&permit.ticket)
    }

    /// Reports whether asking about an executor may help.
    fn may_ask(&self, now: Time, executor: &Executor) -> bool {
        match self.known.get(&executor.listed.id) {
            None => true,
            Some((_, None)) => false,
            Some((born, Some(permit))) => *born != executor.listed.born || now >= permit.until,
        }
    }
}

impl Shard {
    /// Returns the ticket with which a task of the step may start at an executor now.
    pub(super) fn ticket(&self, now: Time, id: StepId, executor: &Executor) -> Option<&Ticket> {
        self.advised.get(&id)?.ticket(now, executor)
    }

    /// Asks for advice on executors that have room for a task of the step, unless it is
    /// being asked for.
    pub(super) fn ask_advice(&mut self, now: Time, need: &Need<'_>) {
        let asking = self.advised.values().filter(|advised| advised.asking).count();
        let advised = self.advised.entry(need.id).or_default();
        if advised.asking || now < advised.not_before || asking >= IN_FLIGHT {
            return;
        }
        let advised = &self.advised[&need.id];
        let mut fit: Vec<(f64, &ExecutorId)> = self
            .executors
            .iter()
            .filter(|(_, executor)| advised.may_ask(now, executor))
            .filter_map(|(id, executor)| Some((self.suits(now, need, executor)?, id)))
            .collect();
        fit.sort_by(|a, b| b.0.total_cmp(&a.0));
        let executors: Vec<ExecutorId> =
            fit.into_iter().take(NAMED).map(|(_, id)| id.clone()).collect();
        if executors.is_empty() {
            return;
        }
        if let Some(advised) = self.advised.get_mut(&need.id) {
            advised.asking = true;
        }
        self.out.push(Command::Advise { step: need.id, executors });
    }

    /// Takes the answer to a question on `asked`; none where it was refused or did not
    /// come.
    pub(super) fn advise(
        &mut self,
        now: Time,
        id: StepId,
        asked: &[ExecutorId],
        permits: Option<Permits>,
    ) {
        let Some(advised) = self.advised.get_mut(&id) else {
            return;
        };
        advised.asking = false;
        let Some(permits) = permits else {
            advised.not_before = now + RETRY;
            return;
        };
        self.fresh = true;
        let kept = permits.valid.scale(KEPT).min(MOST_KEPT);
        let until = now + permits.valid.less(kept);
        let mut good: BTreeMap<ExecutorId, Ticket> = permits.good.into_iter().collect();
        for executor in asked {
            let Some(born) = self.executors.get(executor).map(|found| found.listed.born) else {
                continue;
            };
            let permit = good.remove(executor).map(|ticket| Permit { ticket, until });
            advised.known.insert(executor.clone(), (born, permit));
        }
    }

    /// Takes that an executor refused a ticket.
    pub(super) fn ticket_refused(&mut self, id: StepId, executor: &ExecutorId) {
        if let Some(advised) = self.advised.get_mut(&id) {
            advised.known.remove(executor);
        }
    }

    /// Forgets the tickets of a step that is done.
    pub(super) fn forget_step(&mut self, id: StepId) {
        self.advised.remove(&id);
    }

    /// Forgets the tickets of a job that has ended.
    pub(super) fn forget_tickets(&mut self, job: JobId) {
        self.advised.retain(|id, _| id.job != job);
    }
}
