//! The list of jobs of a cell, for operators.

use sycamorerill_core::clock::Time;
use sycamorerill_core::data;
use sycamorerill_core::id::{ClassName, JobName, TeamName};

use super::Cell;
use super::jobs::Entry;
use crate::job::{Outcome, Reason};
use crate::life::State;

data! {
    /// The state of a job.
    pub enum JobState {
        /// Durable; no task has started.
        Accepted,
        /// At least one task is assigned to a worker or has ended.
        Running,
        /// Unable to run on any worker at present.
        Parked(Reason),
        /// Ended with this outcome.
        Ended(Outcome),
    }
}

data! {
    /// An entry of the list of jobs.
    pub struct JobSummary {
        /// Name of the job.
        pub name: JobName,
        /// Class of the job; absent once it has ended.
        pub class: Option<ClassName>,
        /// Team of the job; absent once it has ended.
        pub team: Option<TeamName>,
        /// State of the job.
        pub state: JobState,
        /// Number of tasks; 0 once the job has ended.
        pub tasks: u32,
        /// Number of finished tasks; 0 once the job has ended.
        pub finished: u32,
        /// Deadline of the job; absent once it has ended.
        pub deadline: Option<Time>,
    }
}

impl Cell {
    /// Returns the durable jobs of the cell, then those that ended except by a handover.
    pub fn jobs(&self) -> Vec<JobSummary> {
        let unended = self.jobs.iter().filter(|(_, entry)| entry.durable);
        let ended = self.ended.iter().filter(|(_, ended)| ended.outcome != Outcome::Moved);
        let mut list: Vec<JobSummary> = unended.map(|(_, entry)| summary(entry)).collect();
        list.extend(ended.map(|(name, ended)| JobSummary {
            name: name.clone(),
            class: None,
            team: None,
            state: JobState::Ended(ended.outcome),
            tasks: 0,
            finished: 0,
            deadline: None,
        }));
        list
    }
}

fn summary(entry: &Entry) -> JobSummary {
    let count = |wanted: fn(State) -> bool| {
        let found = entry.tasks.iter().filter(|task| wanted(task.state)).count();
        u32::try_from(found).unwrap_or(u32::MAX)
    };
    let finished = count(|state| state == State::Finished);
    let begun = count(|state| state.is_on_worker() || state.is_final());
    let state = match &entry.parked {
        Some(reason) => JobState::Parked(reason.clone()),
        None if begun > 0 => JobState::Running,
        None => JobState::Accepted,
    };
    JobSummary {
        name: entry.job.name.clone(),
        class: Some(entry.job.class.clone()),
        team: Some(entry.job.team.clone()),
        state,
        tasks: entry.job.tasks,
        finished,
        deadline: Some(entry.deadline),
    }
}
