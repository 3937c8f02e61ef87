//! Choice of a worker for each waiting task.

use std::ops::Bound;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Attempt;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Accel, Cpu, Size};

use super::step::share_of;
use super::timer::Wake;
use super::{Cell, Command, Decision, Placement, key};
use crate::learn;
use crate::life::Input;
use crate::queue::Position;
use crate::worker::{Entry, Hold, Intent, Token};

/// Cost of each unit by which a service is expected to exceed its allowed slowdown.
const EXCESS_COST: f64 = 20.0;
/// Cost of each unit by which a service is expected to be slowed down.
const SERVICE_COST: f64 = 1.0;
/// Cost of each unit by which a batch task is expected to be slowed down.
const BATCH_COST: f64 = 0.3;
/// Cost of leaving a whole worker's cores free beside the task.
const ROOM_COST: f64 = 0.02;
/// Cost of the worker on which the last attempt failed.
const AVOID_COST: f64 = 1_000.0;
/// Cost of a worker against which failures stand.
const SUSPECT_COST: f64 = 5.0;
/// Cost of giving a worker with accelerators a task that needs none.
const ACCEL_COST: f64 = 0.5;
/// Deviations by which the slowdown of a service is reckoned above its mean.
const CAUTION: f64 = 0.5;

/// Run times before the latest start within which a task is placed beside services in spite
/// of what it does to them.
const PRESSING_RUNS: f64 = 2.0;

/// What is looked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    pub(super) job: key::Job,
    pub(super) task: u32,
    class: key::Class,
    pub(super) size: Size,
    avoid: Option<key::Worker>,
    pub(super) service: bool,
    pub(super) urgency: Urgency,
    /// Whether the team goes beyond its quota.
    pub(super) borrows: bool,
    /// Whether the task may be placed where a service will be slower than allowed.
    pub(super) pressing: bool,
}

/// What a search for a worker found.
enum Choice {
    Worker(key::Worker),
    /// No worker that was looked at has room.
    NoRoom,
    /// Workers have room, but a service there would be slowed down too much.
    TooNoisy,
}

impl Cell {
    /// Places waiting tasks, at most a bounded number in one step.
    pub(super) fn place_waiting(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.freed {
            self.freed = false;
            self.return_blocked();
        }
        let mut full: Vec<(key::Class, Size)> = Vec::new();
        for _ in 0..self.settings.tries {
            let Some(position) = self.queue.first() else { break };
            if !self.place_first(now, position, &mut full, out) {
                self.block(position);
            }
        }
        if self.queue.len() > 0 {
            self.timer.set(now + Span::from_ms(1), Wake::Retry);
        } else if !self.blocked.is_empty() {
            self.retry_later(now);
        }
    }

    fn retry_later(&mut self, now: Time) {
        if self.retry_at > now {
            return;
        }
        self.retry_at = now + self.settings.retry;
        self.timer.set(self.retry_at, Wake::Retry);
    }

    /// Moves blocked jobs back into the queue: the first half by rank, the others in turn.
    fn return_blocked(&mut self) {
        let half = self.settings.blocked_tries / 2;
        let mut back: Vec<Position> = self.blocked.iter().take(half).copied().collect();
        let last = back.last().copied();
        let from = self.cursor.filter(|cursor| last.is_none_or(|last| *cursor > last)).or(last);
        if let Some(from) = from {
            let after = (Bound::Excluded(from), Bound::Unbounded);
            back.extend(self.blocked.range(after).take(half).copied());
        }
        self.cursor = back.last().copied();
        for position in back {
            self.blocked.remove(&position);
            self.queue.insert(position);
        }
    }

    fn block(&mut self, position: Position) {
        self.queue.remove(position);
        self.blocked.insert(position);
    }

    /// Places one task of a job; returns false when there is no room for it.
    fn place_first(
        &mut self,
        now: Time,
        position: Position,
        full: &mut Vec<(key::Class, Size)>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(need) = self.need(now, position) else {
            self.unqueue(position.job);
            return true;
        };
        if !position.hopeless && position.start < now {
            // The deadline can't be met any more: the job goes last in its team.
            self.unqueue(position.job);
            self.enqueue(now, position.job);
            return true;
        }
        let known_full =
            full.iter().any(|(class, size)| *class == need.class && size.fits(need.size));
        if known_full || !self.within_quota(position, need.size) {
            return false;
        }
        let worker = match self.choose(now, &need) {
            Choice::Worker(worker) => worker,
            Choice::NoRoom => {
                full.push((need.class, need.size));
                self.claim(now, &need);
                self.reclaim(now, position, &need, out);
                return false;
            }
            Choice::TooNoisy => {
                full.push((need.class, need.size));
                self.claim(now, &need);
                return false;
            }
        };
        self.place(now, &need, worker, out);
        true
    }

