//! Placement of waiting tasks on executors.

use std::sync::Arc;

use sycamorerill_core::clock::Time;

use super::Shard;
use super::entry::{OpenRun, Stage, Stop};
use super::executors::Executor;
use super::limit::Limit;
use super::locality::{self, Hold};
use super::message::{Command, Decision, Order};
use super::pass::{Pass, Placed, Scope};
use super::rank::Rank;
use super::ranking::{Candidate, Ranking};
use crate::id::{ExecutorId, Label, Run, ServiceName, StepId, TaskId};
use crate::spec::Step;

/// A step with the inputs of its placement.
#[derive(Clone)]
pub(super) struct Request<'a> {
    pub(super) id: StepId,
    pub(super) step: &'a Step,
    pub(super) service: &'a ServiceName,
    /// Rack on which tasks of the step already run, if the step prefers one rack.
    pub(super) rack: Option<Label>,
    /// Whether a start needs a ticket of the advice service.
    pub(super) needs_ticket: bool,
    /// Column of the step's image in the interference model, for best-effort tasks.
    pub(super) column: Option<usize>,
    /// Whether the tasks to place may crash their executor.
    pub(super) suspects: bool,
}

impl Shard {
    /// Places waiting tasks of a step.
    pub(super) fn place_step(&mut self, now: Time, id: StepId, pass: &mut Pass) -> Placed {
        let Some(entry) = self.jobs.get(&id.job) else {
            return Placed::All;
        };
        let Some(queue) = self.queue_of(entry) else {
            return Placed::Some;
        };
        let service = queue.service.clone();
        let needs_ticket = queue.advice.is_some();
        let job = Arc::clone(&entry.job);
        let (Some(spec), Some(step)) = (job.steps.get(id.step as usize), entry.step(id)) else {
            return Placed::All;
        };
        if spec.best_effort && pass.best_effort_budget == 0 {
            return Placed::Some;
        }
        let blocked = step.blocked;
        if (!blocked || pass.is_full())
            && self.set_aside_unschedulable(now, id, spec, &service, needs_ticket)
        {
            return Placed::Unschedulable;
        }
        let hold = self.hold(now, id, spec, &service, pass);
        let scope = match hold {
            Hold::Idle => return Placed::Some,
            Hold::Near => Scope::Rack,
            Hold::None => pass.scope(blocked && !needs_ticket),
        };
        let Some(step) = self.jobs.get(&id.job).and_then(|entry| entry.step(id)) else {
            return Placed::All;
        };
        if scope == Scope::Released && pass.released.is_empty() {
            return Placed::Some;
        }
        // Others may have been refused an executor that is reserved for this step.
        let is_tried = needs_ticket || self.has_reservation(id);
        let restarts = step.rank.is_some_and(Rank::is_restart);
        if hold == Hold::None && !is_tried && pass.rejections(scope).covers(&service, spec) {
            self.set_blocked(id, true);
            if restarts && scope == Scope::All {
                let request = self.request(now, id, spec, &service);
                self.reserve_executor(now, &request, pass);
            }
            return Placed::Rejected;
        }
        let mut waiting: Vec<u32> = step.waiting.iter().copied().collect();
        if restarts {
            waiting.sort_by_key(|index| self.latest_run(&id.task(*index)).0 == 0);
        }
        let mut request = self.request(now, id, spec, &service);
        if scope != Scope::Released {
            request.rack = self.choose_rack(now, &request, waiting.len());
        }
        let (suspects, others): (Vec<u32>, Vec<u32>) =
            waiting.iter().partition(|index| self.is_suspect(&id.task(**index)));
        let placed = match spec.gang {
            true => self.place_gang(now, &request, &waiting, scope, pass),
            false => self.place_tasks(now, &request, &others, scope, pass),
        };
        let placed_suspects = if spec.gang {
            Placed::All
        } else {
            request.suspects = true;
            self.place_tasks(now, &request, &suspects, scope, pass)
        };
        let result = placed.max(placed_suspects);
        if locality::prefers_rack(spec) {
            self.update_wait(now, id);
        }
        if hold == Hold::Near {
            // The step waits for its rack and not for room.
            return result.min(Placed::Some);
        }
        self.set_blocked(id, result == Placed::Blocked);
        if result == Placed::Blocked && needs_ticket {
            self.request_advice(now, &request);
        }
        if placed == Placed::Blocked && restarts && scope == Scope::All && !needs_ticket {
            self.reserve_executor(now, &request, pass);
        }
        // Suspects are placed on fewer executors than other tasks.
        if placed == Placed::Blocked && !needs_ticket && !spec.gang {
            pass.rejections(scope).record(&service, spec);
        }
        result
    }

