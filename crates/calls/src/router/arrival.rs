//! Arrival of calls, and their routing to an executor, a peer or the queue.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Attempt, CallId, ServiceName};

use super::entry::{Entry, Request, State, Target};
use super::timer::Timer;
use super::{Call, Cause, Choice, Command, Decision, Reason, Router};
use crate::fleet::Index;

impl Router {
    pub(crate) fn arrived(&mut self, now: Time, call: Call, out: &mut Vec<Command>) {
        let id = call.id;
        if self.calls.contains_key(&id) {
            return;
        }
        let declared = self.config.services.contains_key(&call.service);
        self.service_or_insert(now, &call.service);
        let mut entry = Entry::new(call);
        entry.call.team = self.charged_team(&entry.call.service, &entry.call.team);
        let needs_key = entry.needs_key();
        self.calls.insert(id, entry);
        if !declared {
            return self.refuse(id, Reason::UnknownService, out);
        }
        if needs_key {
            return self.begin_key(now, id, out);
        }
        self.route(now, id, Cause::Ranked, out);
    }

    /// Sends, forwards, queues or refuses a call.
    pub(crate) fn route(&mut self, now: Time, id: CallId, cause: Cause, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let (deadline, last_executor) = (entry.call.deadline, entry.last_executor);
        let service = entry.call.service.clone();
        if now >= deadline || self.cannot_meet_deadline(now, &service, deadline) {
            return self.refuse(id, Reason::Deadline, out);
        }
        // A retried call must not overtake the calls in the queue.
        let index = self.choose(&service, last_executor).filter(|_| self.is_idle(&service));
        if let Some(index) = index {
            self.charge(now, id);
            return self.send(now, id, index, cause, out);
        }
        if let Some((peer, cause)) = self.choose_peer(now, id) {
            return self.forward(now, id, peer, cause, out);
        }
        self.enqueue(now, id, out);
    }

    /// Returns whether even half of the mean latency would exceed the deadline.
    ///
    /// Returns `false` while no call is in flight: the estimate may be out of date then, and
    /// only the answers to calls update it.
    fn cannot_meet_deadline(&self, now: Time, service: &ServiceName, deadline: Time) -> bool {
        let min_duration = self.mean(service).scale(0.5);
        now + min_duration > deadline && self.fleet.total(service).in_flight > 0
    }

    /// Returns the executor to send to, which is another than `last_executor` if possible.
    fn choose(&self, service: &ServiceName, last_executor: Option<Index>) -> Option<Index> {
        let first = self.fleet.choose(service)?;
        match last_executor {
            Some(index) if index == first => {
                self.fleet.choose_other(service, index).or(Some(first))
            }
            _ => Some(first),
        }
    }

    /// Charges the call to its flow and to the retry and hedge budgets, once.
    fn charge(&mut self, now: Time, id: CallId) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if std::mem::replace(&mut entry.charged, true) {
            return;
        }
        let (service, team, urgency) =
            (entry.call.service.clone(), entry.call.team.clone(), entry.call.urgency);
        let share = self.config.policy.retry_budget;
        let hedge_share = self.settings.hedge_budget;
        let Some(flow) = self.flow(&service, &team, urgency) else { return };
        let Some(service_state) = self.services.get_mut(&service) else { return };
        service_state.queue.charge(now, flow);
        service_state.retries.deposit(share);
        service_state.hedges.deposit(hedge_share);
    }

    fn enqueue(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let (service, team) = (entry.call.service.clone(), entry.call.team.clone());
        let (urgency, deadline) = (entry.call.urgency, entry.call.deadline);
        if self.is_unservable(now, &service, entry.call.hops) {
            return self.refuse(id, Reason::NoExecutor, out);
        }
        let queue_limits = self.queue_limits(now, &service, deadline);
        let Some(flow) = self.flow(&service, &team, urgency) else { return };
        let Some(service_state) = self.services.get_mut(&service) else { return };
        let Ok(seq) = service_state.queue.push(now, flow, id, queue_limits) else {
            return self.refuse(id, Reason::Overload, out);
        };
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.state = State::Queued { flow, seq };
        entry.charged = true;
        self.set_timer(id, now + queue_limits.max_wait, Timer::LatestStart(id));
        out.push(Command::Decision(Decision {
            call: id,
            choice: Choice::Wait,
            cause: Cause::Busy,
        }));
    }

    /// Returns whether no executor of this instance or a peer could serve a queued call.
    fn is_unservable(&self, now: Time, service: &ServiceName, hops: u8) -> bool {
        let total = self.fleet.total(service);
        let forwarded = hops > 0;
        total.owned == total.ejected && (forwarded || !self.peers.any_usable(now, service))
    }

    /// Refuses all queued calls of a service that no executor can serve any longer.
    pub(crate) fn refuse_unservable(
        &mut self,
        now: Time,
        service: &ServiceName,
        out: &mut Vec<Command>,
    ) {
        if self.fleet.total(service).ejected == 0 || !self.is_unservable(now, service, 0) {
            return;
        }
        while let Some(id) =
            self.services.get_mut(service).and_then(|service_state| service_state.queue.pop(now))
        {
            self.refuse(id, Reason::NoExecutor, out);
        }
    }

    /// Sends queued calls while slots are free.
    pub(crate) fn dispatch(&mut self, now: Time, service: &ServiceName, out: &mut Vec<Command>) {
        while self.fleet.choose(service).is_some() {
            let Some(service_state) = self.services.get_mut(service) else { return };
            let Some(id) = service_state.queue.pop(now) else { return };
            let last_executor = self.calls.get(&id).and_then(|entry| entry.last_executor);
            let Some(index) = self.choose(service, last_executor) else { return };
            let share = self.config.policy.retry_budget;
            if let Some(service_state) = self.services.get_mut(service) {
                service_state.retries.deposit(share);
            }
            self.send(now, id, index, Cause::Next, out);
        }
    }

    pub(crate) fn send(
        &mut self,
        now: Time,
        id: CallId,
        index: Index,
        cause: Cause,
        out: &mut Vec<Command>,
    ) {
        let Some(executor) = self.fleet.executor(index) else { return };
        let longest_run = self.longest_run(executor.service.as_ref());
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let name = executor.name.clone();
        entry.attempts += 1;
        entry.in_flight += 1;
        entry.state = State::Sent;
        entry.last_executor = Some(index);
        let attempt = Attempt(entry.attempts);
        let deadline = entry.call.deadline;
        let service = entry.call.service.clone();
        let request = Request { target: Target::Executor(index), sent: now };
        self.requests.insert((id, attempt), request);
        self.fleet.change(index, |executor| executor.in_flight += 1);
        self.set_timer(id, deadline, Timer::Deadline(id));
        let choice = match cause {
            Cause::Late => Choice::Hedge(name.clone()),
            _ => Choice::Send(name.clone()),
        };
        out.push(Command::Send { call: id, attempt, executor: name, deadline, longest_run });
        out.push(Command::Decision(Decision { call: id, choice, cause }));
        if self.fleet.total(&service).free == 0
            && let Some(service_state) = self.services.get_mut(&service)
        {
            service_state.was_full = true;
        }
        self.plan_hedge(now, id, &service);
    }
}
