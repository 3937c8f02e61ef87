//! Executors whose slots are owned, and how they change hands.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Epoch, ExecutorName, ServiceName};

use super::wake::Timer;
use super::{Command, Executor, InProgress, Router};
use crate::fleet::{Holding, Index};

/// Calls that are taken to be on an executor whose former owner is gone.
const UNKNOWN_CALLS: u32 = 1_000_000;

impl Router {
    pub(crate) fn listed(
        &mut self,
        now: Time,
        mut executors: Vec<Executor>,
        out: &mut Vec<Command>,
    ) {
        for executor in &mut executors {
            if let Some(declared) = self.config.services.get(&executor.service) {
                executor.slots = executor.slots.min(declared.slots);
            }
        }
        self.fleet.list(executors);
        self.pump_all(now, out);
    }

    pub(crate) fn pump_all(&mut self, now: Time, out: &mut Vec<Command>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.pump(now, &name, out);
        }
    }

    pub(crate) fn owned(
        &mut self,
        now: Time,
        name: &ExecutorName,
        epoch: Epoch,
        in_progress: InProgress,
        out: &mut Vec<Command>,
    ) {
        let index = self.fleet.index(name);
        let executor = index.and_then(|index| self.fleet.executor(index));
        let holding = executor.map_or(Holding::None, |executor| executor.holding);
        let service = executor.and_then(|executor| executor.service.clone());
        if matches!(holding, Holding::Owned(known) if known >= epoch) {
            return;
        }
        let index = self.fleet.own(name, Holding::Owned(epoch));
        if holding == Holding::None {
            self.hold_former(now, index, service.as_ref(), in_progress);
        }
        if let Some(service) = service {
            self.announce_first(&service, out);
            self.pump(now, &service, out);
        }
    }

    /// Tells the peers when this is the first executor of the service here.
    fn announce_first(&self, service: &ServiceName, out: &mut Vec<Command>) {
        if self.fleet.total(service).owned == 1 {
            out.push(Command::Announce);
        }
    }

    /// Holds the slots that calls of a former owner may occupy until the longest run passed.
    fn hold_former(
        &mut self,
        now: Time,
        index: Index,
        service: Option<&ServiceName>,
        in_progress: InProgress,
    ) {
        let held = match in_progress {
            InProgress::Known(0) => return,
            InProgress::Known(calls) => calls,
            InProgress::Unknown => UNKNOWN_CALLS,
        };
        self.fleet.change(index, |executor| executor.held = executor.held.saturating_add(held));
        let until = self.longest_end(now, service);
        let timer = Timer::hold(index, held, self.next_timer());
        self.timers.insert((until, timer));
    }

    pub(crate) fn released(&mut self, now: Time, name: &ExecutorName, out: &mut Vec<Command>) {
        let Some(index) = self.fleet.index(name) else { return };
        self.release(now, index, out);
    }

    pub(crate) fn release(&mut self, now: Time, index: Index, out: &mut Vec<Command>) {
        let owned = self.fleet.executor(index).is_some_and(|executor| executor.is_owned());
        if !owned {
            return;
        }
        self.fleet.change(index, |executor| executor.holding = Holding::Releasing);
        self.timers.insert((now + self.settings.hand_over, Timer::HandOver(index)));
        self.finish_release(index, out);
    }

    /// Hands an executor over when none of its calls is left.
    pub(crate) fn finish_release(&mut self, index: Index, out: &mut Vec<Command>) {
        let Some(executor) = self.fleet.executor(index) else { return };
        if executor.holding == Holding::Releasing && executor.occupied() == 0 {
            self.hand_over(index, out);
        }
    }

    /// Hands an executor over with the calls that are left on it.
    pub(crate) fn hand_over(&mut self, index: Index, out: &mut Vec<Command>) {
        let Some(executor) = self.fleet.executor(index) else { return };
        if executor.holding != Holding::Releasing {
            return;
        }
        let most = if executor.slots > 0 { executor.slots } else { UNKNOWN_CALLS };
        let (name, in_progress) = (executor.name.clone(), executor.occupied().min(most));
        self.fleet.change(index, |executor| executor.holding = Holding::None);
        out.push(Command::Drained { executor: name, in_progress });
        self.fleet.forget(index);
    }

    pub(crate) fn probed(
        &mut self,
        now: Time,
        name: &ExecutorName,
        healthy: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(index) = self.fleet.index(name) else { return };
        self.fleet.probed(index, healthy);
        let service = self.fleet.executor(index).and_then(|executor| executor.service.clone());
        if let Some(service) = service {
            self.pump(now, &service, out);
        }
    }

    /// Hands over what is owned as soon as no call of its service waits.
    pub(crate) fn drain(&mut self, now: Time, out: &mut Vec<Command>) {
        self.forward_waiting(now, out);
        let owned: Vec<Index> = self
            .fleet
            .held()
            .filter(|executor| executor.is_owned())
            .filter(|executor| executor.service.as_ref().is_none_or(|name| self.is_idle(name)))
            .filter_map(|executor| self.fleet.index(&executor.name))
            .collect();
        for index in owned {
            self.release(now, index, out);
        }
        let done = self.calls.is_empty() && self.flights.is_empty();
        if done && !self.finished && self.fleet.held().next().is_none() {
            self.finished = true;
            out.push(Command::Finished);
        }
    }

    /// Reports whether no call of the service waits here.
    pub(crate) fn is_idle(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_none_or(|service| service.queue.len() == 0)
    }
}
