//! The advice service of the world, and the tickets that it gives.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::config::{Advice, Config};
use sycamorerill_jobs::executor::{Permits, Ticket};
use sycamorerill_jobs::id::{ExecutorId, StepId};
use sycamorerill_jobs::shard::{Event, Order};

use super::World;

/// Time for which tickets of the advice service are valid.
const TICKETS_LAST: Span = Span::from_ms(3_000);

fn ticket(step: StepId, executor: &ExecutorId, at: Time) -> Ticket {
    Ticket::from(format!("{step}-{executor}@{}", at.as_ms()).as_str())
}

impl World {
    /// Gives the queue a policy that allows tasks on some executors only.
    pub(crate) fn allow(&mut self, ids: &[&str]) {
        self.allowed = Some(ids.iter().map(|id| ExecutorId::from(*id)).collect());
        let mut config = Config::clone(&self.config);
        config.version += 1;
        for queue in config.queues.values_mut() {
            let (decide, per_executor) = (Span::from_ms(20), Span::from_ms(1));
            queue.advice = Some(Advice { decide, per_executor, valid: TICKETS_LAST });
        }
        self.config = Arc::new(config);
        self.tell(Event::Configured(Arc::clone(&self.config)));
    }

    /// Answers a question for advice as the service would.
    pub(super) fn answer(&mut self, step: StepId, executors: &[ExecutorId]) -> Option<Permits> {
        if self.refused_advice > 0 {
            self.refused_advice -= 1;
            return None;
        }
        self.advised += 1;
        let allowed = self.allowed.as_ref()?;
        let now = self.now;
        let good = executors.iter().filter(|id| allowed.contains(*id));
        let good = good.map(|id| (id.clone(), ticket(step, id, now))).collect();
        Some(Permits { good, valid: TICKETS_LAST })
    }

    /// Reports whether a start carries the ticket that the policy asks for.
    pub(super) fn has_ticket(&self, order: &Order, given: Option<&Ticket>) -> bool {
        let Some(allowed) = &self.allowed else {
            return true;
        };
        let oldest = self.now - TICKETS_LAST;
        let valid = |given: &Ticket| {
            let (of, at) = given.as_str().split_once('@').expect("a ticket of the world");
            let at = Time::from_ms(at.parse().expect("a time"));
            of == format!("{}-{}", order.task.step, order.executor) && at >= oldest
        };
        allowed.contains(&order.executor) && given.is_some_and(valid)
    }
}
