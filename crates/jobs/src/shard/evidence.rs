//! What the log tells of a run that is closed and of the executors of predecessors.
//!
//! Nothing is decided here but the evidence that a lease has ended, in one place with its log.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::{data, value};

use super::Shard;
use super::entry::OpenRun;
use super::executors::Executor;
use super::message::{Closing, Command, Decision};
use crate::executor::{Incarnation, Report, Steady};
use crate::id::{ExecutorId, Run, TaskId};

value! {
    /// What bounds the leases that predecessors granted to an executor.
    pub enum LeaseBound {
        /// The longest lease that a predecessor may have granted.
        Longest,
        /// The lease end that the predecessor recorded.
        Recorded,
        /// The longest lease that a new incarnation may grant for a deadline of an earlier clock.
        Restarted,
    }
}

data! {
    /// What an owner knew of a run when it closed the run.
    #[derive(Copy)]
    pub struct Knowledge {
        /// Progress of the order to start the run: recording, sent, unknown, running or inherited; or
        /// closed, if the run was closed before.
        pub stage: &'static str,
        /// Incarnation of the executor that the run is ascribed to.
        pub born: Incarnation,
        /// Latest known incarnation of the executor.
        pub born_now: Incarnation,
        /// Time since the executor's last answer to this owner, or since the takeover if there was
        /// none.
        pub age: Span,
    }
}

data! {
    /// An executor on which runs of predecessors may be active at a takeover.
    pub struct Inherited {
        /// Executor of the recorded runs.
        pub executor: ExecutorId,
        /// Lowest recorded incarnation.
        pub born_first: Incarnation,
        /// Highest recorded incarnation.
        pub born_last: Incarnation,
        /// Incarnation in the list; `None` if the executor is not listed.
        pub born_listed: Option<Incarnation>,
        /// Number of recorded runs that are open.
        pub runs: usize,
        /// Time after which the runs are taken to be over if the executor does not answer.
        pub wait: Span,
        /// What bounds that time.
        pub bound: LeaseBound,
    }
}

data! {
    /// First report of an executor on which runs of predecessors may be active. From then on it
    /// accepts no orders of lower epochs.
    pub struct FirstReport {
        /// Executor that has reported.
        pub executor: ExecutorId,
        /// Incarnation that has reported.
        pub incarnation: Incarnation,
        /// Executor's clock in the report.
        pub clock: Steady,
        /// Number of open runs that the report lists, as active or ended.
        pub listed: usize,
        /// Number of open runs that it does not list.
        pub missing: usize,
    }
}

impl Shard {
    /// Returns what is known of a run that is being closed.
    pub(super) fn knowledge_of(&self, now: Time, open: &OpenRun) -> Knowledge {
        let executor = self.executors.get(&open.executor);
        let answered = executor.map_or(Time::ZERO, |found| found.last_answer);
        Knowledge {
            stage: open.stage.name(),
            born: open.incarnation,
            born_now: executor.map_or(open.incarnation, |found| found.registration.incarnation),
            age: now.since(answered.max(self.restored_at)),
        }
    }

    /// Returns what is known of a run that was closed before, when executor `id` reports its end.
    pub(super) fn knowledge_of_closed(&self, now: Time, id: &ExecutorId) -> Knowledge {
        let executor = self.executors.get(id);
        let born = executor.map_or(Incarnation(0), |found| found.registration.incarnation);
        let answered = executor.map_or(Time::ZERO, |found| found.last_answer);
        let age = now.since(answered.max(self.restored_at));
        Knowledge { stage: "closed", born, born_now: born, age }
    }

    /// Returns the evidence that the runs on an executor out of reach are over, if there is any.
    pub(super) fn evidence_of_expiry(&self, now: Time, executor: &Executor) -> Option<Closing> {
        let waited = now.since(self.restored_at);
        if !executor.fenced {
            let has_ended = self.inherited_end(executor).is_some_and(|end| now >= end);
            let bound = executor.inherited_bound;
            return has_ended.then_some(Closing::LapsedInherited { waited, bound });
        }
        let (clock, deadline) = (executor.clock(now), executor.deadline);
        (clock > deadline).then_some(Closing::Lapsed { clock, deadline })
    }

    /// Logs the executors on which runs of predecessors may be active.
    pub(super) fn log_inherited(&mut self, now: Time) {
        let inherited = self.executors.values().filter(|found| !found.fenced);
        let lines: Vec<Command> = inherited
            .filter_map(|executor| {
                let born = || self.runs_on(executor).map(|placed| placed.open.incarnation);
                let registration = &executor.registration;
                Some(Command::Log(Decision::Inherited(Inherited {
                    executor: registration.id.clone(),
                    born_first: born().min()?,
                    born_last: born().max()?,
                    born_listed: executor.present.then_some(registration.incarnation),
                    runs: born().count(),
                    wait: executor.inherited_until.since(now),
                    bound: executor.inherited_bound,
                })))
            })
            .collect();
        self.out.extend(lines);
    }

    /// Logs the first report of an executor on which runs of predecessors may be active; `listed`
    /// are the runs in the report.
    pub(super) fn log_first_report(
        &mut self,
        id: &ExecutorId,
        report: &Report,
        listed: &BTreeSet<(TaskId, Run)>,
    ) {
        let Some(executor) = self.executors.get(id).filter(|found| !found.fenced) else {
            return;
        };
        let is_listed = |task, run| listed.contains(&(task, run));
        let found = self.runs_on(executor).filter(|run| is_listed(run.task, run.open.run)).count();
        let first = FirstReport {
            executor: id.clone(),
            incarnation: executor.registration.incarnation,
            clock: report.clock,
            listed: found,
            missing: self.runs_on(executor).count() - found,
        };
        self.out.push(Command::Log(Decision::Fenced(first)));
    }
}
