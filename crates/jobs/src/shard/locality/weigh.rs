//! Inputs of the decision on a wait, and how many tasks of a step it pays for.

use sycamorerill_core::clock::{Span, Time};

use super::super::Shard;
use super::super::rank::Rank;
use super::decision::{WaitChoice, WaitInputs, decide_wait};
use super::forecast::{Need, Places};
use super::{LONG_RUN, MAX_TASKS, Wait};
use crate::id::{Label, ServiceName, StepId};
use crate::spec::Step;

/// Result of a decision with its inputs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighed {
    /// Number of tasks that wait.
    pub(super) tasks: usize,
    /// Longest wait of the last of them.
    pub(super) limit: Span,
    pub(super) inputs: WaitInputs,
    pub(super) ahead: usize,
    pub(super) age: Span,
    pub(super) is_in_service: bool,
}

impl Shard {
    /// Weighs how many of `tasks` tasks of a step wait for a rack.
    #[expect(clippy::too_many_arguments, reason = "the inputs of a decision")]
    pub(super) fn weigh(
        &mut self,
        now: Time,
        id: StepId,
        step: &Step,
        service: &ServiceName,
        rack: &Label,
        tasks: usize,
        allowance: Span,
    ) -> Weighed {
        let tasks = tasks.min(MAX_TASKS);
        let ahead = self.places_ahead(id, step, rack);
        let places = self.places(now, rack, service, step, ahead + tasks);
        let inputs = self.wait_inputs(now, id, step, service, rack, allowance);
        let mut weighed = Weighed {
            tasks: 0,
            limit: Span::ZERO,
            inputs,
            ahead,
            age: places.age,
            is_in_service: places.is_in_service,
        };
        for count in 1..=tasks {
            let inputs = WaitInputs { expected: place(&places, ahead + count), ..inputs };
            let WaitChoice::Wait(limit) = decide_wait(&inputs) else {
                let latest = if count == 1 { inputs } else { weighed.inputs };
                weighed.inputs = latest;
                break;
            };
            weighed = Weighed { tasks: count, limit, inputs, ..weighed };
        }
        let is_group = step.gang || (step.same_rack && step.data_rack.is_none());
        if is_group && weighed.tasks < tasks {
            // With one of them elsewhere the others are slower too.
            weighed.tasks = 0;
        }
        weighed
    }

    fn wait_inputs(
        &self,
        now: Time,
        id: StepId,
        step: &Step,
        service: &ServiceName,
        rack: &Label,
        allowance: Span,
    ) -> WaitInputs {
        let entry = self.jobs.get(&id.job);
        let expected = entry.and_then(|e| self.locality.run_times.expect(&e.queue, step));
        let (run, error) = expected.map_or((Span::ZERO, 0.0), |e| (e.run, e.error));
        let run = if step.long_running { LONG_RUN } else { run };
        let due = entry.and_then(|entry| entry.step(id)?.rank).map(Rank::due_ms);
        let path = entry.map_or(Span::ZERO, |entry| entry.job.critical_path_from(id.step));
        let later = path.saturating_sub(Span::from_ms(step.estimate_ms));
        let left = due.map(|due| Span::from_ms(due.saturating_sub(self.wall_ms)));
        let slack = left.map(|left| left.saturating_sub(later + run));
        let racks = &self.locality.racks;
        WaitInputs {
            run,
            penalty: self.settings.remote_penalty,
            expected: None,
            error,
            success: racks.get(rack).map_or(0.0, |rack| rack.observed.success(now)),
            slack: slack.filter(|_| !step.long_running),
            load: self.locality.load_of(service),
            allowance,
            is_waiting: self.locality.waits.contains_key(&id),
        }
    }

    /// Returns how many places for tasks of a step the waits for the rack take that come before it.
    fn places_ahead(&self, id: StepId, step: &Step, rack: &Label) -> usize {
        let own = self.jobs.get(&id.job).and_then(|entry| entry.step(id)?.rank);
        let need = Need::of(step);
        let places = |wait: &Wait| match need.count_in(&wait.need.resources, usize::MAX) {
            usize::MAX => wait.tasks,
            size => wait.tasks.saturating_mul(size.max(1)),
        };
        let waits = self.locality.waits.iter();
        let ahead = waits.filter(|(other, wait)| {
            wait.tasks > 0 && wait.rack == *rack && (wait.rank, *other) < (own, &id)
        });
        ahead.map(|(_, wait)| places(wait)).sum::<usize>().min(MAX_TASKS)
    }
}

/// Returns when the place with a number from 1 is expected to be free.
fn place(places: &Places, number: usize) -> Option<Span> {
    places.times.get(number.checked_sub(1)?).copied()
}
