//! Waits for a place near the data or the group of a task.
//!
//! Load pattern: steps that name a rack, or whose tasks belong on one rack, while that rack is full
//! and others have room. A task at a far place takes longer by a factor, and waiting for a near
//! place takes time as well. [`decide_wait`] weighs the two by learned run times, the expected ends
//! of runs on the rack, and the time that the job has left.
//!
//! Second load pattern: hundreds of jobs that want one rack. The places that become free there
//! soon go to the steps that wait already, in the order of their ranks; a step waits only for the
//! places behind those, so that as many tasks wait as it pays for. A step that waits is tried
//! only on its rack, when room was released there and once in [`REVIEW_INTERVAL`], so that it
//! costs about as much as a step without an executor.
//!
//! A wait is not a lack of room: it does not count as blocked, and steps behind it are placed
//! meanwhile. Each step waits at most once, and not after a takeover, so that waits do not add up.

mod decision;
mod estimate;
mod forecast;
mod group;
mod learn;
mod weigh;

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;

use self::forecast::Rack;
use self::weigh::Weighed;
use super::Shard;
use super::message::{Command, Decision};
use super::pass::Pass;
use super::place::Request;
use super::rank::Rank;
use crate::id::{ExecutorId, Label, ServiceName, StepId};
use crate::spec::Step;

pub use self::decision::{WaitChoice, WaitInputs, decide_wait};
pub(super) use self::forecast::Need;
use self::forecast::is_away;

/// Time between two decisions on a wait that has begun.
const REVIEW_INTERVAL: Span = Span::from_ms(100);
/// Maximum number of steps that wait at the same time.
const MAX_WAITS: usize = 256;
/// Maximum number of tasks of a step that wait. A rack has tens of places.
const MAX_TASKS: usize = 256;
/// Run time that is weighed for a long-running task. It is not known, and far longer than any wait.
const LONG_RUN: Span = Span::from_secs(10);

data! {
    /// Begin or end of a wait for a near place, with its inputs.
    pub struct LocalityWait {
        /// Step of which tasks wait or waited.
        pub step: StepId,
        /// Rack on which the tasks are to run.
        pub rack: Label,
        /// Whether the wait begins, or how it ended.
        pub state: WaitState,
        /// Number of tasks that wait; at the end, number of those without a near place.
        pub tasks: usize,
        /// Time for which they have waited.
        pub waited: Span,
        /// Inputs of the latest decision, for the last of these tasks.
        pub inputs: WaitInputs,
        /// Tasks of other steps that wait for the rack and are placed before.
        pub ahead: usize,
        /// Time since the least recent answer of an executor of the rack.
        pub age: Span,
    }
}

/// State of a wait for a near place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitState {
    /// The wait begins.
    Begun,
    /// All tasks have a near place.
    Near,
    /// No place became free in time.
    GaveUp,
    /// Waiting for longer does not pay, as after a change of the load.
    DoesNotPay,
    /// No executor of the rack takes work any more.
    RackLost,
}

impl WaitState {
    /// Returns the name of the state in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Near => "near",
            Self::GaveUp => "gave_up",
            Self::DoesNotPay => "does_not_pay",
            Self::RackLost => "rack_lost",
        }
    }
}

/// Wait of a step for a rack.
#[derive(Debug)]
struct Wait {
    rack: Label,
    since: Time,
    /// When a far place is taken, by the latest decision.
    until: Time,
    /// Latest time at which a far place is taken, whatever is decided.
    deadline: Time,
    review_at: Time,
    /// Number of tasks that wait; 0 once the wait has ended.
    tasks: usize,
    need: Need,
    rank: Option<Rank>,
    latest: Weighed,
}

/// What a step with a wait is tried on in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hold {
    /// The step does not wait for a rack.
    None,
    /// Nothing has changed on the rack.
    Idle,
    /// The executors of the rack are tried.
    Near,
}

/// What was learned of racks and run times, and the waits for racks.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Whether a step with a preferred rack was seen; nothing is learned before.
    in_use: bool,
    waits: BTreeMap<StepId, Wait>,
    racks: BTreeMap<Label, Rack>,
    run_times: estimate::RunTimes,
    /// Resources in use and in total, by service, in thousandths of a core.
    loads: BTreeMap<ServiceName, (u64, u64)>,
    /// Earliest time at which the executors of racks are read again.
    racks_after: Time,
}

