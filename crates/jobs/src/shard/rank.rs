//! The order in which waiting steps are placed.

use sycamorerill_core::value;

use super::entry::Entry;
use crate::config::Queue;

/// Group of steps whose job can no longer earn.
const EXPIRED: u32 = u32::MAX;
/// Part of the estimated rest of a job that it surely needs.
const CERTAIN_FRACTION: f64 = 0.8;
/// Times the objective up to which a late job still earns.
const EXPIRY_FACTOR: u64 = 3;

value! {
    /// Rank of a waiting step; lower ones are placed first.
    pub(crate) struct Rank {
        /// By urgency; tasks that last behind others.
        group: u32,
        /// When the job is due, in milliseconds since 1970.
        due_ms: u64,
    }
}

impl Rank {
    /// Returns the rank of a step of `entry` in an occurrence due at `begin_ms`.
    pub(super) fn of(
        entry: &Entry,
        queue: Option<&Queue>,
        step: u32,
        begin_ms: u64,
        wall_ms: u64,
    ) -> Self {
        let (priority, stretch, objective) = queue
            .map_or((0, 1.0, 0), |queue| (queue.priority, queue.stretch, queue.objective.as_ms()));
        let span = entry.job.chain().scale(stretch).as_ms() + objective;
        let due_ms = begin_ms + span;
        let remaining = entry.job.chain_from(step).scale(CERTAIN_FRACTION).as_ms();
        let group = if entry.lasting {
            // Behind others as urgent: those earn several times as much by core and second,
            // and leave again.
            2 * priority + 1
        } else if wall_ms > begin_ms + EXPIRY_FACTOR * span {
            EXPIRED
        } else if wall_ms + remaining > due_ms {
            // Late whatever is done, so it must not make others late.
            2 * priority + 1
        } else {
            2 * priority
        };
        Self { group, due_ms }
    }

    /// Reports whether the job can no longer earn.
    pub(super) const fn is_expired(self) -> bool {
        self.group == EXPIRED
    }
}
