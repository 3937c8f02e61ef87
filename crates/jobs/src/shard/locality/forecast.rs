//! Expected times at which executors of a rack have room for a task.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::super::executors::Executor;
use super::super::score::MIN_CPU_SHARE;
use super::super::{Shard, entry};
use super::{State, estimate};
use crate::id::{ExecutorId, Label, ServiceName};
use crate::spec::{Resources, Step};

/// Time for which the expected ends of the runs on a rack are kept. Room that is in use is read
/// each time.
const MAX_AGE: Span = Span::from_ms(100);
/// Time between two readings of which executors belong to which rack, and of the load.
const MEMBERS_INTERVAL: Span = Span::from_ms(250);

/// Expected end of a run.
#[derive(Clone, Copy, Debug)]
struct Release {
    at: Time,
    /// Resources that become free for tasks that reserve theirs.
    reserved: Resources,
    /// Processor time that becomes free for best-effort tasks, in thousandths of a core.
    best_effort_cpu: u64,
}

/// Expected ends of the runs on a rack, by executor.
#[derive(Debug, Default)]
struct Forecast {
    at: Time,
    releases: BTreeMap<ExecutorId, Vec<Release>>,
    /// Whether there are runs that end at a time that cannot be estimated.
    has_unknown: bool,
}

/// A rack with its executors.
#[derive(Debug, Default)]
pub(super) struct Rack {
    pub(super) members: Vec<ExecutorId>,
    pub(super) observed: estimate::Observed,
    forecast: Option<Forecast>,
}

/// Places that become free on a rack.
#[derive(Debug, Default)]
pub(super) struct Places {
    /// Expected times until they are free, in ascending order.
    pub(super) times: Vec<Span>,
    /// Whether an executor of the rack takes work.
    pub(super) is_in_service: bool,
    /// Time since the least recent answer of an executor of the rack.
    pub(super) age: Span,
}

/// Resources that a task needs, and those that an executor has free for it.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Need {
    pub(in super::super) resources: Resources,
    best_effort: bool,
}

impl Need {
    /// Returns what a task of a step needs. A best-effort task needs a share of the processor time
    /// that it requests.
    pub(in super::super) fn of(step: &Step) -> Self {
        let cpu = match step.best_effort {
            true => share(step.resources.cpu),
            false => step.resources.cpu,
        };
        let resources = Resources { cpu, ..step.resources };
        Self { resources, best_effort: step.best_effort }
    }

    /// Returns what an executor has free.
    pub(super) fn free(&self, executor: &Executor, latency_critical_use: f64) -> Resources {
        let capacity = executor.registration.capacity;
        let free = capacity.saturating_sub(&executor.used);
        if !self.best_effort {
            return free;
        }
        let critical = executor.latency_critical_total;
        let others = executor.used.cpu.saturating_sub(critical);
        let used = others + (critical as f64 * latency_critical_use) as u64;
        let cpu = capacity.cpu.saturating_sub(used + share(executor.best_effort_total));
        Resources { cpu, ..free }
    }

    /// Returns how many tasks fit into `free`, up to `most`.
    pub(in super::super) fn count_in(&self, free: &Resources, most: usize) -> usize {
        let need = self.resources;
        let fits = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let count = fits(free.cpu, need.cpu)
            .min(fits(free.memory, need.memory))
            .min(fits(free.accelerators, need.accelerators));
        usize::try_from(count).unwrap_or(most).min(most)
    }

    fn released(&self, release: &Release) -> Resources {
        let cpu = if self.best_effort { release.best_effort_cpu } else { release.reserved.cpu };
        Resources { cpu, ..release.reserved }
    }
}

/// Returns the processor time that a best-effort task must be able to get.
fn share(cpu: u64) -> u64 {
    (cpu as f64 * MIN_CPU_SHARE) as u64
}

impl State {
    fn count_load(&mut self, executor: &Executor) {
        let service = executor.registration.service.clone();
        let load = self.loads.entry(service).or_default();
        load.0 += executor.used.cpu + executor.best_effort_total;
        load.1 += executor.registration.capacity.cpu;
    }

    /// Returns the part of the processor time of a service that is in use.
    pub(super) fn load_of(&self, service: &ServiceName) -> f64 {
        let found = self.loads.get(service);
        found.map_or(0.0, |(used, total)| *used as f64 / (*total).max(1) as f64)
    }
}

impl Shard {
    /// Reads again which executors belong to which rack, if that is due.
    pub(super) fn refresh_racks(&mut self, now: Time) {
        if now < self.locality.racks_after {
            return;
        }
        self.locality.racks_after = now + MEMBERS_INTERVAL;
        self.locality.racks.values_mut().for_each(|rack| rack.members.clear());
        self.locality.loads.clear();
        for (id, executor) in &self.executors {
            if executor.takes_work() {
                self.locality.count_load(executor);
            }
            if let Some(rack) = executor.registration.rack() {
                let rack = self.locality.racks.entry(rack.clone()).or_default();
                rack.members.push(id.clone());
            }
        }
    }

