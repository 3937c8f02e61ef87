//! Instants at which something is due.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, ServiceName};

use super::entry::State;
use super::{Command, Outcome, Reason, Router};
use crate::fleet::{Check, Index};

/// Longest run that is assumed while no service is declared.
const UNDECLARED_LONGEST_RUN: Span = Span::from_secs(60);

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A waiting call that starts later than now would miss its deadline.
    Start(CallId),
    /// The caller wants its answer by now.
    Deadline(CallId),
    /// The owner of the call's key is to be looked for again.
    Seek(CallId),
    /// The first attempt takes longer than nearly all do.
    Hedge(CallId),
    /// Calls that may have occupied slots have ended.
    Hold { index: Index, slots: u32, serial: u64 },
    /// An ejected executor is to be probed, or a suspect to be tried.
    Check(Index),
    /// An executor is handed over even if calls are left on it.
    HandOver(Index),
}

impl Timer {
    pub(crate) fn hold(index: Index, slots: u32, serial: u64) -> Self {
        Self::Hold { index, slots, serial }
    }
}

impl Router {
    /// Returns the instant by which the router wants an event, [`super::Event::Tick`] if
    /// there is none.
    pub fn next_wake(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.ledger.next_expiry()].into_iter().flatten().min()
    }

    /// Returns a number that tells two equal timers apart.
    pub(crate) fn next_timer(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Returns the instant by which a call that may be running has ended.
    pub(crate) fn longest_end(&self, now: Time, service: Option<&ServiceName>) -> Time {
        now + self.longest_run(service)
    }

    /// Returns the longest time from a send to the end of its run, with the way there.
    ///
    /// A declaration that was lowered does not count: calls may be older than it is.
    pub(crate) fn longest_run(&self, service: Option<&ServiceName>) -> Span {
        let declared = service.and_then(|name| self.longest_runs.get(name)).copied();
        let longest = declared.or_else(|| self.longest_runs.values().copied().max());
        longest.unwrap_or(UNDECLARED_LONGEST_RUN) + self.settings.flight
    }

    /// Sets the one timer of a call.
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

    /// Does what is due.
    pub(crate) fn wake(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.due(now, timer, out);
        }
        while let Some(forgotten) = self.ledger.expire(now) {
            out.extend(forgotten.map(|call| Command::Forget { call }));
        }
    }

    fn due(&mut self, now: Time, timer: Timer, out: &mut Vec<Command>) {
        match timer {
            Timer::Start(id) | Timer::Deadline(id) => {
                if let Some(entry) = self.calls.get_mut(&id) {
                    entry.timer = None;
                }
                self.overdue(now, id, out);
            }
            Timer::Seek(id) => self.seek_again(now, id, out),
            Timer::Hedge(id) => self.hedge(now, id, out),
            Timer::Hold { index, slots, .. } => self.end_hold(now, index, slots, out),
            Timer::Check(index) => self.check(now, index, out),
            Timer::HandOver(index) => self.hand_over(index, out),
        }
    }

    fn overdue(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get(&id) else { return };
        match entry.state {
            State::Told => {}
            State::Sent => self.finish(id, Outcome::Unknown(Reason::NoAnswer), out),
            State::Seeking => self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out),
            State::Following => self.finish(id, Outcome::Unknown(Reason::KeyInProgress), out),
            State::Journaling => self.refuse_unkept(id, out),
            State::Waiting { flow, seq } => {
                let name = entry.call.service.clone();
                if let Some(service) = self.services.get_mut(&name) {
                    service.queue.remove(now, flow, seq);
                }
                self.saturate(now, &name);
                self.refuse(id, Reason::Deadline, out);
            }
        }
    }

    fn end_hold(&mut self, now: Time, index: Index, slots: u32, out: &mut Vec<Command>) {
        self.fleet.change(index, |executor| executor.held = executor.held.saturating_sub(slots));
        self.finish_release(index, out);
        self.fleet.forget(index);
        let service = self.fleet.executor(index).and_then(|executor| executor.service.clone());
        if let Some(service) = service {
            self.pump(now, &service, out);
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
