//! Hedged requests: a second attempt while the first one is late, for idempotent calls.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{CallId, ServiceName};

use super::entry::State;
use super::timer::Timer;
use super::{Cause, Command, Router};

/// A hedged request is sent only if more than one in this many usable slots is free.
const MIN_FREE_DIVISOR: u32 = 10;

impl Router {
    /// Sets a timer for when the first attempt of an idempotent call becomes late.
    pub(crate) fn plan_hedge(&mut self, now: Time, id: CallId, service: &ServiceName) {
        if self.settings.hedge_budget.as_f64() == 0.0 {
            return;
        }
        let Some(entry) = self.calls.get(&id) else { return };
        let high = self.services.get(service).map(|service| service.latency.high_quantile());
        let high = high.unwrap_or_default();
        if entry.call.idempotent && entry.attempts == 1 && high.as_ms_f64() > 0.0 {
            self.timers.insert((now + high, Timer::Hedge(id)));
        }
    }

    /// Sends a late call to a second executor if enough slots are free and the hedge budget
    /// allows it.
    pub(crate) fn hedge(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let is_only_attempt =
            entry.state == State::Sent && entry.in_flight == 1 && entry.attempts == 1;
        let Some(first) = entry.last_executor.filter(|_| is_only_attempt) else { return };
        let name = entry.call.service.clone();
        let total = self.fleet.total(&name);
        if total.free * MIN_FREE_DIVISOR <= total.usable {
            return;
        }
        let Some(index) = self.fleet.choose_other(&name, first) else { return };
        let Some(service) = self.services.get_mut(&name) else { return };
        if service.queue.is_saturated(now) || !service.hedges.withdraw() {
            return;
        }
        self.send(now, id, index, Cause::Late, out);
    }
}