    fn need(&self, now: Time, position: Position) -> Option<Need> {
        let job = self.jobs.entry(position.job)?;
        let task = *job.ready.first()?;
        let run = self.sizes.run(job.class, job.run_time);
        let size = self.size_for(job.class, job.size);
        let soon = job.deadline < Time::MAX && position.start.since(now) < run.scale(PRESSING_RUNS);
        Some(Need {
            job: position.job,
            task,
            class: job.class,
            size,
            avoid: job.tasks.get(task as usize).and_then(|task| task.avoid),
            service: self.is_service(job.class),
            urgency: position.urgency.0,
            borrows: !self.is_within_quota(position.team, size),
            pressing: soon && !position.hopeless,
        })
    }

    /// Returns the size to reserve for a task of declared size `declared`.
    pub(super) fn size_for(&self, class: key::Class, declared: Size) -> Size {
        match self.settings.placement {
            Placement::FirstFit | Placement::Spread | Placement::Apart => declared,
            Placement::Learned => {
                let margin = self.config.policy.size_margin;
                let learned = self.sizes.size(class, declared, margin);
                self.clip(learned, declared)
            }
        }
    }

    /// Holds a learned size to the largest worker that can hold the declared one.
    fn clip(&self, learned: Size, declared: Size) -> Size {
        if self.shapes.keys().any(|shape| learned.fits(*shape)) {
            return learned;
        }
        let shape = self.shapes.keys().rev().find(|shape| declared.fits(**shape));
        shape.map_or(learned, |shape| {
            let cpu = learned.cpu().min(shape.cpu());
            let memory = learned.memory().min(shape.memory());
            Size::new(cpu, memory, learned.accel())
        })
    }

    fn within_quota(&self, position: Position, size: Size) -> bool {
        if !self.is_within_quota(position.team, size) && !self.may_borrow(position.team) {
            return false;
        }
        let free = self.capacity.cpu().0.saturating_sub(self.used.cpu().0 + size.cpu().0);
        let keep = self.capacity.cpu().0 as f64 * self.settings.headroom;
        free as f64 >= keep || position.urgency.0 > Urgency::Low
    }

    pub(super) fn is_within_quota(&self, team: key::Team, more: Size) -> bool {
        let held = self.held.get(&team).copied().unwrap_or_default();
        share_of(held + more, self.quota(team)) <= 1.0
    }

    fn choose(&mut self, now: Time, need: &Need) -> Choice {
        let found = match self.settings.placement {
            Placement::FirstFit | Placement::Apart => self.first_fit(need),
            Placement::Spread => self.most_room(need),
            Placement::Learned => return self.cheapest(now, need),
        };
        found.map_or(Choice::NoRoom, Choice::Worker)
    }

    fn first_fit(&self, need: &Need) -> Option<key::Worker> {
        let mut open = self.workers.iter().filter(|(_, entry)| entry.is_indexed());
        open.find(|(key, entry)| self.has_room(*key, entry, need)).map(|(key, _)| key)
    }

    fn most_room(&self, need: &Need) -> Option<key::Worker> {
        let open = self.workers.iter().filter(|(_, entry)| entry.is_indexed());
        let fitting = open.filter(|(key, entry)| self.has_room(*key, entry, need));
        fitting.max_by_key(|(_, entry)| entry.free().cpu()).map(|(key, _)| key)
    }

