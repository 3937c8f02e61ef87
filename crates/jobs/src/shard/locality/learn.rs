//! What is learned from the ends of runs.

use sycamorerill_core::clock::Time;

use super::super::Shard;
use super::forecast::is_away;
use crate::executor::{EndReason, RunEnd};
use crate::id::ExecutorId;

impl Shard {
    /// Learns from a reported end of a run that is still open.
    pub(in super::super) fn learn_from_end(&mut self, now: Time, id: &ExecutorId, ended: &RunEnd) {
        if !self.locality.in_use {
            return;
        }
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        if let Some(rack) = executor.registration.rack()
            && let Some(rack) = self.locality.racks.get_mut(rack)
        {
            rack.observed.note_release(now);
        }
        if ended.reason == EndReason::Done {
            self.learn_run_time(now, id, ended);
        }
    }

    /// Learns the run time of a task that has run in one piece and without a limit.
    fn learn_run_time(&mut self, now: Time, id: &ExecutorId, ended: &RunEnd) {
        let (jobs, locality) = (&self.jobs, &mut self.locality);
        let Some(entry) = jobs.get(&ended.task.step.job) else {
            return;
        };
        let step = entry.job.steps.get(ended.task.step.step as usize);
        let open = entry
            .task(&ended.task)
            .and_then(|task| task.open_runs.iter().find(|open| open.run == ended.run));
        let (Some(step), Some(open), Some(executor)) = (step, open, self.executors.get(id)) else {
            return;
        };
        let is_whole = open.run.0 == 1 && open.limit.percent() == 100 && !step.long_running;
        let Some(started_at) = open.started_at.filter(|_| is_whole) else {
            return;
        };
        let is_remote = is_away(step.data_rack.as_ref(), executor);
        let factor = if is_remote { self.settings.remote_penalty } else { 1.0 };
        locality.run_times.learn(&entry.queue, step, now.since(started_at).scale(1.0 / factor));
    }
}
