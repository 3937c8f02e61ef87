//! Racks for steps whose tasks run on one rack, and for gangs.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::super::Shard;
use super::super::executors::Executor;
use super::super::pass::{Pass, Placed, Scope};
use super::super::place::Request;
use super::super::ranking::Ranking;
use super::forecast::Need;
use crate::id::{ExecutorId, Label, Run, StepId};

/// Number of racks whose expected places are compared, those with the most places now.
const MAX_COMPARED_RACKS: usize = 4;

impl Shard {
    /// Returns the rack for a step whose tasks are to run on one rack, before any of them runs: the
    /// rack that can take most of them now or within the time that they would lose elsewhere.
    pub(in super::super) fn choose_rack(
        &mut self,
        now: Time,
        request: &Request<'_>,
        tasks: usize,
    ) -> Option<Label> {
        if !self.decides_locality(request) || request.wanted_rack().is_some() {
            return request.rack.clone();
        }
        if let Some(wait) = self.locality.waits.get(&request.id).filter(|wait| wait.tasks > 0) {
            return Some(wait.rack.clone());
        }
        let mut racks: Vec<(usize, f64, Label)> = self.free_racks(now, request, tasks);
        racks.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        if racks.first().is_none_or(|(places, ..)| *places >= tasks) {
            return racks.into_iter().next().map(|(_, _, rack)| rack);
        }
        let horizon = self.remote_loss(request.id, request);
        let mut best: Option<(usize, Label)> = None;
        for (free, _, rack) in racks.into_iter().take(MAX_COMPARED_RACKS) {
            let missing = tasks.saturating_sub(free);
            let places = self.places(now, &rack, request.service, request.step, missing);
            let soon = places.times.iter().filter(|time| **time <= horizon).count();
            if best.as_ref().is_none_or(|(most, _)| free + soon > *most) {
                best = Some((free + soon, rack));
            }
        }
        best.map(|(_, rack)| rack)
    }

    /// Returns the racks that have room for tasks of the step, with the number of places, up to
    /// `most`, and the best score of their executors.
    fn free_racks(
        &self,
        now: Time,
        request: &Request<'_>,
        most: usize,
    ) -> Vec<(usize, f64, Label)> {
        let mut racks: BTreeMap<&Label, (usize, f64)> = BTreeMap::new();
        for executor in self.executors.values() {
            let Some(rack) = executor.registration.rack() else {
                continue;
            };
            let Some(score) = self.score(now, request, executor) else {
                continue;
            };
            let count = self.places_now(request, executor, most);
            let found = racks.entry(rack).or_insert((0, f64::NEG_INFINITY));
            *found = ((found.0 + count).min(most), found.1.max(score));
        }
        racks.into_iter().map(|(rack, (count, score))| (count, score, rack.clone())).collect()
    }

    /// Returns how many tasks of the step an executor has room for, up to `most`.
    fn places_now(&self, request: &Request<'_>, executor: &Executor, most: usize) -> usize {
        let need = Need::of(request.step);
        let free = need.free(executor, self.settings.latency_critical_use);
        let limit = request.step.max_per_executor.map_or(most, |limit| limit as usize);
        need.count_in(&free, most.min(limit))
    }

    /// Returns the time that a task of the step loses at a far place.
    fn remote_loss(&self, id: StepId, request: &Request<'_>) -> Span {
        let entry = self.jobs.get(&id.job);
        let run = entry.and_then(|e| self.locality.run_times.expect(&e.queue, request.step));
        let run = run.map_or(Span::ZERO, |expected| expected.run);
        let run = if request.step.long_running { super::LONG_RUN } else { run };
        let loss = run.scale(self.settings.remote_penalty - 1.0);
        loss.min(self.settings.max_locality_wait)
    }

    /// Places all members of a gang or none: on the rack that is wanted, if it has room for all of
    /// them, else wherever there is room, unless the gang waits for the rack.
    pub(in super::super) fn place_whole(
        &mut self,
        now: Time,
        request: &Request<'_>,
        waiting: &[u32],
        run: Run,
        scope: Scope,
        pass: &Pass,
    ) -> Placed {
        let mut ranking = self.ranking(now, request, scope, pass);
        if self.places_on(request, ranking.executors(), waiting.len()) < waiting.len() {
            return Placed::Blocked;
        }
        if let Some(rack) = request.wanted_rack().filter(|_| self.decides_locality(request)) {
            let rack = rack.clone();
            if self.near_places(request, &rack, &ranking, waiting.len()) >= waiting.len() {
                ranking.retain(|id| !self.is_far(request, Some(&rack), id));
                if self.place_members(now, request, waiting, run, ranking, pass) {
                    return Placed::All;
                }
                ranking = self.ranking(now, request, scope, pass);
            }
            if self.tasks_to_hold(now, request, Some(&rack), waiting.len()) > 0 {
                return Placed::Some;
            }
        }
        match self.place_members(now, request, waiting, run, ranking, pass) {
            true => Placed::All,
            false => Placed::Blocked,
        }
    }

    /// Returns how many tasks of the step the executors of a rack that may run them have room for.
    fn near_places(
        &self,
        request: &Request<'_>,
        rack: &Label,
        ranking: &Ranking,
        most: usize,
    ) -> usize {
        let is_near = |id: &&ExecutorId| {
            self.executors.get(*id).is_some_and(|found| found.registration.rack() == Some(rack))
        };
        self.places_on(request, ranking.executors().filter(is_near), most)
    }

    /// Returns how many tasks of the step some executors have room for; not exact beyond `most`.
    fn places_on<'a>(
        &self,
        request: &Request<'_>,
        executors: impl Iterator<Item = &'a ExecutorId>,
        most: usize,
    ) -> usize {
        let found = executors.filter_map(|id| self.executors.get(id));
        found.map(|executor| self.places_now(request, executor, most)).sum()
    }
}
