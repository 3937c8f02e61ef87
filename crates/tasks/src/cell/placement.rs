//! Selection of a worker for each waiting task.

use std::ops::Bound;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Attempt;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Accel, Cpu, Size};

use super::timer::TimerAction;
use super::transition::dominant_share;
use super::{Cell, Command, Decision, Placement, key};
use crate::learn;
use crate::life::Input;
use crate::queue::Position;
use crate::worker::{Assignment, Entry, Intent, Token};

/// Cost per unit of slowdown by which a service is expected to exceed its limit.
const EXCESS_SLOWDOWN_COST: f64 = 20.0;
/// Cost per unit of expected slowdown of a service.
const SERVICE_SLOWDOWN_COST: f64 = 1.0;
/// Cost per unit of expected slowdown of the batch task.
const BATCH_SLOWDOWN_COST: f64 = 0.3;
/// Cost of leaving all cores of a worker free, which prefers the tightest fit.
const FREE_CORES_COST: f64 = 0.02;
/// Cost of the worker on which the last attempt failed.
const FAILED_WORKER_COST: f64 = 1_000.0;
/// Cost of a worker with recent failures that count against it.
const SUSPECT_WORKER_COST: f64 = 5.0;
/// Cost of a worker with accelerators for a task that needs none.
const UNUSED_ACCEL_COST: f64 = 0.5;
/// Number of standard deviations added to the expected slowdown of a service.
const SLOWDOWN_DEVIATIONS: f64 = 0.5;

/// Time before the latest start, as a multiple of the run time, from which a task may slow
/// services down up to the throttle threshold.
const NEAR_DEADLINE_RUN_TIMES: f64 = 2.0;

/// The requirements of one task that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) job: key::Job,
    pub(super) task: u32,
    class: key::Class,
    pub(super) size: Size,
    last_failed_worker: Option<key::Worker>,
    /// Whether the task needs a worker without other new tasks, as it may crash its worker.
    pub(super) needs_isolation: bool,
    pub(super) service: bool,
    pub(super) urgency: Urgency,
    /// Whether the task takes its team beyond the quota.
    pub(super) borrows: bool,
    /// Whether the latest start is so near that a higher slowdown of services is accepted.
    pub(super) near_deadline: bool,
}

/// The result of a search for a worker.
enum Choice {
    Worker(key::Worker),
    /// No candidate has enough free capacity.
    NoRoom,
    /// Candidates have capacity, but a service there would be slowed down too much.
    WouldInterfere,
}

impl Cell {
    /// Places waiting tasks, up to the limit on jobs per pass.
    pub(super) fn place_waiting(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.capacity_freed {
            self.capacity_freed = false;
            self.requeue_blocked();
        }
        let mut unplaceable: Vec<(key::Class, Size)> = Vec::new();
        for _ in 0..self.settings.max_placements_per_pass {
            let Some(position) = self.queue.first() else { break };
            if !self.try_place(now, position, &mut unplaceable, out) {
                self.mark_blocked(position);
            }
        }
        if self.queue.len() > 0 {
            self.timer.set(now + Span::from_ms(1), TimerAction::RetryBlocked);
        } else if !self.blocked.is_empty() {
            self.schedule_retry(now);
        }
    }

    fn schedule_retry(&mut self, now: Time) {
        if self.retry_at > now {
            return;
        }
        self.retry_at = now + self.settings.blocked_retry_interval;
        self.timer.set(self.retry_at, TimerAction::RetryBlocked);
    }

    /// Moves a bounded number of blocked jobs back into the queue.
    ///
    /// Half of them are the first ones by position; the other half are taken in turn, so that
    /// every blocked job is tried again.
    fn requeue_blocked(&mut self) {
        let half = self.settings.max_blocked_jobs_per_pass / 2;
        let mut back: Vec<Position> = self.blocked.iter().take(half).copied().collect();
        let last = back.last().copied();
        let from =
            self.blocked_cursor.filter(|cursor| last.is_none_or(|last| *cursor > last)).or(last);
        if let Some(from) = from {
            let after = (Bound::Excluded(from), Bound::Unbounded);
            back.extend(self.blocked.range(after).take(half).copied());
        }
        self.blocked_cursor = back.last().copied();
        for position in back {
            self.blocked.remove(&position);
            self.queue.insert(position);
        }
    }

