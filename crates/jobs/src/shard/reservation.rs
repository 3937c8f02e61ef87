//! Reservation of executors, so that room for a task builds up.
//!
//! Load pattern: a burst of small tasks while executors leave. Each run that ends frees less than a
//! restarted long-running task needs, and small tasks take each gap before the next one appears. An
//! executor that is reserved for a step gets other tasks only as far as these leave the room that
//! the step's task needs.
//!
//! Reservations are not recorded. A successor makes its own in its first passes.

use std::cmp::Ordering;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::executors::Executor;
use super::message::{Command, Decision};
use super::pass::Pass;
use super::place::Request;
use crate::id::{ExecutorId, StepId};
use crate::spec::{Resources, Step};

/// Number of executors with the least missing room of which the runs are examined for a
/// reservation.
const MAX_EXAMINED: usize = 8;

/// An executor's room that is kept for a task of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    step: StepId,
    /// Resources that the task needs.
    needs: Resources,
    /// Time at which the reservation ends.
    until: Time,
}

impl Reservation {
    /// Returns whether a task may be placed on an executor with these free resources.
    pub(super) fn admits(&self, now: Time, request: &Request<'_>, free: &Resources) -> bool {
        let asked = request.step.reserved();
        let leaves = |free: u64, asked: u64, needed: u64| asked == 0 || free >= asked + needed;
        self.step == request.id
            || now >= self.until
            || (leaves(free.cpu, asked.cpu, self.needs.cpu)
                && leaves(free.memory, asked.memory, self.needs.memory)
                && leaves(free.accelerators, asked.accelerators, self.needs.accelerators))
    }
}

impl Shard {
    /// Returns whether an executor is reserved for the step.
    pub(super) fn has_reservation(&self, id: StepId) -> bool {
        self.reservations.contains_key(&id)
    }

    /// Ends the reservation of a step.
    pub(super) fn end_reservation(&mut self, id: StepId) {
        let Some(executor) = self.reservations.remove(&id) else {
            return;
        };
        if let Some(found) = self.executors.get_mut(&executor)
            && found.reservation.is_some_and(|held| held.step == id)
        {
            found.reservation = None;
            self.released.insert(executor);
        }
    }

