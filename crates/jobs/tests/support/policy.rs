//! Simulated advice service and the tickets that it grants.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::config::{AdviceSettings, Config};
use sycamorerill_jobs::executor::{Advice, Ticket};
use sycamorerill_jobs::id::{ExecutorId, StepId};
use sycamorerill_jobs::shard::{Event, Order};

use super::Simulation;

/// Validity of tickets.
const TICKET_VALIDITY: Span = Span::from_ms(3_000);

/// Returns the ticket for a step in one life of an executor.
fn ticket(step: StepId, executor: &ExecutorId, incarnation: u64, at: Time) -> Ticket {
    Ticket::from(format!("{step}-{executor}-{incarnation}@{}", at.as_ms()).as_str())
}

impl Simulation {
    /// Gives the queue a policy that allows only the given executors.
    pub(crate) fn allow_only(&mut self, ids: &[&str]) {
        self.allowed_executors = Some(ids.iter().map(|id| ExecutorId::from(*id)).collect());
        let mut config = Config::clone(&self.config);
        config.version += 1;
        for queue in config.queues.values_mut() {
            let (query_time, per_executor) = (Span::from_ms(20), Span::from_ms(1));
            queue.advice =
                Some(AdviceSettings { query_time, per_executor, valid: TICKET_VALIDITY });
        }
        self.config = Arc::new(config);
        self.handle(Event::Configured(Arc::clone(&self.config)));
    }

    /// Answers a query as the advice service does.
    pub(super) fn answer_query(
        &mut self,
        step: StepId,
        executors: &[ExecutorId],
    ) -> Option<Advice> {
        if self.queries_to_refuse > 0 {
            self.queries_to_refuse -= 1;
            return None;
        }
        self.queries_answered += 1;
        let allowed = self.allowed_executors.as_ref()?;
        let permitted = executors.iter().filter(|id| allowed.contains(*id));
        let grant = |id: &ExecutorId| {
            (id.clone(), ticket(step, id, self.executors[id].incarnation, self.now))
        };
        let permitted = permitted.map(grant).collect();
        Some(Advice { permitted, valid: TICKET_VALIDITY })
    }

    /// Returns whether a start carries a valid ticket, if the policy requires one.
    pub(super) fn has_ticket(&self, order: &Order, given: Option<&Ticket>) -> bool {
        let Some(allowed) = &self.allowed_executors else {
            return true;
        };
        let oldest = self.now - TICKET_VALIDITY;
        let valid = |ticket: &Ticket| {
            let (subject, at) =
                ticket.as_str().split_once('@').expect("a ticket of the simulation");
            let at = Time::from_ms(at.parse().expect("a time"));
            let born = self.executors[&order.executor].incarnation;
            subject == format!("{}-{}-{born}", order.task.step, order.executor) && at >= oldest
        };
        allowed.contains(&order.executor) && given.is_some_and(valid)
    }
}