    /// Returns the next places for tasks of a step on a rack, at most `most`.
    ///
    /// Executors that have room now are left out: the step was not allowed there for other reasons,
    /// which may last.
    pub(super) fn places(
        &mut self,
        now: Time,
        rack: &Label,
        service: &ServiceName,
        step: &Step,
        most: usize,
    ) -> Places {
        self.refresh_racks(now);
        self.refresh_forecast_of(now, rack);
        let mut places = Places::default();
        let Some(found) = self.locality.racks.get(rack) else {
            return places;
        };
        let Some(forecast) = &found.forecast else {
            return places;
        };
        let need = Need::of(step);
        for (id, releases) in &forecast.releases {
            let Some(executor) = self.executors.get(id) else {
                continue;
            };
            if !is_candidate(executor, service, step, rack) {
                continue;
            }
            places.is_in_service = true;
            places.age = places.age.max(now.since(executor.last_answer));
            let mut free = need.free(executor, self.settings.latency_critical_use);
            if need.count_in(&free, 1) > 0 {
                continue;
            }
            for release in releases {
                free = free.plus(&need.released(release));
                let count = need.count_in(&free, most);
                places.times.extend(std::iter::repeat_n(release.at.since(now), count));
                for _ in 0..count {
                    free = free.saturating_sub(&need.resources);
                }
            }
        }
        places.times.sort_unstable();
        if let Some(interval) = found.observed.interval().filter(|_| forecast.has_unknown) {
            let next = (1..).map(|count| interval.saturating_mul(count));
            let missing = most.saturating_sub(places.times.len());
            places.times.extend(next.take(missing));
            places.times.sort_unstable();
        }
        places.times.truncate(most);
        places
    }

    fn refresh_forecast_of(&mut self, now: Time, rack: &Label) {
        let Some(found) = self.locality.racks.get(rack) else {
            return;
        };
        let is_recent =
            |forecast: &Forecast| forecast.at <= now && now.since(forecast.at) < MAX_AGE;
        if found.forecast.as_ref().is_some_and(is_recent) {
            return;
        }
        let mut forecast = Forecast { at: now, ..Forecast::default() };
        for id in &found.members {
            if let Some(executor) = self.executors.get(id) {
                let releases = self.releases(now, executor, &mut forecast.has_unknown);
                forecast.releases.insert(id.clone(), releases);
            }
        }
        if let Some(found) = self.locality.racks.get_mut(rack) {
            found.forecast = Some(forecast);
        }
    }

    /// Returns the expected ends of the runs on an executor, the soonest first.
    fn releases(&self, now: Time, executor: &Executor, has_unknown: &mut bool) -> Vec<Release> {
        let mut releases = Vec::new();
        for placed in self.runs_on(executor).filter(|placed| !placed.step.long_running) {
            let step = placed.step;
            let Some(expected) = self.locality.run_times.expect(&placed.entry.queue, step) else {
                *has_unknown = true;
                continue;
            };
            let is_remote = is_away(step.data_rack.as_ref(), executor);
            let factor = if is_remote { self.settings.remote_penalty } else { 1.0 };
            let remaining = remaining(now, expected.run.scale(factor), placed.open, step.gang);
            let cpu = step.resources.cpu;
            let best_effort_cpu = match (step.best_effort, step.objective_ms.is_some()) {
                (true, _) => share(cpu),
                (_, true) => (cpu as f64 * self.settings.latency_critical_use) as u64,
                _ => cpu,
            };
            releases.push(Release {
                at: now + remaining,
                reserved: step.reserved(),
                best_effort_cpu,
            });
        }
        releases.sort_unstable_by_key(|release| release.at);
        releases
    }
}

/// Returns how long a run is expected to go on. Members of gangs report no progress.
fn remaining(now: Time, expected: Span, open: &entry::OpenRun, gang: bool) -> Span {
    let began = open.started_at.unwrap_or(open.first_sent);
    let (percent, at) = open.progress;
    let reported = if gang { (0, Span::ZERO) } else { (percent, at.since(began)) };
    estimate::remaining(expected, now.since(began), reported)
}

/// Returns whether an executor takes tasks of a step on a rack once it has room.
pub(super) fn is_candidate(
    executor: &Executor,
    service: &ServiceName,
    step: &Step,
    rack: &Label,
) -> bool {
    let registration = &executor.registration;
    executor.takes_work()
        && registration.service == *service
        && registration.rack() == Some(rack)
        && step.label.as_ref().is_none_or(|label| registration.labels.contains(label))
}

/// Returns whether an executor is on another rack than the one that is wanted, if any is.
pub(super) fn is_away(wanted: Option<&Label>, executor: &Executor) -> bool {
    wanted.is_some() && wanted != executor.registration.rack()
}
