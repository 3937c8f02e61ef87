//! Reports of workers and what they mean for tasks.

use std::collections::BTreeSet;

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::WorkerName;
use sycamorerill_core::size::Size;

use super::timer::Wake;
use super::write::Effect;
use super::{Cell, Command, Decision, key};
use crate::journal::Entry;
use crate::life::{Input, State};
use crate::worker::{Held, Phase, Report, Token, Worth};

impl Cell {
    pub(super) fn reported(
        &mut self,
        now: Time,
        name: &WorkerName,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        if report.epoch > self.epoch {
            self.superseded = true;
            out.push(Command::Superseded(report.epoch));
            return;
        }
        let Some(key) = self.workers.find(name) else { return };
        let Some(entry) = self.workers.entry_mut(key) else { return };
        if report.epoch != self.epoch || entry.link.answer(&report, now) == Worth::Late {
            return;
        }
        entry.fenced = true;
        let incarnation = Some(report.at.incarnation());
        let restarted = std::mem::replace(&mut entry.incarnation, incarnation) != incarnation;
        entry.lapsed = false;
        entry.size = report.size;
        entry.extras.clear();
        entry.foreign = Size::ZERO;
        if restarted {
            self.ask_admission(key, out);
        }
        self.take_held(now, key, &report, out);
        self.unfenced.remove(&key);
        self.after_change(now, key);
        self.settle(now, out);
        self.watch(now, key, out);
        self.dirty.insert(key);
        self.plan_exchange(now, key);
    }

    /// Plans the next exchange with a worker that has just reported.
    fn plan_exchange(&mut self, now: Time, key: key::Worker) {
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let after = match entry.takes_off() {
            true => self.settings.poll,
            false => self.settings.heartbeat,
        };
        let at = entry.link.renew_at().min(now + after);
        entry.link.set_renew_at(at);
        self.timer.set(at, Wake::Worker(key));
    }

    fn take_held(
        &mut self,
        now: Time,
        worker: key::Worker,
        report: &Report,
        out: &mut Vec<Command>,
    ) {
        let mut listed = BTreeSet::new();
        for held in &report.held {
            listed.insert(held.token);
            self.take_word(now, worker, held, out);
        }
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        entry.sum_up();
        let answered = report.answers;
        let missing = entry.holds.iter().filter(|(token, hold)| {
            let sent = hold.sent != 0 && hold.sent <= answered;
            !listed.contains(token) && (hold.phase.is_some() || sent)
        });
        let missing: Vec<Token> = missing.map(|(token, _)| *token).collect();
        for token in missing {
            self.drop_hold(now, worker, token, out);
        }
    }

    /// A worker no longer lists a task.
    fn drop_hold(&mut self, now: Time, worker: key::Worker, token: Token, out: &mut Vec<Command>) {
        self.release(worker, token);
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(hold) = entry.holds.remove(&token) else { return };
        if hold.is_off() {
            return;
        }
        let input = if hold.phase.is_some() { Input::Lost } else { Input::Refused };
        self.off(now, hold.task, token, input, out);
    }

    fn take_word(&mut self, now: Time, worker: key::Worker, held: &Held, out: &mut Vec<Command>) {
        let known =
            self.workers.entry(worker).is_some_and(|entry| entry.holds.contains_key(&held.token));
        if !known && !self.adopt(now, worker, held) {
            self.counts.stale += 1;
            self.answer_stale(worker, held);
            return;
        }
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(hold) = entry.holds.get_mut(&held.token) else { return };
        hold.usage.clone_from(&held.usage);
        let before = hold.phase.replace(held.phase.clone());
        let (task, was_on) = (hold.task, !before.as_ref().is_some_and(Phase::is_off));
        if before.as_ref() != Some(&held.phase) && was_on {
            hold.told = false;
            self.apply_word(now, worker, task, held, out);
        }
    }

    fn apply_word(
        &mut self,
        now: Time,
        worker: key::Worker,
        task: key::Task,
        held: &Held,
        out: &mut Vec<Command>,
    ) {
        if held.phase.is_off() {
            self.release(worker, held.token);
        }
        let current = self.jobs.task(task).is_some_and(|task| task.token == Some(held.token));
        if !current {
            self.let_go(worker, held.token);
            return;
        }
        match &held.phase {
            Phase::Running => self.step(now, task, Input::Running),
            Phase::Throttled(_) => self.step(now, task, Input::Throttled),
            Phase::Checkpointing => self.step(now, task, Input::Checkpointing),
            Phase::Stopped => self.off_and_forget(now, worker, held, task, Input::Stopped, out),
            Phase::Lapsed => self.off_and_forget(now, worker, held, task, Input::Lapsed, out),
            Phase::Checkpointed(_) | Phase::Finished | Phase::Failed(_) => {
                self.ended_word(now, worker, task, held, out);
            }
        }
    }