    fn mark_blocked(&mut self, position: Position) {
        self.queue.remove(position);
        self.blocked.insert(position);
    }

    /// Places one task of a job; returns false if no worker was found for it.
    fn try_place(
        &mut self,
        now: Time,
        position: Position,
        unplaceable: &mut Vec<(key::Class, Size)>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(demand) = self.demand(now, position) else {
            self.dequeue(position.job);
            return true;
        };
        if !position.cannot_meet_deadline && position.latest_start < now {
            // The deadline can no longer be met, so the job moves to the end of its team.
            self.dequeue(position.job);
            self.enqueue(now, position.job);
            return true;
        }
        let known_unplaceable = unplaceable
            .iter()
            .any(|(class, size)| *class == demand.class && size.fits(demand.size));
        if known_unplaceable || !self.may_use_capacity(position, demand.size) {
            return false;
        }
        let worker = match self.choose(now, &demand) {
            Choice::Worker(worker) => worker,
            // Other tasks of the class have more workers to choose from.
            Choice::NoRoom | Choice::WouldInterfere if demand.needs_isolation => return false,
            Choice::NoRoom => {
                unplaceable.push((demand.class, demand.size));
                self.claim(now, &demand);
                self.reclaim(now, position, &demand, out);
                return false;
            }
            Choice::WouldInterfere => {
                unplaceable.push((demand.class, demand.size));
                self.claim(now, &demand);
                return false;
            }
        };
        self.place(now, &demand, worker, out);
        true
    }

    fn demand(&self, now: Time, position: Position) -> Option<Demand> {
        let job = self.jobs.entry(position.job)?;
        let task = self.next_ready(position.job)?;
        let run = self.estimates.run_time(job.class, job.run_time);
        let size = self.size_for(job.class, job.size);
        let deadline_soon = job.deadline < Time::MAX
            && position.latest_start.since(now) < run.scale(NEAR_DEADLINE_RUN_TIMES);
        Some(Demand {
            job: position.job,
            task,
            class: job.class,
            size,
            last_failed_worker: job
                .tasks
                .get(task as usize)
                .and_then(|task| task.last_failed_worker),
            needs_isolation: self.needs_isolation(now, key::Task::new(position.job, task)),
            service: self.is_service(job.class),
            urgency: position.urgency.0,
            borrows: !self.is_within_quota(position.team, size),
            near_deadline: deadline_soon && !position.cannot_meet_deadline,
        })
    }

    /// Returns the size to reserve for a task of size `declared`.
    pub(super) fn size_for(&self, class: key::Class, declared: Size) -> Size {
        match self.settings.placement {
            Placement::FirstFit | Placement::Spread | Placement::Segregated => declared,
            Placement::Learned => {
                let margin = self.config.policy.size_margin;
                let learned = self.estimates.size(class, declared, margin);
                self.clamp_to_workers(learned, declared)
            }
        }
    }

    /// Limits a learned size to the largest worker on which the declared size fits.
    fn clamp_to_workers(&self, learned: Size, declared: Size) -> Size {
        if self.worker_sizes.keys().any(|size| learned.fits(*size)) {
            return learned;
        }
        let size = self.worker_sizes.keys().rev().find(|size| declared.fits(**size));
        size.map_or(learned, |size| {
            let cpu = learned.cpu().min(size.cpu());
            let memory = learned.memory().min(size.memory());
            Size::new(cpu, memory, learned.accel())
        })
    }

    fn may_use_capacity(&self, position: Position, size: Size) -> bool {
        if !self.is_within_quota(position.team, size) && !self.may_borrow(position.team) {
            return false;
        }
        let free = self.capacity.cpu().0.saturating_sub(self.reserved.cpu().0 + size.cpu().0);
        let keep = self.capacity.cpu().0 as f64 * self.settings.low_urgency_headroom;
        free as f64 >= keep || position.urgency.0 > Urgency::Low
    }

