//! Exchanges with workers, leases, and workers that fall silent.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::WorkerName;

use super::timer::Wake;
use super::write::Effect;
use super::{Cell, Command, Decision, key};
use crate::journal;
use crate::life::Input;
use crate::worker::{self, Exchange, Token};

impl Cell {
    /// Sees to the exchanges and leases of a worker.
    pub(super) fn attend(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let timeout = self.settings.exchange_timeout;
        if entry.link.outstanding().is_some_and(|at| now.since(at) >= timeout) {
            entry.give_up(now);
        }
        let margin = self.settings.lease_margin;
        let silence = self.settings.silence;
        let silent = entry.link.heard().is_none_or(|at| now.since(at) >= silence);
        let lapsed = !entry.lapsed && silent && now >= entry.link.lapse() + margin;
        if lapsed {
            self.lapse(now, key, out);
        }
        self.workers.reindex(key, now, self.settings.silence);
        self.dirty.insert(key);
    }

    /// Every lease on a worker has lapsed there: what it held runs no more.
    fn lapse(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        if let Some(entry) = self.workers.entry_mut(key) {
            entry.lapsed = true;
        }
        self.drop_holds(now, key, out);
        self.unfenced.remove(&key);
        self.settle(now, out);
    }

    fn drop_holds(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let Some(entry) = self.workers.entry(key) else { return };
        let name = entry.name.clone();
        let tokens: Vec<Token> = entry.holds.keys().copied().collect();
        for token in tokens {
            self.release(key, token);
            let Some(entry) = self.workers.entry_mut(key) else { return };
            let Some(hold) = entry.holds.remove(&token) else { continue };
            if hold.is_off() {
                continue;
            }
            let (task, worker) = (hold.name, name.clone());
            out.push(Command::Decision(Decision::Lost { task, worker }));
            self.off(now, hold.task, token, Input::Lost, out);
            if hold.sent == 0
                && let Some(task) = self.jobs.task_mut(hold.task)
            {
                task.undo_token(token);
            }
        }
        self.after_change(now, key);
    }

    pub(super) fn unreachable(&mut self, now: Time, name: &WorkerName) {
        let Some(key) = self.workers.find(name) else { return };
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let again = now + self.settings.heartbeat.scale(0.4);
        entry.give_up(again);
        self.timer.set(again, Wake::Worker(key));
    }

    pub(super) fn gone(&mut self, now: Time, name: &WorkerName, out: &mut Vec<Command>) {
        let Some(key) = self.workers.find(name) else { return };
        self.drop_holds(now, key, out);
        self.workers.remove(key);
        self.mixes.remove(&key);
        self.unfenced.remove(&key);
        self.journal(journal::Entry::Retired(name.clone()), Effect::None, out);
        self.settle(now, out);
    }

    /// Sends what the dirty workers wait for.
    pub(super) fn send(&mut self, now: Time, out: &mut Vec<Command>) {
        let dirty = std::mem::take(&mut self.dirty);
        for key in dirty {
            self.send_to(now, key, out);
        }
    }

    fn send_to(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let lease = self.lease();
        let (heartbeat, timeout) = (self.settings.heartbeat, self.settings.exchange_timeout);
        let number = self.exchanges + 1;
        let Some(entry) = self.workers.entry_mut(key) else { return };
        if entry.link.outstanding().is_some() {
            return;
        }
        if now < entry.link.quiet_until() {
            self.timer.set(entry.link.quiet_until(), Wake::Worker(key));
            return;
        }
        let renew = now >= entry.link.renew_at();
        if entry.fenced && !renew && !entry.has_commands() {
            return;
        }
        let commands = if entry.fenced { entry.commands(number, lease, renew) } else { Vec::new() };
        let extends = |command: &worker::Command| {
            matches!(command, worker::Command::Start { .. } | worker::Command::Renew { .. })
        };
        let renews = commands.iter().any(extends);
        let exchange = Exchange { epoch: self.epoch, number, as_of: entry.link.as_of(), commands };
        entry.link.open(now, number, lease, renews);
        if renew {
            entry.link.set_renew_at(now + heartbeat);
        }
        let renew_at = entry.link.renew_at();
        let lapse = entry.link.lapse();
        self.exchanges = number;
        let worker = entry.name.clone();
        out.push(Command::Exchange { worker, exchange });
        self.timer.set(renew_at, Wake::Worker(key));
        self.timer.set(now + timeout, Wake::Worker(key));
        self.timer.set(now + self.settings.silence, Wake::Worker(key));
        if lapse < Time::MAX {
            self.timer.set(lapse + self.settings.lease_margin, Wake::Worker(key));
        }
    }
}

impl worker::Entry {
    /// Returns the commands that the worker waits for, and renewals where they are due.
    fn commands(&mut self, number: u64, lease: Span, renew: bool) -> Vec<worker::Command> {
        let mut commands = Vec::new();
        if renew {
            commands.append(&mut self.extras);
        }
        for (token, hold) in &mut self.holds {
            if hold.sent == 0 {
                hold.sent = number;
            }
            if renew && hold.is_kept() {
                let (task, token) = (hold.name.clone(), *token);
                commands.push(worker::Command::Renew { task, token, lease });
            }
            if renew || !hold.told {
                hold.told = true;
                commands.extend(hold.command(*token, lease));
            }
        }
        commands
    }
}
