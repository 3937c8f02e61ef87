//! Tasks that crash the executors on which they start.
//!
//! The crash of an executor is attributed to each task that started there shortly before the
//! executor's last answer. All of them are suspects, since any may be the cause. A suspect's next
//! run begins on an executor that gets no other work for a while, so that a second crash tells the
//! cause from tasks that started beside it.

use std::net::SocketAddr;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{OpenRun, Stage, Stop, Task};
use super::executors::Executor;
use super::lifecycle::MIN_BACKOFF;
use super::message::{Closing, Command, Decision, Order};
use crate::executor::Incarnation;
use crate::id::{ExecutorId, Run, TaskId};
use crate::progress::State;

/// Time for which an executor with a new run of a suspect gets no other work.
pub(super) const TRIAL: Span = Span::from_ms(1_000);
/// Longest time from a start to the executor's last answer at which a crash is attributed to the
/// task.
const ATTRIBUTION_WINDOW: Span = Span::from_ms(1_000);
/// Minimum number of confirmed crashes under a task after which it is given up: the platform's
/// contract allows no fewer.
const MIN_CRASHES: u32 = 2;
/// Number of crashes after which a task is given up however many attempts its queue allows.
const MAX_CRASHES: u32 = 3;
/// Number of crashes, confirmed or not, after which `MIN_CRASHES` confirmed ones are enough.
const MAX_UNCONFIRMED_CRASHES: u32 = 4;
/// Time since an executor's start in which another crash is likely for reasons of its own.
const UNSTABLE_AFTER_START: Span = Span::from_ms(10_000);
/// Score deducted for an executor that started recently.
const RECENT_START_PENALTY: f64 = 5.0;
/// Score deducted for an executor with runs that started too recently to tell which one crashes it.
const RECENT_RUN_PENALTY: f64 = 2.0;
/// Score deducted for each run that a crash would end.
const COST_PER_RUN: f64 = 0.1;
/// Longest time from an executor's last report to the store until its owner knows that the entry is
/// gone, while the owner reaches the store: 3.3 s until the entry expires, and 1 s for a change.
const ENTRY_LIFETIME: Span = Span::from_ms(4_300);
/// Longest time since its last confirmed write for which the owner counts as reaching the store.
const MAX_CONFIRMATION_AGE: Span = Span::from_ms(1_000);
/// Time for which runs that lapsed soon after their start are remembered.
const LAPSED_START_MEMORY: Span = Span::from_ms(60_000);

/// A run that had just started, or may have, when its executor fell silent, and that lapsed since.
#[derive(Clone, Debug)]
pub(super) struct LapsedStart {
    order: Order,
    involvement: Involvement,
    incarnation: Incarnation,
    address: SocketAddr,
    lapsed_at: Time,
}

/// How a task was involved in the crash of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Involvement {
    /// The task had started shortly before.
    Started,
    /// The order to start the task was not answered.
    MayHaveStarted,
}

impl Task {
    /// Returns whether the task may crash the executors on which it starts.
    pub(super) const fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Returns whether the task has crashed too many executors to be started again.
    fn has_crashed_too_many(&self, max_attempts: u32, long_running: bool) -> bool {
        let limit = match long_running {
            true => MAX_CRASHES,
            false => max_attempts.clamp(MIN_CRASHES, MAX_CRASHES),
        };
        let limit = if self.crashes >= MAX_UNCONFIRMED_CRASHES { MIN_CRASHES } else { limit };
        self.confirmed_crashes >= limit
    }
}

impl OpenRun {
    /// Records that the executor has confirmed the run; probes from `since_probe` on list it.
    pub(super) fn confirm(&mut self, now: Time, since_probe: u64) {
        if self.stage != Stage::Inherited {
            self.started_at.get_or_insert(now);
        }
        self.stage = Stage::Running { since_probe };
    }
}

impl Executor {
    /// Returns the score deducted for a task that may crash the executor.
    pub(super) fn crash_cost(&self, now: Time) -> f64 {
        let mut cost = COST_PER_RUN * self.open_tasks.len() as f64;
        if self.clock(now).0 < UNSTABLE_AFTER_START.as_ms() {
            cost += RECENT_START_PENALTY;
        }
        if now.since(self.last_placed) < ATTRIBUTION_WINDOW {
            cost += RECENT_RUN_PENALTY;
        }
        cost
    }
}

/// Returns whether a run that is closed on the evidence `by` may have crashed its executor.
const fn may_be_crash(by: Closing) -> bool {
    matches!(
        by,
        Closing::Gone
            | Closing::Replaced
            | Closing::Lapsed { .. }
            | Closing::LapsedInherited { .. }
    )
}

impl Shard {
    /// Returns whether a task may crash the executors on which it starts.
    pub(super) fn is_suspect(&self, task: &TaskId) -> bool {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        found.is_some_and(Task::is_suspect)
    }

    /// Returns how a run that is closed on the evidence `by` would be involved in a crash of its
    /// executor; `None` if it would not.
    pub(super) fn crash_involvement(
        &self,
        task: &TaskId,
        run: Run,
        by: Closing,
    ) -> Option<Involvement> {
        if !may_be_crash(by) {
            return None;
        }
        let found = self.jobs.get(&task.step.job)?.task(task)?;
        let open = found.open_runs.iter().find(|open| open.run == run)?;
        let executor = self.executors.get(&open.executor)?;
        match (open.stage, open.started_at) {
            (_, Some(at)) if executor.last_answer_to(open).since(at) <= ATTRIBUTION_WINDOW => {
                Some(Involvement::Started)
            }
            (Stage::Sent | Stage::Unknown, None) if open.stop == Stop::NotRequested => {
                Some(Involvement::MayHaveStarted)
            }
            _ => None,
        }
    }

