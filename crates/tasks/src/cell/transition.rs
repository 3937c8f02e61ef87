//! State transitions of tasks and the counts, queue and reservations that follow them.

use std::cmp::Reverse;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::size::Size;

use super::timer::TimerAction;
use super::{Cell, key};
use crate::job::Spread;
use crate::life::{Input, State};
use crate::queue::{FULL_QUOTA, Position};
use crate::worker::{Assignment, Intent, Token};

impl Cell {
    /// Applies an input to the state machine of a task.
    pub(super) fn apply_input(&mut self, now: Time, key: key::Task, input: Input) {
        let Some(task) = self.jobs.task_mut(key) else { return };
        let before = task.state;
        if !task.apply(input) {
            return;
        }
        let after = task.state;
        if after.is_queued() {
            task.waiting_since = now;
        }
        self.count_transition(key, before, after);
        if after.is_queued() {
            self.queue_after_backoff(now, key, input);
        } else {
            self.clear_ready(key);
        }
        if after.is_final()
            && let Some(job) = self.jobs.entry_mut(key.job())
        {
            job.unfinished -= 1;
        }
    }

    fn count_transition(&mut self, key: key::Task, before: State, after: State) {
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

    /// Makes a waiting task ready for placement, after a backoff if an attempt has just failed.
    pub(super) fn queue_after_backoff(&mut self, now: Time, key: key::Task, input: Input) {
        if input != Input::Fault {
            self.make_ready(now, key);
            return;
        }
        let attempts = self.jobs.task(key).map_or(1, |task| task.attempts.max(1));
        let wait = self.settings.initial_backoff.saturating_mul(1 << (attempts - 1).min(16));
        let wait = wait.min(self.settings.max_backoff);
        self.timer.set(now + jitter(wait, &mut self.rng), TimerAction::MakeReady(key));
    }

    pub(super) fn make_ready(&mut self, now: Time, key: key::Task) {
        let Some(job) = self.jobs.entry_mut(key.job()) else { return };
        let queued = job.tasks.get(key.index() as usize).is_some_and(|task| task.state.is_queued());
        if !queued || !job.reconciled {
            return;
        }
        job.ready.insert(key.index());
        self.enqueue(now, key.job());
    }

    fn clear_ready(&mut self, key: key::Task) {
        let Some(job) = self.jobs.entry_mut(key.job()) else { return };
        job.ready.remove(&key.index());
        if job.ready.is_empty() {
            self.dequeue(key.job());
        }
    }

    /// Removes a task from the queue because a worker holds it.
    pub(super) fn dequeue_task(&mut self, key: key::Task) {
        self.clear_ready(key);
    }

    pub(super) fn dequeue(&mut self, key: key::Job) {
        let Some(job) = self.jobs.entry_mut(key) else { return };
        if let Some(position) = job.queue_position.take() {
            self.queue.remove(position);
            self.blocked.remove(&position);
        }
    }

    /// Inserts a job with ready tasks into the queue.
    pub(super) fn enqueue(&mut self, now: Time, key: key::Job) {
        let Some(job) = self.jobs.entry(key) else { return };
        if job.queue_position.is_some() || job.ready.is_empty() {
            return;
        }
        let run = self.estimates.run_time(job.class, job.run_time);
        let latest_start = job.deadline - run;
        let position = Position {
            urgency: Reverse(job.job.urgency),
            cannot_meet_deadline: latest_start < now,
            latest_start,
            team: job.team,
            job: key,
        };
        self.queue.insert(position);
        if let Some(job) = self.jobs.entry_mut(key) {
            job.queue_position = Some(position);
        }
    }

    /// Adds an assignment to a worker and reserves its size unless the task is inactive.
    pub(super) fn add_assignment(
        &mut self,
        now: Time,
        worker: key::Worker,
        token: Token,
        mut assignment: Assignment,
    ) {
        assignment.is_reserved = !matches!(&assignment.phase, Some(phase) if phase.is_inactive());
        let (task, team, size) = (assignment.task, assignment.team, assignment.size);
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        entry.assignments.insert(token, assignment);
        entry.recompute_reserved();
        self.reserved += size;
        self.update_spread_count(task, worker, 1);
        let held = self.team_usage.entry(team).or_default();
        *held += size;
        self.update_share(team);
        self.refresh_worker(now, worker);
        self.pending_send.insert(worker);
    }

    /// Releases the size that an assignment reserves because the task is inactive.
    pub(super) fn release(&mut self, worker: key::Worker, token: Token) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(assignment) = entry.assignments.get_mut(&token) else { return };
        if !std::mem::replace(&mut assignment.is_reserved, false) {
            return;
        }
        let (task, team, size) = (assignment.task, assignment.team, assignment.size);
        entry.recompute_reserved();
        self.reserved = self.reserved.saturating_sub(size);
        self.update_spread_count(task, worker, -1);
        let held = self.team_usage.entry(team).or_default();
        *held = held.saturating_sub(size);
        self.update_share(team);
        self.capacity_freed = true;
    }

