//! Executors that leave: what runs there is moved in time.

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Stage, Stop};
use super::executors::PlacedRun;
use crate::id::{Run, TaskId};

/// Time before an executor leaves at which what still runs there is stopped.
const STOP_LEAD: Span = Span::from_ms(700);

impl Shard {
    /// Stops what can't end before its executor leaves, so that it goes on elsewhere.
    pub(super) fn stop_on_draining(&mut self, now: Time) {
        let mut stops: Vec<(TaskId, Run)> = Vec::new();
        for executor in self.executors.values() {
            let Some(leaves) = executor.leaves_at else {
                continue;
            };
            let left = leaves.since(now);
            for PlacedRun { task, step, open, .. } in self.runs_at(executor) {
                let running = matches!(open.stage, Stage::Running { .. });
                let ran = now.since(open.first_sent);
                let remaining = Span::from_ms(step.estimate_ms).less(ran);
                let cannot_finish = step.lasting
                    || (step.saves && left <= STOP_LEAD)
                    || (!step.saves && remaining > left.scale(2.0) + STOP_LEAD);
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
