//! Second attempts beside a first one that is late, for calls that may run twice.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{CallId, ServiceName};

use super::entry::State;
use super::wake::Timer;
use super::{Command, Router, Why};

/// Part of the usable slots that must be free before a call is hedged, as a divisor.
const MIN_FREE_DIVISOR: u32 = 10;

impl Router {
    /// Notes when the first attempt at a call will be late.
    pub(crate) fn plan_hedge(&mut self, now: Time, id: CallId, service: &ServiceName) {
        if self.settings.hedge_budget.part() == 0.0 {
            return;
        }
        let Some(entry) = self.calls.get(&id) else { return };
        let high = self.services.get(service).map(|service| service.latency.high());
        let high = high.unwrap_or_default();
        if entry.call.idempotent && entry.attempts == 1 && high.as_ms_f64() > 0.0 {
            self.timers.insert((now + high, Timer::Hedge(id)));
        }
    }

    /// Sends a late call to a second executor, if that takes no slot from others.
    pub(crate) fn hedge(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let alone = entry.state == State::Sent && entry.open == 1 && entry.attempts == 1;
        let Some(first) = entry.avoid.filter(|_| alone) else { return };
        let name = entry.call.service.clone();
        let total = self.fleet.total(&name);
        if total.free * MIN_FREE_DIVISOR <= total.usable {
            return;
        }
        let Some(index) = self.fleet.choose_other(&name, first) else { return };
        let Some(service) = self.services.get_mut(&name) else { return };
        if service.queue.is_saturated(now) || !service.hedges.spend() {
            return;
        }
        self.send(now, id, index, Why::Late, out);
    }
}