    fn cheapest(&mut self, now: Time, need: &Need) -> Choice {
        let mut found = std::mem::take(&mut self.scratch);
        let most = self.settings.candidates;
        self.workers.index.sample(need.size, most, &mut self.rng, &mut found);
        found.extend(self.claimed_by(need.job));
        let mut best: Option<(f64, key::Worker)> = None;
        let mut noisy = false;
        for key in &found {
            let Some(entry) = self.workers.entry(*key) else { continue };
            let open = entry.is_indexed() && !self.is_kept_from(now, *key, need);
            if !open || !self.has_room(*key, entry, need) {
                continue;
            }
            let Some(cost) = self.cost(now, *key, entry, need) else {
                noisy = true;
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        self.scratch = found;
        match best {
            Some((_, key)) => Choice::Worker(key),
            None if noisy => Choice::TooNoisy,
            None => Choice::NoRoom,
        }
    }

    fn has_room(&self, key: key::Worker, entry: &Entry, need: &Need) -> bool {
        if !need.size.fits(entry.free()) {
            return false;
        }
        if self.settings.placement == Placement::Apart {
            let other = |hold: &Hold| hold.counted && self.is_service(hold.class) != need.service;
            if entry.holds.values().any(other) {
                return false;
            }
        }
        self.is_spread(need.job, key)
    }

    /// Reports whether one more task of a job may run on a worker by the job's spread.
    pub(super) fn is_spread(&self, job: key::Job, worker: key::Worker) -> bool {
        let Some(job) = self.jobs.entry(job) else { return false };
        self.spread_key(job.job.spread, worker)
            .is_none_or(|(at, most)| job.spread.get(&at).copied().unwrap_or(0) < most)
    }

    /// Returns the largest slowdown of a service to expect on a worker with the task on it.
    pub(super) fn strain(&self, now: Time, key: key::Worker, entry: &Entry, need: &Need) -> f64 {
        let mix = self.mix_with(key, entry, need);
        let services = mix.iter().filter(|(class, _)| self.is_service(*class));
        let strains = services.map(|(class, _)| {
            let (mean, deviation) = self.pairs.expect(*class, &mix, now);
            mean + CAUTION * deviation
        });
        strains.fold(1.0, f64::max)
    }

    fn mix_with(&self, key: key::Worker, entry: &Entry, need: &Need) -> learn::Mix {
        let mix = self.mixes.get(&key).and_then(|mixes| mixes.last());
        let mut mix = mix.cloned().unwrap_or_default();
        learn::add(&mut mix, need.class, learn::part(need.size.cpu(), entry.size.cpu()));
        mix
    }

    /// Returns the cost of a worker, none when it would slow a service too much.
    fn cost(&self, now: Time, key: key::Worker, entry: &Entry, need: &Need) -> Option<f64> {
        let room = learn::part(Cpu(entry.free().cpu().0 - need.size.cpu().0), entry.size.cpu());
        let mut cost = ROOM_COST * room;
        cost += if need.avoid == Some(key) { AVOID_COST } else { 0.0 };
        cost += if entry.standing.is_suspect() { SUSPECT_COST } else { 0.0 };
        let spare = need.size.accel() == Accel(0) && entry.size.accel() > Accel(0);
        cost += if spare { ACCEL_COST } else { 0.0 };
        let mix = self.mix_with(key, entry, need);
        let place =
            self.settings.interference.place_limit(need.urgency, need.pressing, need.borrows);
        for (class, _) in &mix {
            let service = self.is_service(*class);
            if !service && *class != need.class {
                continue;
            }
            let (mean, deviation) = self.pairs.expect(*class, &mix, now);
            if !service {
                cost += BATCH_COST * (mean - 1.0);
                continue;
            }
            let excess = (mean + CAUTION * deviation - place).max(0.0);
            if excess > 0.0 && !need.service {
                return None;
            }
            cost += SERVICE_COST * (mean - 1.0) + EXCESS_COST * excess;
        }
        Some(cost)
    }

    fn place(&mut self, now: Time, need: &Need, worker: key::Worker, out: &mut Vec<Command>) {
        self.tokens += 1;
        let token = Token::new(self.epoch, self.tokens);
        let Some(job) = self.jobs.entry_mut(need.job) else { return };
        let Some(name) = job.task_name(need.task) else { return };
        let (team, urgency, class_name) = (job.team, job.job.urgency, job.job.class.clone());
        let Some(task) = job.tasks.get_mut(need.task as usize) else { return };
        let (waited, attempt) = (now.since(task.since), Attempt(u64::from(task.attempts) + 1));
        let resume_from = task.checkpoint.clone();
        task.previous = task.token.replace(token);
        task.worker = Some(worker);
        let key = key::Task::new(need.job, need.task);
        let hold = Hold {
            task: key,
            name: name.clone(),
            class: need.class,
            team,
            class_name,
            attempt,
            size: need.size,
            cpu: need.size.cpu(),
            counted: true,
            resume_from,
            sent: 0,
            adopted: false,
            phase: None,
            intent: Intent::Run(Share::new(1.0)),
            told: false,
            since: now,
            usage: None,
            may_forget: false,
        };
        self.end_claim(worker, need.job);
        self.step(now, key, Input::Place);
        self.hold(now, worker, token, hold);
        self.counts.placed += 1;
        let Some(entry) = self.workers.entry(worker) else { return };
        out.push(Command::Decision(Decision::Placed {
            task: name,
            token,
            worker: entry.name.clone(),
            size: need.size,
            waited,
            urgency,
        }));
    }
}