    /// Ends the reservations that have expired, of steps that no longer wait, and on executors
    /// that take no work or have become too small.
    pub(super) fn review_reservations(&mut self, now: Time) {
        let ended = self.reservations.iter().filter(|(id, executor)| {
            let step = self.jobs.get(&id.job).and_then(|entry| entry.step(**id));
            let waits = step.is_some_and(|step| !step.waiting.is_empty());
            let executor = self.executors.get(*executor);
            let is_usable = executor.is_some_and(|found| {
                found.reservation.is_some_and(|held| {
                    held.step == **id && now < held.until && may_have_room(found, &held.needs)
                }) && found.takes_work()
                    && !found.health.is_quarantined(now)
            });
            !waits || !is_usable
        });
        let ended: Vec<StepId> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_reservation(id);
        }
    }

    /// Reserves an executor for a step that found none, unless it has one or too many are
    /// reserved.
    pub(super) fn reserve_executor(&mut self, now: Time, request: &Request<'_>, pass: &mut Pass) {
        let most = self.executors.len() / self.settings.executors_per_reservation.max(1);
        if self.has_reservation(request.id) || self.reservations.len() >= most.max(1) {
            return;
        }
        if pass.reservation_budget == 0 {
            return;
        }
        pass.reservation_budget -= 1;
        let Some((expected, executor)) = self.first_with_room(now, request) else {
            return;
        };
        let needs = request.step.reserved();
        let until = now + self.settings.reservation;
        if let Some(found) = self.executors.get_mut(&executor) {
            found.reservation = Some(Reservation { step: request.id, needs, until });
        }
        self.reservations.insert(request.id, executor.clone());
        self.log_reservation(now, request.id, executor, expected.since(now));
    }

    /// Logs the first reservation of a step.
    fn log_reservation(&mut self, now: Time, id: StepId, executor: ExecutorId, expected: Span) {
        let reserved = self.reservations.len();
        let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|entry| entry.step_mut(id.occurrence, id.step))
        else {
            return;
        };
        if !std::mem::replace(&mut step.reservation_logged, true) {
            let waited = now.since(step.ready_since);
            let decision = Decision::Reserved { step: id, executor, waited, expected, reserved };
            self.out.push(Command::Log(decision));
        }
    }

    /// Returns the executor on which room for a task of the step is expected first, and when.
    fn first_with_room(&self, now: Time, request: &Request<'_>) -> Option<(Time, ExecutorId)> {
        let mut found: Vec<(f64, &ExecutorId, &Executor)> = self
            .executors
            .iter()
            .filter(|(_, executor)| self.may_reserve(now, request, executor))
            .map(|(id, executor)| (missing(executor, &request.step.reserved()), id, executor))
            .collect();
        let by_missing = |a: &(f64, _, _), b: &(f64, _, _)| -> Ordering { a.0.total_cmp(&b.0) };
        if found.len() > MAX_EXAMINED {
            found.select_nth_unstable_by(MAX_EXAMINED, by_missing);
            found.truncate(MAX_EXAMINED);
        }
        let expected = found.into_iter().filter_map(|(_, id, executor)| {
            let at = self.expected_room(now, executor, &request.step.reserved())?;
            Some((at, id.clone()))
        });
        expected.min()
    }

    /// Returns whether an executor may be reserved for a step.
    fn may_reserve(&self, now: Time, request: &Request<'_>, executor: &Executor) -> bool {
        let registration = &executor.registration;
        let label = request.step.label.as_ref();
        executor.reservation.is_none()
            && executor.takes_work()
            && registration.service == *request.service
            && !executor.health.is_quarantined(now)
            && now >= executor.trial_until
            && label.is_none_or(|label| registration.labels.contains(label))
            && may_have_room(executor, &request.step.reserved())
            && self.is_below_task_limit(request, executor)
    }

    /// Returns when an executor is expected to have the free resources, by the estimated ends of
    /// its runs.
    fn expected_room(&self, now: Time, executor: &Executor, needs: &Resources) -> Option<Time> {
        let mut ends: Vec<(Time, Resources)> = self
            .runs_on(executor)
            .filter(|placed| !placed.step.long_running)
            .map(|placed| {
                (expected_end(now, placed.open.first_sent, placed.step), placed.step.reserved())
            })
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut used = executor.used;
        let mut expected = now;
        let mut ends = ends.into_iter();
        while !executor.registration.capacity.saturating_sub(&used).covers(needs) {
            let (at, released) = ends.next()?;
            used = used.saturating_sub(&released);
            expected = at;
        }
        Some(expected)
    }
}

/// Returns when a run that began at `begun` is expected to end. One that has exceeded its estimate
/// is expected to take as long again.
fn expected_end(now: Time, begun: Time, step: &Step) -> Time {
    let ran = now.since(begun);
    let estimate = Span::from_ms(step.estimate_ms);
    if ran < estimate { begun + estimate } else { now + ran }
}

/// Returns whether the resources are free once all but the long-running runs have ended.
fn may_have_room(executor: &Executor, needs: &Resources) -> bool {
    executor.registration.capacity.saturating_sub(&executor.long_running_used).covers(needs)
}

/// Returns the largest fraction of its capacity that an executor lacks of the free resources.
fn missing(executor: &Executor, needs: &Resources) -> f64 {
    let capacity = executor.registration.capacity;
    let free = capacity.saturating_sub(&executor.used);
    let lacks = |needed: u64, free: u64, capacity: u64| {
        needed.saturating_sub(free) as f64 / capacity.max(1) as f64
    };
    lacks(needs.cpu, free.cpu, capacity.cpu)
        .max(lacks(needs.memory, free.memory, capacity.memory))
        .max(lacks(needs.accelerators, free.accelerators, capacity.accelerators))
}
