//! Evacuation of failure domains: nothing starts there, and what runs there goes on.
//!
//! Load pattern: a burst of jobs on hundreds of executors while a domain is evacuated, so that runs in
//! all stages are under way there. Whether an executor's domain is evacuated is kept with the
//! executor, as each placement asks for it. The log has one line for each change of the set.

use std::collections::BTreeSet;

use sycamorerill_core::clock::Time;
use sycamorerill_core::data;

use super::Shard;
use super::executors::Executor;
use super::message::{Closing, Command, Decision};
use crate::id::{DomainName, ExecutorId, Run, TaskId};

/// Largest score that is deducted for an executor that is slow after its start. It exceeds all
/// differences by how full executors are.
const MAX_WARM_UP_PENALTY: f64 = 1.5;

data! {
    /// The evacuated failure domains, and what a shard has there.
    pub struct Evacuated {
        /// Evacuated domains.
        pub domains: BTreeSet<DomainName>,
        /// Those of which no executor is known.
        pub unknown: BTreeSet<DomainName>,
        /// Number of executors in the evacuated domains.
        pub executors: usize,
        /// Number of open runs there.
        pub runs: usize,
        /// Whether the shard has executors, all of them in evacuated domains.
        pub is_everywhere: bool,
    }
}

/// The evacuated domains, as the shard knows them.
#[derive(Debug, Default)]
pub(super) struct State {
    domains: BTreeSet<DomainName>,
    /// Domains of which no executor was known at the last line of the log.
    unknown: BTreeSet<DomainName>,
    /// Whether a line of the log is due.
    is_log_due: bool,
}

impl Shard {
    /// Replaces the set of evacuated domains.
    pub(super) fn set_evacuated(&mut self, domains: BTreeSet<DomainName>) {
        if self.evacuation.domains == domains {
            return;
        }
        self.evacuation = State { domains, unknown: BTreeSet::new(), is_log_due: true };
        let ids: Vec<ExecutorId> = self.executors.keys().cloned().collect();
        for id in ids {
            self.update_evacuated(&id);
        }
        self.placement_due = true;
    }

    /// Updates whether an executor's domain is evacuated, after a change of the set or of the
    /// executor's entry. An executor whose domain was taken back is tried for tasks that wait.
    pub(super) fn update_evacuated(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let domain = &executor.registration.domain;
        let is_evacuated = self.evacuation.domains.contains(domain);
        self.evacuation.is_log_due |= self.evacuation.unknown.remove(domain);
        if std::mem::replace(&mut executor.is_evacuated, is_evacuated) == is_evacuated {
            return;
        }
        self.unschedulable.note_change();
        if !is_evacuated {
            self.released.insert(id.clone());
        }
    }

    /// Logs the evacuated domains, if they have changed or the first executor of one has appeared.
    pub(super) fn log_evacuated(&mut self) {
        if !std::mem::take(&mut self.evacuation.is_log_due) {
            return;
        }
        let evacuated = self.evacuated();
        self.evacuation.unknown.clone_from(&evacuated.unknown);
        self.out.push(Command::Log(Decision::Evacuated(evacuated)));
    }

    /// Returns the evacuated domains and what the shard has there.
    pub(super) fn evacuated(&self) -> Evacuated {
        let present = || self.executors.values().filter(|executor| executor.present);
        let known: BTreeSet<DomainName> =
            present().map(|executor| executor.registration.domain.clone()).collect();
        let inside = || self.executors.values().filter(|executor| executor.is_evacuated);
        Evacuated {
            domains: self.evacuation.domains.clone(),
            unknown: self.evacuation.domains.difference(&known).cloned().collect(),
            executors: inside().count(),
            runs: inside().map(|executor| self.runs_on(executor).count()).sum(),
            is_everywhere: !known.is_empty() && known.is_subset(&self.evacuation.domains),
        }
    }

    /// Closes a recorded run for which no order was sent, since the executor's domain is evacuated.
    pub(super) fn close_evacuated(&mut self, now: Time, task: &TaskId, run: Run) {
        self.close(now, task, run, Closing::Evacuated);
        self.stop_gang(now, task);
    }

    /// Stops a run whose order has no answer, since the executor's domain is evacuated. The order is
    /// not repeated; the run is closed when the executor shows that it does not have it.
    pub(super) fn stop_evacuated(&mut self, now: Time, task: &TaskId, run: Run) {
        self.request_stop(now, task, run);
        self.stop_gang(now, task);
    }

    /// Stops the other members of a gang of which a member does not start. They would wait for it.
    fn stop_gang(&mut self, now: Time, task: &TaskId) {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return;
        };
        let spec = entry.job.steps.get(task.step.step as usize);
        let Some(step) = entry.step(task.step).filter(|_| spec.is_some_and(|spec| spec.gang))
        else {
            return;
        };
        let runs = step.tasks.changed().flat_map(|(index, member)| {
            member.open_runs.iter().map(move |open| (task.step.task(index), open.run))
        });
        for (member, run) in runs.collect::<Vec<_>>() {
            self.request_stop(now, &member, run);
        }
    }
}

/// Returns the score deducted for an executor that is still slow after its start. It rises with the
/// remaining time in which the executor is slow, compared with the run time of the task.
pub(super) fn warm_up_penalty(now: Time, executor: &Executor, estimate_ms: u64) -> f64 {
    let left = executor.warm_at.since(now).as_ms() as f64;
    MAX_WARM_UP_PENALTY * left / (left + estimate_ms as f64).max(1.0)
}