impl Request<'_> {
    /// Returns the rack on which tasks of the step are to run, if there is one.
    pub(super) fn wanted_rack(&self) -> Option<&Label> {
        self.step.data_rack.as_ref().or(self.rack.as_ref())
    }
}

/// Returns whether tasks of a step run faster on one rack.
pub(super) const fn prefers_rack(step: &Step) -> bool {
    step.data_rack.is_some() || step.same_rack
}

impl Shard {
    /// Returns whether waits are decided for a step. Steps of queues with a policy do not wait:
    /// their tickets are valid for a short time.
    pub(super) const fn decides_locality(&self, request: &Request<'_>) -> bool {
        self.settings.decides_locality && prefers_rack(request.step) && !request.needs_ticket
    }

    /// Returns whether a step waits for a rack, and whether it is to be tried there.
    pub(super) fn hold(
        &mut self,
        now: Time,
        id: StepId,
        step: &Step,
        service: &ServiceName,
        pass: &Pass,
    ) -> Hold {
        if !prefers_rack(step) {
            return Hold::None;
        }
        let Some(wait) = self.locality.waits.get(&id).filter(|wait| wait.tasks > 0) else {
            return Hold::None;
        };
        if now >= wait.deadline {
            self.end_wait(now, id, WaitState::GaveUp);
            return Hold::None;
        }
        // Before a review, for which executors with room are those that refuse the step.
        let members = self.rack_members(Some(&wait.rack));
        if members.iter().any(|id| pass.released.contains(id)) {
            return Hold::Near;
        }
        if now >= wait.review_at.min(wait.until) {
            return self.review(now, id, step, service);
        }
        Hold::Idle
    }

    /// Decides again on a wait that has begun.
    fn review(&mut self, now: Time, id: StepId, step: &Step, service: &ServiceName) -> Hold {
        let Some(wait) = self.locality.waits.get(&id) else {
            return Hold::None;
        };
        let (rack, tasks, left) = (wait.rack.clone(), wait.tasks, wait.deadline.since(now));
        let weighed = self.weigh(now, id, step, service, &rack, tasks, left);
        let Some(wait) = self.locality.waits.get_mut(&id) else {
            return Hold::None;
        };
        wait.review_at = now + REVIEW_INTERVAL;
        wait.latest = weighed;
        if weighed.tasks == 0 {
            let lost =
                if weighed.is_in_service { WaitState::DoesNotPay } else { WaitState::RackLost };
            self.end_wait(now, id, lost);
            return Hold::None;
        }
        wait.until = wait.deadline.min(now + weighed.limit);
        if weighed.tasks < tasks {
            // The others are placed elsewhere in this pass.
            wait.tasks = weighed.tasks;
            return Hold::None;
        }
        Hold::Near
    }

    /// Returns how many of the last `left` tasks of a step wait for the rack rather than run
    /// elsewhere now.
    pub(super) fn tasks_to_hold(
        &mut self,
        now: Time,
        request: &Request<'_>,
        rack: Option<&Label>,
        left: usize,
    ) -> usize {
        let wanted = request.step.data_rack.as_ref().or(rack);
        let Some(rack) = wanted.filter(|_| self.decides_locality(request)).cloned() else {
            return 0;
        };
        if let Some(wait) = self.locality.waits.get(&request.id) {
            return wait.tasks;
        }
        let Some(allowance) = self.allowance(now, request) else {
            return 0;
        };
        self.locality.in_use = true;
        let (id, step) = (request.id, request.step);
        let weighed = self.weigh(now, id, step, request.service, &rack, left, allowance);
        if weighed.tasks == 0 {
            return 0;
        }
        self.begin_wait(now, request, rack, weighed);
        weighed.tasks
    }

    /// Returns the longest time for which a step may wait from now on; `None` if it may not wait.
    fn allowance(&self, now: Time, request: &Request<'_>) -> Option<Span> {
        let waiting = self.locality.waits.values().filter(|wait| wait.tasks > 0).count();
        let step = self.jobs.get(&request.id.job)?.step(request.id)?;
        let longest = match request.step.long_running {
            true => self.settings.max_locality_wait_long_running,
            false => self.settings.max_locality_wait,
        };
        // A step that was blocked had no room elsewhere either until now. For a long-running one that
        // time counts all the same.
        let had_no_room = step.blocked && !request.step.long_running;
        let is_fresh = had_no_room || now.since(step.ready_since) < longest;
        let is_restored = self.restored_at > Time::ZERO && step.ready_since <= self.restored_at;
        (is_fresh && !is_restored && waiting < MAX_WAITS).then_some(longest)
    }