    fn set_blocked(&mut self, id: StepId, blocked: bool) {
        if let Some(step) =
            self.jobs.get_mut(&id.job).and_then(|e| e.step_mut(id.occurrence, id.step))
        {
            step.blocked = blocked;
        }
    }

    /// Places the waiting tasks of a step one by one.
    fn place_tasks(
        &mut self,
        now: Time,
        request: &Request<'_>,
        waiting: &[u32],
        scope: Scope,
        pass: &mut Pass,
    ) -> Placed {
        if waiting.is_empty() {
            return Placed::All;
        }
        let mut ranking = self.ranking(now, request, scope, pass);
        let mut rack = request.rack.clone();
        let mut left = waiting.len();
        let mut held = None;
        for (position, index) in waiting.iter().enumerate() {
            if pass.budget == 0 || (request.step.best_effort && pass.best_effort_budget == 0) {
                return Placed::Some;
            }
            let task = request.id.task(*index);
            if self.not_before(&task) > now {
                continue;
            }
            let Some(executor) = ranking.pop(self.avoided_executor(&task)) else {
                return Placed::Blocked;
            };
            if self.is_far(request, rack.as_ref(), &executor) {
                let rest = waiting.len() - position;
                let held = *held
                    .get_or_insert_with(|| self.tasks_to_hold(now, request, rack.as_ref(), rest));
                if rest <= held {
                    return Placed::Some;
                }
            }
            let run = self.next_run(&task);
            self.open_run(now, &task, run, executor.clone(), request.step);
            self.count_placement(now, &task, request.step);
            pass.take(1, request.step.best_effort);
            left -= 1;
            rack = self.update_ranking(now, request, scope, pass, &mut ranking, &executor, rack);
        }
        if left == 0 { Placed::All } else { Placed::Some }
    }

    pub(super) fn not_before(&self, task: &TaskId) -> Time {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        found.map_or(Time::ZERO, |task| task.not_before)
    }

