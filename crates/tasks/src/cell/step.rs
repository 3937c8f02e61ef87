//! Transitions of tasks and the books that follow them.

use std::cmp::Reverse;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::size::Size;

use super::timer::Wake;
use super::{Cell, key};
use crate::job::Spread;
use crate::life::{Input, State};
use crate::queue::{Position, WHOLE_QUOTA};
use crate::worker::{Hold, Intent, Token};

impl Cell {
    /// Applies an input to a task.
    pub(super) fn step(&mut self, now: Time, key: key::Task, input: Input) {
        let Some(task) = self.jobs.task_mut(key) else { return };
        let before = task.state;
        if !task.apply(input) {
            return;
        }
        let after = task.state;
        if after.is_queued() {
            task.since = now;
        }
        self.count(key, before, after);
        if after.is_queued() {
            self.wait(now, key, input);
        } else {
            self.unready(key);
        }
        if after.is_final()
            && let Some(job) = self.jobs.entry_mut(key.job())
        {
            job.open -= 1;
        }
    }

    fn count(&mut self, key: key::Task, before: State, after: State) {
        let states = &mut self.counts.states;
        if let Some(count) = states.get_mut(&before) {
            *count = count.saturating_sub(1);
        }
        *states.entry(after).or_default() += 1;
        let Some(job) = self.jobs.entry(key.job()) else { return };
        let waiting = self.counts.waiting.entry(job.job.urgency).or_default();
        match (before.is_queued(), after.is_queued()) {
            (false, true) => *waiting += 1,
            (true, false) => *waiting = waiting.saturating_sub(1),
            _ => {}
        }
    }

    /// Lets a task wait: at once, or after a while where an attempt has just failed.
    pub(super) fn wait(&mut self, now: Time, key: key::Task, input: Input) {
        if input != Input::Fault {
            self.make_ready(now, key);
            return;
        }
        let attempts = self.jobs.task(key).map_or(1, |task| task.attempts.max(1));
        let wait = self.settings.backoff.times(1 << (attempts - 1).min(16));
        let wait = wait.min(self.settings.max_backoff);
        self.timer.set(now + jitter(wait, &mut self.rng), Wake::Ready(key));
    }

    pub(super) fn make_ready(&mut self, now: Time, key: key::Task) {
        let Some(job) = self.jobs.entry_mut(key.job()) else { return };
        let queued = job.tasks.get(key.index() as usize).is_some_and(|task| task.state.is_queued());
        if !queued || !job.settled {
            return;
        }
        job.ready.insert(key.index());
        self.enqueue(now, key.job());
    }

    fn unready(&mut self, key: key::Task) {
        let Some(job) = self.jobs.entry_mut(key.job()) else { return };
        job.ready.remove(&key.index());
        if job.ready.is_empty() {
            self.unqueue(key.job());
        }
    }

    /// Takes a task out of the queue, since a worker has it.
    pub(super) fn unqueue_task(&mut self, key: key::Task) {
        self.unready(key);
    }

    pub(super) fn unqueue(&mut self, key: key::Job) {
        let Some(job) = self.jobs.entry_mut(key) else { return };
        if let Some(position) = job.position.take() {
            self.queue.remove(position);
            self.blocked.remove(&position);
        }
    }

    /// Puts a job with tasks to place into the queue.
    pub(super) fn enqueue(&mut self, now: Time, key: key::Job) {
        let Some(job) = self.jobs.entry(key) else { return };
        if job.position.is_some() || job.ready.is_empty() {
            return;
        }
        let run = self.sizes.run(job.class, job.run_time);
        let start = job.deadline - run;
        let position = Position {
            urgency: Reverse(job.job.urgency),
            hopeless: start < now,
            start,
            team: job.team,
            job: key,
        };
        self.queue.insert(position);
        if let Some(job) = self.jobs.entry_mut(key) {
            job.position = Some(position);
        }
    }