    pub(super) fn is_within_quota(&self, team: key::Team, more: Size) -> bool {
        let held = self.team_usage.get(&team).copied().unwrap_or_default();
        dominant_share(held + more, self.quota(team)) <= 1.0
    }

    fn choose(&mut self, now: Time, demand: &Demand) -> Choice {
        let found = match self.settings.placement {
            Placement::FirstFit | Placement::Segregated => self.first_fit(now, demand),
            Placement::Spread => self.most_room(now, demand),
            Placement::Learned => return self.lowest_cost(now, demand),
        };
        found.map_or(Choice::NoRoom, Choice::Worker)
    }

    fn first_fit(&self, now: Time, demand: &Demand) -> Option<key::Worker> {
        let mut open = self.workers.iter().filter(|(_, entry)| entry.is_indexed());
        open.find(|(key, entry)| self.has_room(now, *key, entry, demand)).map(|(key, _)| key)
    }

    fn most_room(&self, now: Time, demand: &Demand) -> Option<key::Worker> {
        let open = self.workers.iter().filter(|(_, entry)| entry.is_indexed());
        let fitting = open.filter(|(key, entry)| self.has_room(now, *key, entry, demand));
        fitting.max_by_key(|(_, entry)| entry.free().cpu()).map(|(key, _)| key)
    }