    pub(super) fn latest_run(&self, task: &TaskId) -> Run {
        let found = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task));
        Run(found.map_or(0, |task| task.run))
    }

    pub(super) fn next_run(&self, task: &TaskId) -> Run {
        Run(self.latest_run(task).0.saturating_add(1))
    }

    /// Returns the inputs of the placement of a step.
    pub(super) fn request<'a>(
        &mut self,
        now: Time,
        id: StepId,
        step: &'a Step,
        service: &'a ServiceName,
    ) -> Request<'a> {
        if step.best_effort {
            self.refresh_forecasts(now);
        }
        let column = self.estimator.model.column(&super::throttle::image(step));
        let entry = self.jobs.get(&id.job);
        let queue = entry.and_then(|entry| self.queue_of(entry));
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        Request {
            id,
            step,
            service,
            rack: self.rack_of(id, step),
            needs_ticket,
            column,
            suspects: false,
        }
    }

    /// Returns the rack on which tasks of the step run, if the step prefers one rack.
    fn rack_of(&self, id: StepId, spec: &Step) -> Option<Label> {
        if !spec.same_rack {
            return None;
        }
        let step = self.jobs.get(&id.job)?.step(id)?;
        let open = step.tasks.changed().flat_map(|(_, task)| &task.open_runs).next()?;
        self.executors.get(&open.executor)?.registration.rack().cloned()
    }

    /// Returns the executors in `scope` that may run a task of the step.
    pub(super) fn ranking(
        &self,
        now: Time,
        request: &Request<'_>,
        scope: Scope,
        pass: &Pass,
    ) -> Ranking {
        let candidate = |(id, executor): (&ExecutorId, &Executor)| {
            let score = self.score(now, request, executor)?;
            Some(Candidate { score, executor: id.clone() })
        };
        let candidates = match scope {
            Scope::All => self.executors.iter().filter_map(candidate).collect(),
            Scope::Released => pass
                .released
                .iter()
                .filter_map(|id| self.executors.get_key_value(id))
                .filter_map(candidate)
                .collect(),
            Scope::Rack => self
                .rack_members(request.wanted_rack())
                .iter()
                .filter_map(|id| self.executors.get_key_value(id))
                .filter_map(candidate)
                .collect(),
        };
        Ranking::new(candidates)
    }

    /// Updates a ranking after a task was placed on `executor`.
    ///
    /// `rack` is the rack for which the executors were scored. Returns the rack for which they
    /// are scored now: the first task of a step that prefers one rack decides on it.
    #[expect(clippy::too_many_arguments, reason = "the inputs of a placement")]
    pub(super) fn update_ranking(
        &mut self,
        now: Time,
        request: &Request<'_>,
        scope: Scope,
        pass: &Pass,
        ranking: &mut Ranking,
        executor: &ExecutorId,
        rack: Option<Label>,
    ) -> Option<Label> {
        let current = self.rack_of(request.id, request.step);
        let request = Request { rack: current.clone(), ..request.clone() };
        if request.step.best_effort {
            self.refresh_forecast(now, executor);
        }
        if current != rack {
            *ranking = self.ranking(now, &request, scope, pass);
        } else if let Some(found) = self.executors.get(executor)
            && let Some(score) = self.score(now, &request, found)
        {
            ranking.push(Candidate { score, executor: executor.clone() });
        }
        current
    }

    pub(super) fn avoided_executor(&self, task: &TaskId) -> Option<&ExecutorId> {
        self.jobs.get(&task.step.job)?.task(task)?.avoided_executor.as_ref()
    }

    /// Opens a run on an executor; it is started once it is recorded.
    pub(super) fn open_run(
        &mut self,
        now: Time,
        task: &TaskId,
        run: Run,
        id: ExecutorId,
        spec: &Step,
    ) {
        let Some(executor) = self.executors.get_mut(&id) else {
            return;
        };
        let Some(step) = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|entry| entry.step_mut(task.step.occurrence, task.step.step))
        else {
            return;
        };
        let Some(found) = step.tasks.get_mut(task.index) else {
            return;
        };
        executor.reserve(*task, spec);
        if self.reservations.get(&task.step) == Some(&id) {
            executor.reservation = None;
            self.reservations.remove(&task.step);
        }
        executor.last_placed = now;
        if found.is_suspect() {
            executor.trial_until = now + super::crash::TRIAL;
        }
        step.waiting.remove(&task.index);
        let incarnation = executor.registration.incarnation;
        let waited_ms = now.since(step.ready_since).as_ms();
        found.run = run.0;
        found.open_runs.push(OpenRun {
            run,
            executor: id.clone(),
            incarnation,
            address: Some(executor.registration.address),
            stage: Stage::Recording,
            stop: Stop::NotRequested,
            limit: Limit::none(),
            throttled_since: None,
            first_sent: now,
            last_sent: now,
            started_at: None,
            progress: (0, now),
        });
        self.placed.push((*task, run));
        self.count_open(task, spec);
        self.mark_changed(task);
        let order = Order { executor: id, task: *task, run };
        self.out.push(Command::Log(Decision::Placed { order, incarnation, waited_ms }));
    }
}