    fn begin_wait(&mut self, now: Time, request: &Request<'_>, rack: Label, weighed: Weighed) {
        let id = request.id;
        let wait = Wait {
            rack,
            since: now,
            until: now + weighed.limit,
            deadline: now + decision::longest_wait(&weighed.inputs),
            review_at: now + REVIEW_INTERVAL,
            tasks: weighed.tasks,
            need: Need::of(request.step),
            rank: self.jobs.get(&id.job).and_then(|entry| entry.step(id)?.rank),
            latest: weighed,
        };
        self.log_wait(now, id, &wait, WaitState::Begun);
        self.locality.waits.insert(id, wait);
    }

    /// Ends the wait of a step that has no waiting tasks left, and updates the number of tasks that
    /// wait otherwise.
    pub(super) fn update_wait(&mut self, now: Time, id: StepId) {
        let Some(wait) = self.locality.waits.get_mut(&id).filter(|wait| wait.tasks > 0) else {
            return;
        };
        let waiting =
            self.jobs.get(&id.job).and_then(|entry| entry.step(id)).map_or(0, |s| s.waiting.len());
        if waiting > 0 {
            wait.tasks = wait.tasks.min(waiting);
        } else {
            wait.tasks = 0;
            self.note_end(now, id, WaitState::Near);
        }
    }

    /// Ends the wait of a step that no executor can run any more, if it waits.
    pub(super) fn abandon_wait(&mut self, now: Time, id: StepId) {
        if self.locality.waits.get(&id).is_some_and(|wait| wait.tasks > 0) {
            self.end_wait(now, id, WaitState::RackLost);
        }
    }

    fn end_wait(&mut self, now: Time, id: StepId, state: WaitState) {
        self.note_end(now, id, state);
        if let Some(wait) = self.locality.waits.get_mut(&id) {
            wait.tasks = 0;
        }
    }

    fn note_end(&mut self, now: Time, id: StepId, state: WaitState) {
        let Some(wait) = self.locality.waits.get(&id) else {
            return;
        };
        let rack = wait.rack.clone();
        if let Some(rack) = self.locality.racks.get_mut(&rack) {
            rack.observed.note_outcome(now, state == WaitState::Near);
        }
        if let Some(wait) = self.locality.waits.remove(&id) {
            self.log_wait(now, id, &wait, state);
            self.locality.waits.insert(id, wait);
        }
    }

    fn log_wait(&mut self, now: Time, step: StepId, wait: &Wait, state: WaitState) {
        let decision = LocalityWait {
            step,
            rack: wait.rack.clone(),
            state,
            tasks: wait.tasks,
            waited: now.since(wait.since),
            inputs: wait.latest.inputs,
            ahead: wait.latest.ahead,
            age: wait.latest.age,
        };
        self.out.push(Command::Log(Decision::Locality(Box::new(decision))));
    }

    /// Removes the waits of steps that have no tasks left to place.
    pub(super) fn remove_finished_waits(&mut self) {
        if self.locality.waits.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        let is_left = |id: &StepId| {
            let entry = jobs.get(&id.job).filter(|entry| entry.is_active());
            entry.and_then(|entry| entry.step(*id)).is_some_and(|step| step.left > 0)
        };
        self.locality.waits.retain(|id, _| is_left(id));
    }

    /// Returns the executors of a rack.
    pub(super) fn rack_members(&self, rack: Option<&Label>) -> &[ExecutorId] {
        let found = rack.and_then(|rack| self.locality.racks.get(rack));
        found.map_or(&[], |found| &found.members)
    }

    /// Returns whether an executor is on another rack than the one on which the tasks wait to run.
    pub(super) fn is_far(
        &self,
        request: &Request<'_>,
        rack: Option<&Label>,
        id: &ExecutorId,
    ) -> bool {
        let wanted = request.step.data_rack.as_ref().or(rack);
        wanted.is_some() && self.executors.get(id).is_some_and(|found| is_away(wanted, found))
    }
}
