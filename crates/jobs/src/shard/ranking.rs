//! Executors that may run the tasks of one step, best first.
//!
//! Load pattern: a burst of steps with tens of alike tasks each, on hundreds of executors. The
//! executors are scored once for a step; after a placement only the chosen executor is scored
//! again.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::id::ExecutorId;

/// Score deducted for the executor on which the task last failed or from which it was last
/// moved.
const AVOIDED_EXECUTOR_PENALTY: f64 = 2.0;

/// An executor with its score for a task of the step.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) score: f64,
    pub(super) executor: ExecutorId,
}

/// Executors that may run a task of one step.
#[derive(Debug)]
pub(super) struct Ranking(BinaryHeap<Candidate>);

impl Ranking {
    /// Returns the ranking of the candidates.
    pub(super) fn new(candidates: Vec<Candidate>) -> Self {
        Self(BinaryHeap::from(candidates))
    }

    /// Adds a candidate, such as an executor that was removed and has room for another task.
    pub(super) fn push(&mut self, candidate: Candidate) {
        self.0.push(candidate);
    }

    /// Returns the executors, in no particular order.
    pub(super) fn executors(&self) -> impl Iterator<Item = &ExecutorId> {
        self.0.iter().map(|candidate| &candidate.executor)
    }

    /// Keeps only the executors for which `keeps` is true.
    pub(super) fn retain(&mut self, keeps: impl Fn(&ExecutorId) -> bool) {
        self.0.retain(|candidate| keeps(&candidate.executor));
    }

    /// Removes and returns the best executor; `avoided` is chosen only if all others are much
    /// worse.
    pub(super) fn pop(&mut self, avoided: Option<&ExecutorId>) -> Option<ExecutorId> {
        let first = self.0.pop()?;
        if avoided != Some(&first.executor) {
            return Some(first.executor);
        }
        let Some(second) = self.0.pop() else {
            return Some(first.executor);
        };
        let (chosen, other) = match second.score > first.score - AVOIDED_EXECUTOR_PENALTY {
            true => (second, first),
            false => (first, second),
        };
        self.0.push(other);
        Some(chosen.executor)
    }
}

impl Ord for Candidate {
    /// Compares by score; of equal scores, the executor with the lower identifier is greater.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then_with(|| other.executor.cmp(&self.executor))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}
