//! Executors that leave: what runs there is moved in time.

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Stage, Stop};
use super::fleet::There;
use crate::id::{Run, TaskId};

/// Time before an executor leaves at which what still runs there is stopped.
const STOP_BEFORE: Span = Span::from_ms(700);

impl Shard {
    /// Stops what can't end before its executor leaves, so that it goes on elsewhere.
    pub(super) fn leave_draining(&mut self, now: Time) {
        let mut stops: Vec<(TaskId, Run)> = Vec::new();
        for executor in self.executors.values() {
            let Some(leaves) = executor.leaves else {
                continue;
            };
            let left = leaves.since(now);
            for There { task, step, open, .. } in self.runs_at(executor) {
                let running = matches!(open.stage, Stage::Running { .. });
                let ran = now.since(open.ordered);
                let rest = Span::from_ms(step.estimate_ms).less(ran);
                let hopeless = step.lasting
                    || (step.saves && left <= STOP_BEFORE)
                    || (!step.saves && rest > left.scale(2.0) + STOP_BEFORE);
                if running && open.stop == Stop::No && hopeless {
                    stops.push((task, open.run));
                }
            }
        }
        for (task, run) in stops {
            self.want_stop(now, &task, run);
        }
    }
}
