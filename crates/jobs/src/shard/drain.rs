//! Draining executors: runs that cannot end before the executor leaves are moved in time.

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Stage, Stop};
use super::executors::PlacedRun;
use crate::id::{Run, TaskId};

/// Time before the departure of an executor at which its remaining runs are stopped.
const STOP_LEAD: Span = Span::from_ms(700);

impl Shard {
    /// Stops runs that cannot end before their executor leaves, so that they continue
    /// elsewhere.
    ///
    /// Long-running tasks are stopped at once. A run that saves checkpoints is stopped
    /// [`STOP_LEAD`] before the departure, any other run as soon as its estimated remaining time
    /// exceeds twice the time left plus [`STOP_LEAD`].
    pub(super) fn stop_on_draining(&mut self, now: Time) {
        let mut stops: Vec<(TaskId, Run)> = Vec::new();
        for executor in self.executors.values() {
            let Some(leaves) = executor.leaves_at else {
                continue;
            };
            let left = leaves.since(now);
            for PlacedRun { task, step, open, .. } in self.runs_on(executor) {
                let running = matches!(open.stage, Stage::Running { .. });
                let ran = now.since(open.first_sent);
                let remaining = Span::from_ms(step.estimate_ms).saturating_sub(ran);
                let cannot_finish = step.long_running
                    || (step.checkpointing && left <= STOP_LEAD)
                    || (!step.checkpointing && remaining > left.scale(2.0) + STOP_LEAD);
                if running && open.stop == Stop::NotRequested && cannot_finish {
                    stops.push((task, open.run));
                }
            }
        }
        for (task, run) in stops {
            self.request_stop(now, &task, run);
        }
    }
}
