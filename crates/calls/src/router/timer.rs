//! Timers of a router.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, ServiceName};

use super::entry::State;
use super::{Command, Outcome, Reason, Router};
use crate::fleet::{Check, Index};

/// Longest run that is assumed before any service was declared.
const UNDECLARED_LONGEST_RUN: Span = Span::from_secs(60);

/// Action that is due at a certain time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A queued call that starts later would miss its deadline.
    LatestStart(CallId),
    /// The deadline of a call has passed.
    Deadline(CallId),
    /// The owner of the key of a call must be looked up again.
    RetryKeyOwner(CallId),
    /// The first attempt of a call has exceeded the high quantile of the latency.
    Hedge(CallId),
    /// Calls that may have occupied held slots have ended.
    Hold { index: Index, slots: u32, serial: u64 },
    /// An ejected executor must be probed, or a suspect checked.
    Check(Index),
    /// A released executor is handed over even if calls remain on it.
    HandOver(Index),
}

impl Timer {
    pub(crate) fn hold(index: Index, slots: u32, serial: u64) -> Self {
        Self::Hold { index, slots, serial }
    }
}

impl Router {
    /// Returns the time by which the router must handle its next event.
    ///
    /// If no other event occurs by then, the daemon must send [`super::Event::Tick`].
    pub fn next_wake(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.ledger.next_expiry()].into_iter().flatten().min()
    }

    /// Returns a new serial number, which distinguishes otherwise equal timers.
    pub(crate) fn next_timer_serial(&mut self) -> u64 {
        self.timer_serial += 1;
        self.timer_serial
    }

    /// Returns the time by which a call that may be running now has ended.
    pub(crate) fn latest_run_end(&self, now: Time, service: Option<&ServiceName>) -> Time {
        now + self.longest_run(service)
    }

    /// Returns the longest time from sending a request to the end of its run, including the
    /// allowance for transit.
    ///
    /// Uses the largest value that was ever declared: calls in progress may have been sent
    /// before the declared value was lowered.
    pub(crate) fn longest_run(&self, service: Option<&ServiceName>) -> Span {
        let declared = service.and_then(|name| self.longest_runs.get(name)).copied();
        let longest = declared.or_else(|| self.longest_runs.values().copied().max());
        longest.unwrap_or(UNDECLARED_LONGEST_RUN) + self.settings.transit_allowance
    }

    /// Sets the timer of a call and replaces the previous one.
    pub(crate) fn set_timer(&mut self, id: CallId, at: Time, timer: Timer) {
        self.clear_timer(id);
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.timer = Some((at, timer));
        self.timers.insert((at, timer));
    }

    pub(crate) fn clear_timer(&mut self, id: CallId) {
        let timer = self.calls.get_mut(&id).and_then(|entry| entry.timer.take());
        if let Some(timer) = timer {
            self.timers.remove(&timer);
        }
    }

    /// Runs all timers that are due and removes expired keys.
    pub(crate) fn run_due_timers(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.fire(now, timer, out);
        }
        while let Some(forgotten) = self.ledger.expire(now) {
            out.extend(forgotten.map(|call| Command::DropAnswer { call }));
        }
    }

    fn fire(&mut self, now: Time, timer: Timer, out: &mut Vec<Command>) {
        match timer {
            Timer::LatestStart(id) | Timer::Deadline(id) => {
                if let Some(entry) = self.calls.get_mut(&id) {
                    entry.timer = None;
                }
                self.time_out(now, id, out);
            }
            Timer::RetryKeyOwner(id) => self.retry_key_owner(now, id, out),
            Timer::Hedge(id) => self.hedge(now, id, out),
            Timer::Hold { index, slots, .. } => self.end_hold(now, index, slots, out),
            Timer::Check(index) => self.check(now, index, out),
            Timer::HandOver(index) => self.hand_over(index, out),
        }
    }

    fn time_out(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        match entry.state {
            State::Replied => {}
            State::Sent => self.finish(id, Outcome::Unknown(Reason::NoAnswer), out),
            State::AwaitingKeyOwner => self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out),
            State::AwaitingFirst => self.finish(id, Outcome::Unknown(Reason::KeyInProgress), out),
            State::Journaling => self.refuse_not_durable(id, out),
            State::Queued { flow, seq } => {
                let name = entry.call.service.clone();
                if let Some(service) = self.services.get_mut(&name) {
                    service.queue.remove(now, flow, seq);
                }
                self.mark_saturated(now, &name);
                self.refuse(id, Reason::Deadline, out);
            }
        }
    }

    fn end_hold(&mut self, now: Time, index: Index, slots: u32, out: &mut Vec<Command>) {
        self.fleet.change(index, |executor| executor.held = executor.held.saturating_sub(slots));
        self.finish_release(index, out);
        self.fleet.remove_unused(index);
        let service = self.fleet.executor(index).and_then(|executor| executor.service.clone());
        if let Some(service) = service {
            self.dispatch(now, &service, out);
        }
    }

    fn check(&mut self, now: Time, index: Index, out: &mut Vec<Command>) {
        let next = match self.fleet.check(now, index) {
            Check::Done => return,
            Check::Later(next) => next,
            Check::Probe(next) => {
                let name = self.fleet.executor(index).map(|executor| executor.name.clone());
                out.extend(name.map(|executor| Command::Probe { executor }));
                next
            }
        };
        self.timers.insert((next, Timer::Check(index)));
    }
}