    /// Books a placement on a worker.
    pub(super) fn hold(&mut self, now: Time, worker: key::Worker, token: Token, mut hold: Hold) {
        hold.counted = !matches!(&hold.phase, Some(phase) if phase.is_off());
        let (task, team, size) = (hold.task, hold.team, hold.size);
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        entry.holds.insert(token, hold);
        entry.sum_up();
        self.used += size;
        self.add_spread(task, worker, 1);
        let held = self.held.entry(team).or_default();
        *held += size;
        self.update_share(team);
        self.after_change(now, worker);
        self.dirty.insert(worker);
    }

    /// Frees what a placement reserves, since the task is off.
    pub(super) fn release(&mut self, worker: key::Worker, token: Token) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(hold) = entry.holds.get_mut(&token) else { return };
        if !std::mem::replace(&mut hold.counted, false) {
            return;
        }
        let (task, team, size) = (hold.task, hold.team, hold.size);
        entry.sum_up();
        self.used = self.used.less(size);
        self.add_spread(task, worker, -1);
        let held = self.held.entry(team).or_default();
        *held = held.less(size);
        self.update_share(team);
        self.freed = true;
    }

    /// Changes the size that a placement reserves.
    pub(super) fn resize(&mut self, worker: key::Worker, token: Token, size: Size) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(hold) = entry.holds.get_mut(&token) else { return };
        if !hold.counted {
            return;
        }
        let (team, before) = (hold.team, std::mem::replace(&mut hold.size, size));
        entry.sum_up();
        self.used = self.used.less(before) + size;
        let held = self.held.entry(team).or_default();
        *held = held.less(before) + size;
        self.update_share(team);
    }

    /// Brings index and mix of a worker up to date.
    pub(super) fn after_change(&mut self, now: Time, worker: key::Worker) {
        self.workers.reindex(worker, now, self.settings.silence);
        if let Some(entry) = self.workers.entry(worker) {
            self.mixes.entry(worker).or_default().push(now, entry.mix());
        }
    }

    /// Returns the key under which the spread of a job counts a worker.
    pub(super) fn spread_key(&self, spread: Spread, worker: key::Worker) -> Option<(u32, u32)> {
        match spread {
            Spread::None => None,
            Spread::Worker(most) => Some((worker.0, most)),
            Spread::Rack(most) => Some((self.workers.entry(worker)?.rack.0, most)),
        }
    }

    fn add_spread(&mut self, task: key::Task, worker: key::Worker, change: i32) {
        let Some(spread) = self.jobs.entry(task.job()).map(|job| job.job.spread) else { return };
        let Some((at, _)) = self.spread_key(spread, worker) else { return };
        let Some(job) = self.jobs.entry_mut(task.job()) else { return };
        let count = job.spread.entry(at).or_default();
        *count = count.saturating_add_signed(change);
    }

    pub(super) fn update_share(&mut self, team: key::Team) {
        let held = self.held.get(&team).copied().unwrap_or_default();
        let share = share_of(held, self.quota(team));
        self.queue.set_share(team, (share * WHOLE_QUOTA as f64) as u64);
    }

    /// Wants a task stopped or cancelled, wherever it is.
    pub(super) fn cancel_task(&mut self, now: Time, key: key::Task) {
        let Some(task) = self.jobs.task(key) else { return };
        let placed = task.worker.zip(task.token);
        self.step(now, key, Input::Cancel);
        if let Some((worker, token)) = placed {
            self.intend(worker, token, Intent::Stop);
        }
    }

    pub(super) fn intend(&mut self, worker: key::Worker, token: Token, intent: Intent) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        if let Some(hold) = entry.holds.get_mut(&token) {
            hold.intent = intent;
            hold.told = false;
            self.dirty.insert(worker);
        }
    }
}

/// Returns the largest share of a quota that `held` is in any dimension.
pub(super) fn share_of(held: Size, quota: Size) -> f64 {
    let part = |held: u64, quota: u64| match (held, quota) {
        (0, _) => 0.0,
        (held, 0) => held as f64,
        (held, quota) => held as f64 / quota as f64,
    };
    let cpu = part(held.cpu().0, quota.cpu().0);
    let memory = part(held.memory().0, quota.memory().0);
    let accel = part(held.accel().0, quota.accel().0);
    cpu.max(memory).max(accel)
}

fn jitter(span: Span, rng: &mut fastrand::Rng) -> Span {
    span.scale(0.75 + 0.5 * rng.f64())
}