    /// Attributes the end of a run to its task, if the executor crashed, or keeps the run until it
    /// is known whether the executor crashed or was out of reach.
    pub(super) fn attribute_end(
        &mut self,
        now: Time,
        order: &Order,
        by: Closing,
        involvement: Involvement,
    ) {
        if matches!(by, Closing::Gone | Closing::Replaced) {
            self.record_crash(now, order, involvement);
            return;
        }
        let Some(executor) = self.executors.get(&order.executor) else {
            return;
        };
        let registration = &executor.registration;
        self.lapsed_starts.push(LapsedStart {
            order: order.clone(),
            involvement,
            incarnation: registration.incarnation,
            address: registration.address,
            lapsed_at: now,
        });
    }

    /// Attributes crashes to tasks whose runs lapsed, if a later incarnation of the executor, or a
    /// later executor at its address, shows that it has crashed.
    pub(super) fn attribute_lapsed(
        &mut self,
        now: Time,
        id: &ExecutorId,
        incarnation: Incarnation,
        address: SocketAddr,
    ) {
        if self.lapsed_starts.is_empty() {
            return;
        }
        let shows_crash = |start: &LapsedStart| {
            let same = start.order.executor == *id || start.address == address;
            same && incarnation > start.incarnation
        };
        let (crashed, others): (Vec<_>, Vec<_>) =
            self.lapsed_starts.drain(..).partition(shows_crash);
        self.lapsed_starts = others;
        self.lapsed_starts.retain(|start| now.since(start.lapsed_at) < LAPSED_START_MEMORY);
        for start in crashed {
            self.record_crash(now, &start.order, start.involvement);
        }
    }

    /// Forgets the lapsed runs of executors that have reported to the store after the time in which
    /// a task that they had started would have crashed them: their entries would be gone otherwise.
    pub(super) fn forget_listed(&mut self, now: Time) {
        let (executors, unconfirmed_at) = (&self.executors, self.unconfirmed_at);
        let has_survived = |start: &LapsedStart| {
            let executor = executors.get(&start.order.executor);
            start.involvement == Involvement::Started
                && executor.is_some_and(|executor| {
                    executor.present
                        && executor.registration.incarnation == start.incarnation
                        && unconfirmed_at < executor.last_answer
                        && now.since(executor.last_answer) >= ENTRY_LIFETIME + ATTRIBUTION_WINDOW
                })
        };
        self.lapsed_starts.retain(|start| !has_survived(start));
    }

    /// Notes whether the owner has not reached the store, so that entries may be listed that have
    /// expired.
    pub(super) fn note_confirmation(&mut self, now: Time) {
        if now.since(self.confirmed_at) > MAX_CONFIRMATION_AGE {
            self.unconfirmed_at = now;
        }
    }

    /// Forgets the lapsed runs of an executor that has answered in the incarnation that they were
    /// started in: it was out of reach and has not crashed.
    pub(super) fn forget_lapsed(&mut self, id: &ExecutorId, incarnation: Incarnation) {
        let has_survived =
            |start: &LapsedStart| start.order.executor == *id && start.incarnation == incarnation;
        self.lapsed_starts.retain(|start| !has_survived(start));
    }

    /// Returns whether a run of the task has outlasted the time in which it would have crashed its
    /// executor.
    fn has_surviving_run(&self, task: &TaskId) -> bool {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        found.is_some_and(|found| {
            found.open_runs.iter().any(|open| {
                let answer = self.executors.get(&open.executor).map(|found| found.last_answer);
                open.started_at.zip(answer).is_some_and(|(started_at, answer)| {
                    answer.since(started_at) > ATTRIBUTION_WINDOW
                })
            })
        })
    }

    /// Attributes the crash of an executor to a task, and gives the task up if it has crashed too
    /// many.
    pub(super) fn record_crash(&mut self, now: Time, order: &Order, involvement: Involvement) {
        let job = order.task.step.job;
        let survives = self.has_surviving_run(&order.task);
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| entry.is_active()) else {
            return;
        };
        let long_running = entry.long_running;
        let queue = entry.queue_in(&self.config);
        let max_attempts = queue.map_or(MIN_CRASHES, |queue| queue.max_attempts);
        let Some(task) = entry.task_mut(&order.task) else {
            return;
        };
        task.crashes = task.crashes.saturating_add(1);
        let started = u32::from(involvement == Involvement::Started);
        task.confirmed_crashes = task.confirmed_crashes.saturating_add(started);
        task.avoided_executor = Some(order.executor.clone());
        task.not_before = now + MIN_BACKOFF;
        let (crashes, confirmed) = (task.crashes, task.confirmed_crashes);
        let exhausted = task.has_crashed_too_many(max_attempts, long_running);
        self.mark_changed(&order.task);
        let decision = Decision::Crashed { order: order.clone(), crashes, confirmed };
        self.out.push(Command::Log(decision));
        if exhausted && !survives {
            self.finish(now, job, State::Failed);
        }
    }
}
