//! Tasks of which only their worker knew, and words under superseded tokens.

use sycamorerill_core::clock::Time;
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Size;

use super::jobs::{Moving, Task};
use super::{Cell, key};
use crate::worker::{self, Held, Hold, Intent, Phase, Token};

impl Cell {
    /// Makes a hold of a task of which only the worker knew; returns whether its word counts.
    pub(super) fn adopt(&mut self, now: Time, worker: key::Worker, held: &Held) -> bool {
        let Some(task_key) = self.jobs.find_task(&held.task) else { return false };
        let Some(job) = self.jobs.entry(task_key.job()) else { return false };
        let moving = job.moving != Moving::No;
        let Some(task) = self.jobs.task(task_key) else { return false };
        let last = match self.unsent(task) {
            true => task.previous,
            false => task.token,
        };
        let newest = last.is_none_or(|token| held.token >= token);
        if !newest || moving || task.state.is_final() || !job.durable {
            return false;
        }
        let (before, team) = (task.worker.zip(task.token), job.team);
        let size = if held.phase.is_off() { Size::ZERO } else { held.size };
        let intent = match held.phase {
            Phase::Throttled(share) => Intent::Run(share),
            Phase::Checkpointing => Intent::Checkpoint,
            _ => Intent::Run(Share::new(1.0)),
        };
        let hold = Hold {
            task: task_key,
            name: held.task.clone(),
            class: self.class_of(&held.class),
            team,
            class_name: held.class.clone(),
            attempt: held.attempt,
            size,
            cpu: size.cpu(),
            resume_from: None,
            sent: 1,
            adopted: true,
            counted: false,
            phase: None,
            intent,
            told: false,
            since: now,
            usage: None,
            may_forget: false,
        };
        if let Some((other, token)) = before {
            self.supersede(other, token);
            self.withdraw(other, token);
        }
        self.unqueue_task(task_key);
        if let Some(task) = self.jobs.task_mut(task_key) {
            task.token = Some(held.token);
            task.worker = Some(worker);
        }
        self.hold(now, worker, held.token, hold);
        true
    }

    /// Reports whether the last placement of a task was decided but not yet sent.
    fn unsent(&self, task: &Task) -> bool {
        let placed = task.worker.zip(task.token);
        let hold = placed.and_then(|(worker, token)| self.hold_of(worker, token));
        hold.is_some_and(|hold| hold.sent == 0)
    }

    fn hold_of(&self, worker: key::Worker, token: Token) -> Option<&Hold> {
        self.workers.entry(worker)?.holds.get(&token)
    }

    /// Takes back a placement that was not sent.
    fn withdraw(&mut self, worker: key::Worker, token: Token) {
        if self.hold_of(worker, token).is_none_or(|hold| hold.sent != 0) {
            return;
        }
        self.release(worker, token);
        if let Some(entry) = self.workers.entry_mut(worker) {
            entry.holds.remove(&token);
        }
    }

    /// Takes a placement off that a newer one on another worker has replaced.
    fn supersede(&mut self, worker: key::Worker, token: Token) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        if let Some(hold) = entry.holds.get_mut(&token) {
            hold.intent = Intent::Stop;
            hold.may_forget = true;
            hold.told = false;
            self.dirty.insert(worker);
        }
    }

    /// Stops a task whose token doesn't count, or lets the worker forget it.
    pub(super) fn answer_stale(&mut self, worker: key::Worker, held: &Held) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let (task, token) = (held.task.clone(), held.token);
        entry.extras.push(if held.phase.is_off() {
            worker::Command::Ack { task, token }
        } else {
            entry.foreign += held.size;
            worker::Command::Stop { task, token, checkpoint: false }
        });
    }
}
