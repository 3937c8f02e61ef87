//! Acquisition and release of executors whose slots this instance owns.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Epoch, ExecutorName, ServiceName};

use super::timer::Timer;
use super::{Command, Executor, InProgress, Router};
use crate::fleet::{Index, Ownership};

/// Number of held slots that marks every slot of an executor as occupied.
///
/// It exceeds the slots of any executor, whose number may not be known yet.
const ALL_SLOTS: u32 = 1_000_000;

impl Router {
    pub(crate) fn executors_listed(
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
        self.fleet.apply_list(executors);
        self.dispatch_all(now, out);
    }

    pub(crate) fn dispatch_all(&mut self, now: Time, out: &mut Vec<Command>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.dispatch(now, &name, out);
        }
    }

    pub(crate) fn executor_owned(
        &mut self,
        now: Time,
        name: &ExecutorName,
        epoch: Epoch,
        in_progress: InProgress,
        out: &mut Vec<Command>,
    ) {
        let index = self.fleet.index(name);
        let executor = index.and_then(|index| self.fleet.executor(index));
        let ownership = executor.map_or(Ownership::None, |executor| executor.ownership);
        let service = executor.and_then(|executor| executor.service.clone());
        if matches!(ownership, Ownership::Owned(known) if known >= epoch) {
            return;
        }
        let index = self.fleet.set_ownership(name, Ownership::Owned(epoch));
        if ownership == Ownership::None {
            self.hold_former_slots(now, index, service.as_ref(), in_progress);
        }
        if let Some(service) = service {
            self.announce_first_executor(&service, out);
            self.dispatch(now, &service, out);
        }
    }

    /// Announces the load to the peers if this is the first owned executor of the service.
    fn announce_first_executor(&self, service: &ServiceName, out: &mut Vec<Command>) {
        if self.fleet.total(service).owned == 1 {
            out.push(Command::Announce);
        }
    }

    /// Holds the slots that calls of a former owner may occupy until the longest run has
    /// passed.
    fn hold_former_slots(
        &mut self,
        now: Time,
        index: Index,
        service: Option<&ServiceName>,
        in_progress: InProgress,
    ) {
        let held = match in_progress {
            InProgress::Known(0) => return,
            InProgress::Known(calls) => calls,
            InProgress::Unknown => ALL_SLOTS,
        };
        self.fleet.change(index, |executor| executor.held = executor.held.saturating_add(held));
        let until = self.latest_run_end(now, service);
        let timer = Timer::hold(index, held, self.next_timer_serial());
        self.timers.insert((until, timer));
    }

    pub(crate) fn release_requested(
        &mut self,
        now: Time,
        name: &ExecutorName,
        out: &mut Vec<Command>,
    ) {
        let Some(index) = self.fleet.index(name) else { return };
        self.release(now, index, out);
    }

    pub(crate) fn release(&mut self, now: Time, index: Index, out: &mut Vec<Command>) {
        let owned = self.fleet.executor(index).is_some_and(|executor| executor.is_owned());
        if !owned {
            return;
        }
        self.fleet.change(index, |executor| executor.ownership = Ownership::Releasing);
        self.timers.insert((now + self.settings.hand_over_timeout, Timer::HandOver(index)));
        self.finish_release(index, out);
    }

    /// Hands over a released executor if none of its slots is occupied.
    pub(crate) fn finish_release(&mut self, index: Index, out: &mut Vec<Command>) {
        let Some(executor) = self.fleet.executor(index) else { return };
        if executor.ownership == Ownership::Releasing && executor.occupied() == 0 {
            self.hand_over(index, out);
        }
    }

    /// Hands over a released executor together with the calls that remain on it.
    pub(crate) fn hand_over(&mut self, index: Index, out: &mut Vec<Command>) {
        let Some(executor) = self.fleet.executor(index) else { return };
        if executor.ownership != Ownership::Releasing {
            return;
        }
        let max_in_progress = if executor.slots > 0 { executor.slots } else { ALL_SLOTS };
        let (name, in_progress) = (executor.name.clone(), executor.occupied().min(max_in_progress));
        self.fleet.change(index, |executor| executor.ownership = Ownership::None);
        out.push(Command::HandOver { executor: name, in_progress });
        self.fleet.remove_unused(index);
    }

    pub(crate) fn probed(
        &mut self,
        now: Time,
        name: &ExecutorName,
        healthy: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(index) = self.fleet.index(name) else { return };
        self.fleet.record_probe(index, healthy);
        let service = self.fleet.executor(index).and_then(|executor| executor.service.clone());
        if let Some(service) = service {
            self.dispatch(now, &service, out);
        }
    }

    /// Releases each owned executor once no call of its service is queued, and reports when
    /// the drain is complete.
    pub(crate) fn drain(&mut self, now: Time, out: &mut Vec<Command>) {
        self.forward_waiting(now, out);
        let owned: Vec<Index> = self
            .fleet
            .owned_or_releasing()
            .filter(|executor| executor.is_owned())
            .filter(|executor| executor.service.as_ref().is_none_or(|name| self.is_idle(name)))
            .filter_map(|executor| self.fleet.index(&executor.name))
            .collect();
        for index in owned {
            self.release(now, index, out);
        }
        let done = self.calls.is_empty() && self.requests.is_empty();
        if done && !self.finished && self.fleet.owned_or_releasing().next().is_none() {
            self.finished = true;
            out.push(Command::DrainComplete);
        }
    }

    /// Returns whether no call of the service is queued.
    pub(crate) fn is_idle(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_none_or(|service| service.queue.len() == 0)
    }
}