    fn lowest_cost(&mut self, now: Time, demand: &Demand) -> Choice {
        let mut candidates = std::mem::take(&mut self.candidate_buffer);
        let most = self.settings.placement_candidates;
        self.workers.index.sample(demand.size, most, &mut self.rng, &mut candidates);
        candidates.extend(self.claimed_by(demand.job));
        let mut best: Option<(f64, key::Worker)> = None;
        let mut would_interfere = false;
        for key in &candidates {
            let Some(entry) = self.workers.entry(*key) else { continue };
            let open = entry.is_indexed() && !self.is_claimed_by_other(now, *key, demand);
            if !open || !self.has_room(now, *key, entry, demand) {
                continue;
            }
            let Some(cost) = self.cost(now, *key, entry, demand) else {
                would_interfere = true;
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        self.candidate_buffer = candidates;
        match best {
            Some((_, key)) => Choice::Worker(key),
            None if would_interfere => Choice::WouldInterfere,
            None => Choice::NoRoom,
        }
    }

    fn has_room(&self, now: Time, key: key::Worker, entry: &Entry, demand: &Demand) -> bool {
        if !demand.size.fits(entry.free()) || !entry.allows_start(now, demand) {
            return false;
        }
        if self.settings.placement == Placement::Segregated {
            let other_kind = |assignment: &Assignment| {
                assignment.is_reserved && self.is_service(assignment.class) != demand.service
            };
            if entry.assignments.values().any(other_kind) {
                return false;
            }
        }
        self.spread_allows(demand.job, key)
    }

    /// Returns whether the spread of a job allows one more task on a worker.
    pub(super) fn spread_allows(&self, job: key::Job, worker: key::Worker) -> bool {
        let Some(job) = self.jobs.entry(job) else { return false };
        self.spread_key(job.job.spread, worker)
            .is_none_or(|(at, most)| job.spread.get(&at).copied().unwrap_or(0) < most)
    }

    /// Returns the largest expected slowdown of a service on a worker if the task is added.
    pub(super) fn expected_service_slowdown(
        &self,
        now: Time,
        key: key::Worker,
        entry: &Entry,
        demand: &Demand,
    ) -> f64 {
        let mix = self.mix_with(key, entry, demand);
        let services = mix.iter().filter(|(class, _)| self.is_service(*class));
        let slowdowns = services.map(|(class, _)| {
            let (mean, deviation) = self.interference.expected_slowdown(*class, &mix, now);
            mean + SLOWDOWN_DEVIATIONS * deviation
        });
        slowdowns.fold(1.0, f64::max)
    }

    fn mix_with(&self, key: key::Worker, entry: &Entry, demand: &Demand) -> learn::Mix {
        let mix = self.mix_history.get(&key).and_then(|mix_history| mix_history.current());
        let mut mix = mix.cloned().unwrap_or_default();
        learn::add_to_mix(
            &mut mix,
            demand.class,
            learn::core_fraction(demand.size.cpu(), entry.size.cpu()),
        );
        mix
    }

    /// Returns the cost of a worker, or `None` if the task would slow a service too much.
    fn cost(&self, now: Time, key: key::Worker, entry: &Entry, demand: &Demand) -> Option<f64> {
        let room =
            learn::core_fraction(Cpu(entry.free().cpu().0 - demand.size.cpu().0), entry.size.cpu());
        let mut cost = FREE_CORES_COST * room;
        cost += if demand.last_failed_worker == Some(key) { FAILED_WORKER_COST } else { 0.0 };
        cost += if entry.fault_evidence.is_suspect() { SUSPECT_WORKER_COST } else { 0.0 };
        let leaves_accel_unused = demand.size.accel() == Accel(0) && entry.size.accel() > Accel(0);
        cost += if leaves_accel_unused { UNUSED_ACCEL_COST } else { 0.0 };
        let mix = self.mix_with(key, entry, demand);
        let limit = self.settings.interference.placement_limit(
            demand.urgency,
            demand.near_deadline,
            demand.borrows,
        );
        for (class, _) in &mix {
            let service = self.is_service(*class);
            if !service && *class != demand.class {
                continue;
            }
            let (mean, deviation) = self.interference.expected_slowdown(*class, &mix, now);
            if !service {
                cost += BATCH_SLOWDOWN_COST * (mean - 1.0);
                continue;
            }
            let excess = (mean + SLOWDOWN_DEVIATIONS * deviation - limit).max(0.0);
            if excess > 0.0 && !demand.service {
                return None;
            }
            cost += SERVICE_SLOWDOWN_COST * (mean - 1.0) + EXCESS_SLOWDOWN_COST * excess;
        }
        Some(cost)
    }

    fn place(&mut self, now: Time, demand: &Demand, worker: key::Worker, out: &mut Vec<Command>) {
        self.last_token += 1;
        let token = Token::new(self.epoch, self.last_token);
        let Some(job) = self.jobs.entry_mut(demand.job) else { return };
        let Some(name) = job.task_name(demand.task) else { return };
        let (team, urgency, class_name) = (job.team, job.job.urgency, job.job.class.clone());
        let Some(task) = job.tasks.get_mut(demand.task as usize) else { return };
        let (waited, attempt) =
            (now.since(task.waiting_since), Attempt(u64::from(task.attempts) + 1));
        let resume_from = task.checkpoint.clone();
        let is_suspect = task.crashes > 0;
        task.previous_token = task.token.replace(token);
        task.worker = Some(worker);
        let key = key::Task::new(demand.job, demand.task);
        let assignment = Assignment {
            task: key,
            name: name.clone(),
            class: demand.class,
            team,
            class_name,
            attempt,
            size: demand.size,
            cpu: demand.size.cpu(),
            is_reserved: true,
            resume_from,
            first_exchange: 0,
            adopted: false,
            phase: None,
            first_reported_at: None,
            is_given_up: false,
            intent: Intent::Run(Share::new(1.0)),
            command_sent: false,
            placed_at: now,
            usage: None,
            acknowledge_allowed: false,
        };
        self.end_claim(worker, demand.job);
        self.apply_input(now, key, Input::Place);
        self.add_assignment(now, worker, token, assignment);
        self.counts.placed += 1;
        let Some(entry) = self.workers.entry_mut(worker) else { return };
        entry.record_placement(now, is_suspect);
        out.push(Command::Decision(Decision::Placed {
            task: name,
            token,
            worker: entry.name.clone(),
            size: demand.size,
            waited,
            urgency,
        }));
    }
}
