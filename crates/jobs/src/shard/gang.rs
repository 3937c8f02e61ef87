//! Placement of gangs, whose tasks run all together or not at all.

use sycamorerill_core::clock::Time;

use super::Shard;
use super::pass::{Pass, Placed, Scope};
use super::place::Request;
use super::ranking::Ranking;
use crate::id::{Run, StepId, TaskId};

impl Shard {
    /// Places all tasks of a gang or none.
    pub(super) fn place_gang(
        &mut self,
        now: Time,
        request: &Request<'_>,
        waiting: &[u32],
        scope: Scope,
        pass: &mut Pass,
    ) -> Placed {
        let id = request.id;
        let whole = waiting.len() == request.step.count as usize;
        if !whole || waiting.iter().any(|index| self.not_before(&id.task(*index)) > now) {
            return Placed::Some;
        }
        let run = waiting.iter().map(|index| self.next_run(&id.task(*index))).max();
        let run = run.unwrap_or(Run(1));
        self.share_checkpoint(id);
        let scope = if scope == Scope::Rack { scope } else { Scope::All };
        let placed = self.place_whole(now, request, waiting, run, scope, pass);
        if placed == Placed::All {
            pass.take(waiting.len(), request.step.best_effort);
        }
        placed
    }

    /// Places all members of a gang on executors of the ranking, or none. Returns whether they are
    /// placed.
    pub(super) fn place_members(
        &mut self,
        now: Time,
        request: &Request<'_>,
        waiting: &[u32],
        run: Run,
        mut ranking: Ranking,
        pass: &Pass,
    ) -> bool {
        let id = request.id;
        let mut rack = request.rack.clone();
        let mut placed = Vec::new();
        for index in waiting {
            let task = id.task(*index);
            let Some(executor) = ranking.pop(self.avoided_executor(&task)) else {
                for (task, previous) in placed {
                    self.revert_placement(&task, run, previous);
                }
                return false;
            };
            let previous = self.latest_run(&task);
            self.open_run(now, &task, run, executor.clone(), request.step);
            placed.push((task, previous));
            let all = Scope::All;
            rack = self.update_ranking(now, request, all, pass, &mut ranking, &executor, rack);
        }
        for (task, _) in &placed {
            self.count_placement(now, task, request.step);
        }
        true
    }

    /// Gives all members of a gang the most advanced checkpoint among them.
    fn share_checkpoint(&mut self, id: StepId) {
        let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        else {
            return;
        };
        let checkpoint =
            step.tasks.changed().map(|(_, task)| task.checkpoint.clone()).max().unwrap_or_default();
        for (_, task) in step.tasks.changed_mut() {
            task.checkpoint.clone_from(&checkpoint);
        }
    }

    /// Reverts a placement of which no record was requested; `previous` is the run before it.
    ///
    /// A task that has only been placed so has not started, which the number of its run tells.
    fn revert_placement(&mut self, task: &TaskId, run: Run, previous: Run) {
        self.placed.retain(|placed| *placed != (*task, run));
        let found = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|entry| entry.step_mut(task.step.occurrence, task.step.step));
        if let Some(step) = found {
            step.waiting.insert(task.index);
            if let Some(found) = step.tasks.get_mut(task.index) {
                found.run = previous.0;
            }
        }
        self.remove_run(task, run);
    }
}
