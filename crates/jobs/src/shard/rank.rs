//! Order in which waiting steps are placed.

use sycamorerill_core::value;

use super::entry::Entry;
use crate::admission::EXPIRY_FACTOR;
use crate::config::Queue;

/// Group of steps whose job is so late that its completion has no value.
const EXPIRED: u32 = u32::MAX;
/// Fraction of its estimated remaining time that a job needs at least.
const CERTAIN_FRACTION: f64 = 0.8;

value! {
    /// Rank of a waiting step; lower ranks are placed first.
    pub(crate) struct Rank {
        /// Priority of the queue, with long-running tasks and late jobs behind the others of
        /// the same priority.
        group: u32,
        /// When the occurrence must be done to meet the latency objective, in milliseconds since
        /// 1970.
        due_ms: u64,
    }
}

impl Rank {
    /// Returns the rank of a step of `entry` in an occurrence that begins at `begin_ms`.
    pub(super) fn of(
        entry: &Entry,
        queue: Option<&Queue>,
        step: u32,
        begin_ms: u64,
        wall_ms: u64,
    ) -> Self {
        let (priority, stretch, objective) = queue
            .map_or((0, 1.0, 0), |queue| (queue.priority, queue.stretch, queue.objective.as_ms()));
        let path_ms = entry.job.critical_path().scale(stretch).as_ms();
        let span = path_ms.saturating_add(objective);
        let due_ms = begin_ms.saturating_add(span);
        let remaining = entry.job.critical_path_from(step).scale(CERTAIN_FRACTION).as_ms();
        let ahead = priority.saturating_mul(2).min(EXPIRED - 3);
        let behind = ahead + 1;
        let group = if entry.long_running {
            // Behind other tasks of the same priority: those have several times the value per
            // core and second, and release their resources again.
            behind
        } else if wall_ms > begin_ms.saturating_add(span.saturating_mul(EXPIRY_FACTOR)) {
            EXPIRED
        } else if wall_ms.saturating_add(remaining) > due_ms {
            // The job will be late in any case, so it must not make others late.
            behind
        } else {
            ahead
        };
        Self { group, due_ms }
    }

    /// Returns whether steps of the same priority that can still meet their objective come first.
    pub(super) const fn is_late(self) -> bool {
        // Groups of late and of long-running work are odd, as is that of expired jobs.
        self.group % 2 == 1
    }

    /// Returns whether completing the job has no value any more.
    pub(super) const fn is_expired(self) -> bool {
        self.group == EXPIRED
    }
}
