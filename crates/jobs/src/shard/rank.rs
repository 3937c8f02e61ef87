//! Order in which waiting steps are placed.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::value;

use super::Shard;
use super::entry::{Entry, Step};
use crate::admission::EXPIRY_FACTOR;
use crate::config::Queue;
use crate::id::StepId;

/// Fraction of its estimated remaining time that a job needs at least.
const CERTAIN_FRACTION: f64 = 0.8;

value! {
    /// Urgency of a step among those of its priority; lower variants are placed first.
    enum Class {
        /// A long-running task waits that has run before: its callers are without it.
        Restart,
        /// The job can meet its objective.
        Timely,
        /// The job will be late in any case, so it must not make others late. New long-running
        /// tasks are here as well: other tasks of the same priority have several times the value
        /// per core and second, and release their resources again.
        Behind,
        /// The job is so late that its completion has no value.
        Expired,
    }
}

/// Rank of a waiting step; lower ranks are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Priority of the queue; that of expired steps is below all others.
    priority: u32,
    class: Class,
    /// Whether the queue uses more than its share while others lack room.
    held_back: bool,
    /// When the occurrence must be done to meet the latency objective, in milliseconds since 1970.
    due_ms: u64,
}

impl Rank {
    /// Returns the rank of a step of `entry` in an occurrence that begins at `begin_ms`;
    /// `restarts` tells whether it has restarts to be placed before new work, and `over_share`
    /// whether its queue uses more than its share.
    fn of(
        entry: &Entry,
        queue: Option<&Queue>,
        step: u32,
        begin_ms: u64,
        wall_ms: u64,
        restarts: bool,
        over_share: bool,
    ) -> Self {
        let (priority, stretch, objective) = queue
            .map_or((0, 1.0, 0), |queue| (queue.priority, queue.stretch, queue.objective.as_ms()));
        let path_ms = entry.job.critical_path().scale(stretch).as_ms();
        let span = path_ms.saturating_add(objective);
        let due_ms = begin_ms.saturating_add(span);
        let remaining = entry.job.critical_path_from(step).scale(CERTAIN_FRACTION).as_ms();
        let class = if restarts {
            Class::Restart
        } else if entry.long_running {
            Class::Behind
        } else if wall_ms > begin_ms.saturating_add(span.saturating_mul(EXPIRY_FACTOR)) {
            Class::Expired
        } else if wall_ms.saturating_add(remaining) > due_ms {
            Class::Behind
        } else {
            Class::Timely
        };
        let priority = if class == Class::Expired { u32::MAX } else { priority };
        let held_back = over_share && class != Class::Restart;
        Self { priority, class, held_back, due_ms }
    }

    /// Returns whether steps of the same priority that can still meet their objective come first.
    pub(super) const fn is_late(self) -> bool {
        matches!(self.class, Class::Behind | Class::Expired)
    }

    /// Returns when the occurrence must be done to meet its objective, in milliseconds since 1970.
    pub(super) const fn due_ms(self) -> u64 {
        self.due_ms
    }

    /// Returns whether completing the job has no value any more.
    pub(super) const fn is_expired(self) -> bool {
        matches!(self.class, Class::Expired)
    }

    /// Returns whether the step is behind others of its class for the use of its queue.
    pub(super) const fn is_held_back(self) -> bool {
        self.held_back
    }

    /// Returns whether the step has restarts that are placed before new work.
    pub(super) const fn is_restart(self) -> bool {
        matches!(self.class, Class::Restart)
    }
}

impl Step {
    /// Returns whether a task that has run before has waited for at least `wait`.
    fn has_restart(&self, now: Time, wait: Span) -> bool {
        self.tasks.changed().any(|(_, task)| {
            task.run > 0
                && !task.done
                && task.open_runs.is_empty()
                && now.since(task.waiting_since) >= wait
        })
    }
}

impl Shard {
    /// Returns the present rank of a step.
    pub(super) fn current_rank(&self, now: Time, id: StepId) -> Option<Rank> {
        let entry = self.jobs.get(&id.job)?;
        let begin_ms = entry.occurrences.get(&id.occurrence)?.begin_ms;
        let queue = self.queue_of(entry);
        let long_running = entry.job.steps.get(id.step as usize)?.long_running;
        let restarts =
            long_running && entry.step(id)?.has_restart(now, self.settings.restart_promotion);
        let standing = self.shares.standing(&entry.queue, long_running);
        let over_share = standing.is_some_and(|standing| standing.is_over);
        Some(Rank::of(entry, queue, id.step, begin_ms, self.wall_ms, restarts, over_share))
    }

    /// Moves a waiting step to its present rank. Returns whether the rank has changed.
    pub(super) fn update_rank(&mut self, now: Time, rank: Rank, id: StepId) -> bool {
        let updated = match self.current_rank(now, id) {
            Some(updated) if updated != rank && !rank.is_expired() => updated,
            _ => return false,
        };
        self.waiting.remove(&(rank, id));
        self.waiting.insert((updated, id));
        if let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        {
            step.rank = Some(updated);
        }
        true
    }

    /// Moves the steps whose restarts are due to be placed before new work.
    ///
    /// Passes that update the ranks of all steps are too rare for that, and may end before they
    /// reach the step.
    pub(super) fn promote_restarts(&mut self, now: Time) {
        while let Some((due, id)) = self.promotions.first().copied().filter(|(due, _)| *due <= now)
        {
            self.promotions.remove(&(due, id));
            let step = self.jobs.get(&id.job).and_then(|entry| entry.step(id));
            let rank = step.filter(|step| !step.waiting.is_empty()).and_then(|step| step.rank);
            if let Some(rank) = rank {
                self.update_rank(now, rank, id);
            }
        }
    }
}