    fn off_and_forget(
        &mut self,
        now: Time,
        worker: key::Worker,
        held: &Held,
        task: key::Task,
        input: Input,
        out: &mut Vec<Command>,
    ) {
        self.let_go(worker, held.token);
        self.off(now, task, held.token, input, out);
    }

    fn let_go(&mut self, worker: key::Worker, token: Token) {
        if let Some(entry) = self.workers.entry_mut(worker)
            && let Some(hold) = entry.holds.get_mut(&token)
        {
            hold.may_forget = true;
            hold.told = false;
        }
    }

    /// Takes a word that must last before the worker may forget it.
    fn ended_word(
        &mut self,
        now: Time,
        worker: key::Worker,
        key: key::Task,
        held: &Held,
        out: &mut Vec<Command>,
    ) {
        let is_final = self.jobs.task(key).is_none_or(|task| task.state.is_final());
        if is_final {
            self.let_go(worker, held.token);
            return self.off(now, key, held.token, Input::Stopped, out);
        }
        let input = match &held.phase {
            Phase::Checkpointed(checkpoint) => {
                if let Some(task) = self.jobs.task_mut(key) {
                    task.checkpoint = Some(checkpoint.clone());
                }
                Input::Checkpointed
            }
            Phase::Failed(fault) => self.failed(now, worker, key, held, *fault, out),
            _ => self.finished(now, worker, key, held, out),
        };
        self.write_word(worker, key, held.token, &held.phase, input, out);
        self.off(now, key, held.token, input, out);
    }

    fn write_word(
        &mut self,
        worker: key::Worker,
        key: key::Task,
        token: Token,
        phase: &Phase,
        input: Input,
        out: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.entry(key.job()) else { return };
        let (job, task) = (job.job.name.clone(), key.index());
        let count = self.jobs.task(key).map_or(0, |task| task.attempts);
        let entry = match phase {
            Phase::Checkpointed(checkpoint) => {
                Entry::Checkpointed { job, task, checkpoint: checkpoint.clone() }
            }
            Phase::Failed(_) => {
                Entry::Attempts { job, task, count, last: input == Input::Exhausted }
            }
            _ => Entry::Finished { job, task },
        };
        self.journal(entry, Effect::Forget(worker, token), out);
    }

    /// Journals the word of a worker again.
    pub(super) fn write_again(
        &mut self,
        _now: Time,
        worker: key::Worker,
        token: Token,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.workers.entry(worker) else { return };
        let Some(hold) = entry.holds.get(&token) else { return };
        let (key, Some(phase)) = (hold.task, hold.phase.clone()) else { return };
        let failed = self.jobs.task(key).is_some_and(|task| task.state == State::Failed);
        let input = if failed { Input::Exhausted } else { Input::Fault };
        self.write_word(worker, key, token, &phase, input, out);
    }

    fn finished(
        &mut self,
        now: Time,
        worker: key::Worker,
        key: key::Task,
        held: &Held,
        out: &mut Vec<Command>,
    ) -> Input {
        let (task, token) = (held.task.clone(), held.token);
        out.push(Command::Decision(Decision::Finished { task, token }));
        let Some(job) = self.jobs.entry(key.job()) else { return Input::Finished };
        let (class, declared) = (job.class, job.run_time);
        let Some(entry) = self.workers.entry_mut(worker) else { return Input::Finished };
        self.faults.finished(class, &mut entry.standing);
        if let Some(hold) = entry.holds.get(&held.token)
            && hold.resume_from.is_none()
            && !hold.adopted
        {
            self.sizes.observe_run(class, declared, now.since(hold.since));
        }
        Input::Finished
    }

    /// A task is off its worker.
    pub(super) fn off(
        &mut self,
        now: Time,
        key: key::Task,
        token: Token,
        input: Input,
        out: &mut Vec<Command>,
    ) {
        let Some(task) = self.jobs.task_mut(key) else { return };
        if task.token != Some(token) {
            return;
        }
        task.worker = None;
        if input == Input::Lost {
            self.counts.lost += 1;
        }
        let before = task.state;
        self.step(now, key, input);
        if before.is_queued() && before == before.next(input) {
            // A task that was adopted and is off already goes on waiting.
            self.wait(now, key, input);
        }
        self.end_if_done(now, key.job(), out);
    }
}