    /// Changes the size that an assignment reserves.
    pub(super) fn resize(&mut self, worker: key::Worker, token: Token, size: Size) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        let Some(assignment) = entry.assignments.get_mut(&token) else { return };
        if !assignment.is_reserved {
            return;
        }
        let (team, before) = (assignment.team, std::mem::replace(&mut assignment.size, size));
        entry.recompute_reserved();
        self.reserved = self.reserved.saturating_sub(before) + size;
        let held = self.team_usage.entry(team).or_default();
        *held = held.saturating_sub(before) + size;
        self.update_share(team);
    }

    /// Updates the index and the mix history after a change of a worker.
    pub(super) fn refresh_worker(&mut self, now: Time, worker: key::Worker) {
        self.workers.reindex(worker, now, self.settings.max_report_age);
        if let Some(entry) = self.workers.entry(worker) {
            self.mix_history.entry(worker).or_default().record(now, entry.mix());
        }
    }

    /// Returns the key under which the spread of a job counts tasks on a worker, and the limit.
    pub(super) fn spread_key(&self, spread: Spread, worker: key::Worker) -> Option<(u32, u32)> {
        match spread {
            Spread::None => None,
            Spread::Worker(most) => Some((worker.0, most)),
            Spread::Rack(most) => Some((self.workers.entry(worker)?.rack.0, most)),
        }
    }

    fn update_spread_count(&mut self, task: key::Task, worker: key::Worker, change: i32) {
        let Some(spread) = self.jobs.entry(task.job()).map(|job| job.job.spread) else { return };
        let Some((at, _)) = self.spread_key(spread, worker) else { return };
        let Some(job) = self.jobs.entry_mut(task.job()) else { return };
        let count = job.spread.entry(at).or_default();
        *count = count.saturating_add_signed(change);
    }

    pub(super) fn update_share(&mut self, team: key::Team) {
        let held = self.team_usage.get(&team).copied().unwrap_or_default();
        let share = dominant_share(held, self.quota(team));
        self.queue.set_share(team, (share * FULL_QUOTA as f64) as u64);
    }

    /// Cancels a task and stops it if a worker holds it.
    pub(super) fn cancel_task(&mut self, now: Time, key: key::Task) {
        let Some(task) = self.jobs.task(key) else { return };
        let placed = task.worker.zip(task.token);
        self.apply_input(now, key, Input::Cancel);
        if let Some((worker, token)) = placed {
            self.set_intent(worker, token, Intent::Stop);
        }
    }

    pub(super) fn set_intent(&mut self, worker: key::Worker, token: Token, intent: Intent) {
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        if let Some(assignment) = entry.assignments.get_mut(&token) {
            assignment.intent = intent;
            assignment.command_sent = false;
            self.pending_send.insert(worker);
        }
    }
}

/// Returns the dominant share: the largest fraction of `quota` over all dimensions.
///
/// A dimension with a quota of 0 counts with the amount held.
pub(super) fn dominant_share(held: Size, quota: Size) -> f64 {
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

/// Scales a span by a random factor from 0.75 to 1.25.
fn jitter(span: Span, rng: &mut fastrand::Rng) -> Span {
    span.scale(0.75 + 0.5 * rng.f64())
}
