//! Probes of simulated executors.

use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::{EndReason, Outcome, Refusal, Steady};
use sycamorerill_jobs::id::{Run, TaskId};
use sycamorerill_jobs::shard::{Event, Probe};

use super::Simulation;

impl Simulation {
    /// Delivers a probe; its answer follows when a run ends or the wait is over.
    pub(super) fn start_probe(
        &mut self,
        probe: Probe,
        acknowledged: u64,
        deadline: Option<Steady>,
        wait: Span,
    ) {
        let (now, epoch) = (self.now, self.epoch);
        let executor = self.executors.get_mut(&probe.executor).expect("known executor");
        if executor.replaced {
            let refused = Outcome::Refused(Refusal::Incarnation, None);
            self.handle(Event::ProbeFailed(probe, refused));
            return;
        }
        if executor.refuses_probes {
            let refused = Outcome::Refused(Refusal::Unhealthy, None);
            self.handle(Event::ProbeFailed(probe, refused));
            return;
        }
        if !executor.is_reached_by(epoch) {
            self.handle(Event::ProbeFailed(probe, Outcome::Unknown));
            return;
        }
        if epoch < executor.fence {
            let refused = Outcome::Refused(Refusal::Fence, Some(executor.clock(now)));
            self.handle(Event::ProbeFailed(probe, refused));
            return;
        }
        executor.fence = epoch;
        let lapsed_end = executor.lapsed_end;
        let noted: Vec<(TaskId, Run)> = executor
            .ended
            .iter()
            .filter(|end| end.number <= acknowledged && end.number > lapsed_end)
            .filter(|end| end.reason == EndReason::Done)
            .map(|end| (end.task, end.run))
            .collect();
        executor.ended.retain(|end| end.number > acknowledged);
        if executor.foreign_end <= acknowledged {
            executor.foreign_end = 0;
        }
        if let Some(deadline) = deadline {
            executor.extend_lease(now, deadline.0);
        }
        let incarnation = executor.incarnation;
        for (task, run) in noted {
            if self.latest_runs.get(&task).is_some_and(|latest| *latest > run) {
                self.violations.push(format!("{task} ran again before its end was acknowledged"));
            }
            self.noted_ends.insert(task);
        }
        self.pending_probes.push((probe, incarnation, now + wait + self.probe_latency));
    }

    /// Answers the probes whose wait is over or for which a run has ended.
    pub(super) fn answer_probes(&mut self) {
        let now = self.now;
        for (probe, incarnation, until) in std::mem::take(&mut self.pending_probes) {
            let executor = &self.executors[&probe.executor];
            let is_lost = !executor.is_reached_by(self.epoch) || executor.loses_answers;
            if is_lost || executor.incarnation != incarnation {
                self.handle(Event::ProbeFailed(probe, Outcome::Unknown));
            } else if now >= until
                || (!executor.ended.is_empty() && self.probe_latency == Span::ZERO)
            {
                let report = executor.report(now);
                self.handle(Event::Probed(probe, report));
            } else {
                self.pending_probes.push((probe, incarnation, until));
            }
        }
    }
}
