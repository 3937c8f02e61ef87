//! Calls that arrive, and where they go first.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Attempt, CallId, ServiceName};

use super::entry::{Entry, Flight, State, Target};
use super::wake::Timer;
use super::{Call, Choice, Command, Decision, Reason, Router, Why};
use crate::fleet::Index;

impl Router {
    pub(crate) fn arrived(&mut self, now: Time, call: Call, out: &mut Vec<Command>) {
        let id = call.id;
        if self.calls.contains_key(&id) {
            return;
        }
        let known = self.config.services.contains_key(&call.service);
        self.service(now, &call.service);
        let mut entry = Entry::new(call);
        entry.call.team = self.counted_team(&entry.call.service, &entry.call.team);
        let needs_key = entry.needs_key();
        self.calls.insert(id, entry);
        if !known {
            return self.refuse(id, Reason::UnknownService, out);
        }
        if needs_key {
            return self.begin_key(now, id, out);
        }
        self.place(now, id, Why::Ranked, out);
    }

    /// Sends a call, forwards it, queues it or refuses it.
    pub(crate) fn place(&mut self, now: Time, id: CallId, why: Why, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let (deadline, avoid) = (entry.call.deadline, entry.avoid);
        let service = entry.call.service.clone();
        if now >= deadline || self.is_hopeless(now, &service, deadline) {
            return self.refuse(id, Reason::Deadline, out);
        }
        // A call that is placed anew does not go before those that wait.
        let index = self.choose(&service, avoid).filter(|_| self.is_idle(&service));
        if let Some(index) = index {
            self.charge(now, id);
            return self.send(now, id, index, why, out);
        }
        if let Some((peer, why)) = self.peer_for(now, id) {
            return self.forward(now, id, peer, why, out);
        }
        self.enqueue(now, id, out);
    }

    /// Reports whether half of the mean run time is too much for the deadline.
    ///
    /// While nothing runs here the estimate may be out of date, and only calls renew it.
    fn is_hopeless(&self, now: Time, service: &ServiceName, deadline: Time) -> bool {
        let least = self.mean(service).scale(0.5);
        now + least > deadline && self.fleet.total(service).in_flight > 0
    }

    fn choose(&self, service: &ServiceName, avoid: Option<Index>) -> Option<Index> {
        let first = self.fleet.choose(service)?;
        match avoid {
            Some(index) if index == first => {
                self.fleet.choose_other(service, index).or(Some(first))
            }
            _ => Some(first),
        }
    }

    /// Counts the call for the share of its team, once.
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
        let Some(kept) = self.services.get_mut(&service) else { return };
        kept.queue.charge(now, flow);
        kept.retries.earn(share);
        kept.hedges.earn(hedge_share);
    }

    fn enqueue(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let (service, team) = (entry.call.service.clone(), entry.call.team.clone());
        let (urgency, deadline) = (entry.call.urgency, entry.call.deadline);
        if self.is_stuck(now, &service, entry.call.hops) {
            return self.refuse(id, Reason::NoExecutor, out);
        }
        let offer = self.offer(now, &service, deadline);
        let Some(flow) = self.flow(&service, &team, urgency) else { return };
        let Some(kept) = self.services.get_mut(&service) else { return };
        let Ok(seq) = kept.queue.push(now, flow, id, offer) else {
            return self.refuse(id, Reason::Overload, out);
        };
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.state = State::Waiting { flow, seq };
        entry.charged = true;
        self.set_timer(id, now + offer.max_wait, Timer::Start(id));
        out.push(Command::Decision(Decision { call: id, choice: Choice::Wait, why: Why::Busy }));
    }

    /// Reports whether a call that waits here would wait for nothing.
    fn is_stuck(&self, now: Time, service: &ServiceName, hops: u8) -> bool {
        let total = self.fleet.total(service);
        let forwarded = hops > 0;
        total.owned == total.ejected && (forwarded || !self.peers.any_usable(now, service))
    }

    /// Refuses the calls that wait for nothing any more.
    pub(crate) fn refuse_stuck(
        &mut self,
        now: Time,
        service: &ServiceName,
        out: &mut Vec<Command>,
    ) {
        if self.fleet.total(service).ejected == 0 || !self.is_stuck(now, service, 0) {
            return;
        }
        while let Some(id) = self.services.get_mut(service).and_then(|kept| kept.queue.pop(now)) {
            self.refuse(id, Reason::NoExecutor, out);
        }
    }

    /// Sends waiting calls while slots are free.
    pub(crate) fn pump(&mut self, now: Time, service: &ServiceName, out: &mut Vec<Command>) {
        while self.fleet.choose(service).is_some() {
            let Some(kept) = self.services.get_mut(service) else { return };
            let Some(id) = kept.queue.pop(now) else { return };
            let avoid = self.calls.get(&id).and_then(|entry| entry.avoid);
            let Some(index) = self.choose(service, avoid) else { return };
            let share = self.config.policy.retry_budget;
            if let Some(kept) = self.services.get_mut(service) {
                kept.retries.earn(share);
            }
            self.send(now, id, index, Why::Next, out);
        }
    }

    pub(crate) fn send(
        &mut self,
        now: Time,
        id: CallId,
        index: Index,
        why: Why,
        out: &mut Vec<Command>,
    ) {
        let Some(executor) = self.fleet.executor(index) else { return };
        let longest_run = self.longest_run(executor.service.as_ref());
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let name = executor.name.clone();
        entry.attempts += 1;
        entry.open += 1;
        entry.state = State::Sent;
        entry.avoid = Some(index);
        let attempt = Attempt(entry.attempts);
        let deadline = entry.call.deadline;
        let service = entry.call.service.clone();
        let flight = Flight { target: Target::Executor(index), sent: now };
        self.flights.insert((id, attempt), flight);
        self.fleet.change(index, |executor| executor.in_flight += 1);
        self.set_timer(id, deadline, Timer::Deadline(id));
        let choice = match why {
            Why::Late => Choice::Hedge(name.clone()),
            _ => Choice::Send(name.clone()),
        };
        out.push(Command::Send { call: id, attempt, executor: name, deadline, longest_run });
        out.push(Command::Decision(Decision { call: id, choice, why }));
        if self.fleet.total(&service).free == 0
            && let Some(kept) = self.services.get_mut(&service)
        {
            kept.was_full = true;
        }
        self.plan_hedge(now, id, &service);
    }
}
