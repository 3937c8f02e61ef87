//! Exchanges with workers, their leases, and workers that stop reporting.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::WorkerName;

use super::timer::TimerAction;
use super::writer::Effect;
use super::{Cell, Command, Decision, key};
use crate::journal;
use crate::life::Input;
use crate::worker::{self, Exchange, Token};

impl Cell {
    /// Handles a timer of a worker: an exchange that timed out, leases that lapsed, or an
    /// exchange that is due.
    pub(super) fn check_worker(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let timeout = self.settings.exchange_timeout;
        if entry.session.outstanding().is_some_and(|at| now.since(at) >= timeout) {
            entry.abandon(now);
        }
        let margin = self.settings.lease_margin;
        let max_age = self.settings.max_report_age;
        let silent = entry.session.last_report_at().is_none_or(|at| now.since(at) >= max_age);
        let newly_lapsed =
            !entry.leases_lapsed && silent && now >= entry.session.lapse_at() + margin;
        if newly_lapsed {
            self.leases_lapsed(now, key, out);
        }
        self.workers.reindex(key, now, self.settings.max_report_age);
        self.pending_send.insert(key);
    }

    /// Removes all assignments of a worker whose leases have all lapsed, as none of its tasks
    /// runs any longer.
    fn leases_lapsed(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let starts = self.recent_starts(key, self.last_report_at(key));
        if let Some(entry) = self.workers.entry_mut(key) {
            entry.leases_lapsed = true;
            entry.lapsed_starts = starts;
        }
        self.remove_assignments(now, key, out);
        self.unfenced.remove(&key);
        self.reconcile(now, out);
    }

    fn remove_assignments(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let Some(entry) = self.workers.entry(key) else { return };
        let name = entry.name.clone();
        let tokens: Vec<Token> = entry.assignments.keys().copied().collect();
        for token in tokens {
            self.release(key, token);
            let Some(entry) = self.workers.entry_mut(key) else { return };
            let Some(assignment) = entry.assignments.remove(&token) else { continue };
            if assignment.is_inactive() {
                continue;
            }
            let (task, worker) = (assignment.name, name.clone());
            out.push(Command::Decision(Decision::Lost { task, worker }));
            let input = if assignment.is_given_up { Input::Exhausted } else { Input::Lost };
            self.task_left_worker(now, assignment.task, token, input, out);
            if assignment.first_exchange == 0
                && let Some(task) = self.jobs.task_mut(assignment.task)
            {
                task.undo_token(token);
            }
        }
        self.refresh_worker(now, key);
    }

    pub(super) fn worker_unreachable(&mut self, now: Time, name: &WorkerName) {
        let Some(key) = self.workers.find(name) else { return };
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let retry_after = now + self.settings.heartbeat_interval.scale(0.4);
        entry.abandon(retry_after);
        self.timer.set(retry_after, TimerAction::CheckWorker(key));
    }

    pub(super) fn worker_gone(&mut self, now: Time, name: &WorkerName, out: &mut Vec<Command>) {
        let Some(key) = self.workers.find(name) else { return };
        self.attribute_crash(now, key, self.last_report_at(key), out);
        self.remove_assignments(now, key, out);
        self.workers.remove(key);
        self.mix_history.remove(&key);
        self.unfenced.remove(&key);
        self.journal(journal::Entry::Retired(name.clone()), Effect::None, out);
        self.reconcile(now, out);
    }

    /// Sends an exchange to each worker for which one is due.
    pub(super) fn send_pending(&mut self, now: Time, out: &mut Vec<Command>) {
        let pending = std::mem::take(&mut self.pending_send);
        for key in pending {
            self.send_exchange(now, key, out);
        }
    }

    fn send_exchange(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let lease = self.lease();
        let (heartbeat, timeout) =
            (self.settings.heartbeat_interval, self.settings.exchange_timeout);
        let number = self.last_exchange + 1;
        let Some(entry) = self.workers.entry_mut(key) else { return };
        if entry.session.outstanding().is_some() {
            return;
        }
        if now < entry.session.retry_after() {
            self.timer.set(entry.session.retry_after(), TimerAction::CheckWorker(key));
            return;
        }
        let renew = now >= entry.session.renew_at();
        if entry.fenced && !renew && !entry.has_unsent_commands() {
            return;
        }
        let commands = if entry.fenced { entry.commands(number, lease, renew) } else { Vec::new() };
        let extends = |command: &worker::Command| {
            matches!(command, worker::Command::Start { .. } | worker::Command::Renew { .. })
        };
        let renews = commands.iter().any(extends);
        let exchange = Exchange {
            epoch: self.epoch,
            number,
            lease_base: entry.session.lease_base(),
            commands,
        };
        entry.session.begin_exchange(now, number, lease, renews);
        if renew {
            entry.session.set_renew_at(now + heartbeat);
        }
        let renew_at = entry.session.renew_at();
        let lapse_at = entry.session.lapse_at();
        self.last_exchange = number;
        let worker = entry.name.clone();
        out.push(Command::Exchange { worker, exchange });
        self.timer.set(renew_at, TimerAction::CheckWorker(key));
        self.timer.set(now + timeout, TimerAction::CheckWorker(key));
        self.timer.set(now + self.settings.max_report_age, TimerAction::CheckWorker(key));
        if lapse_at < Time::MAX {
            self.timer.set(lapse_at + self.settings.lease_margin, TimerAction::CheckWorker(key));
        }
    }
}

impl worker::Entry {
    /// Returns the unsent commands.
    ///
    /// If `renew` is set, also returns renewals, repeats of commands already sent, and the
    /// commands for stale tasks.
    fn commands(&mut self, number: u64, lease: Span, renew: bool) -> Vec<worker::Command> {
        let mut commands = Vec::new();
        if renew {
            commands.append(&mut self.stale_commands);
        }
        for (token, assignment) in &mut self.assignments {
            if assignment.first_exchange == 0 {
                assignment.first_exchange = number;
            }
            if renew && assignment.needs_renewal() {
                let (task, token) = (assignment.name.clone(), *token);
                commands.push(worker::Command::Renew { task, token, lease });
            }
            if renew || !assignment.command_sent {
                assignment.command_sent = true;
                commands.extend(assignment.command(*token, lease));
            }
        }
        commands
    }
}
