//! Table of all executors, with an order of choice for each service.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, ExecutorName, ServiceName};

use super::Settings;
use super::executor::{Counts, Executor, Index, Listing, Ownership, Rank};
use super::health::{Action, Check, Health, Observation};
use crate::router;

/// Ratio of the latencies of two adjacent steps of [`Rank::cost`].
const COST_RATIO: f64 = 1.25;
/// Value of [`Rank::load`] when every slot is occupied.
const FULL_LOAD: u32 = 1_000;
/// Largest share of the known executors that a plausible list may omit.
///
/// If a list omits more, the omitted executors are not marked as leaving.
const MAX_MISSING_SHARE: f64 = 0.5;

#[derive(Debug, Default)]
struct Service {
    /// Executors with a free slot, in order of choice.
    ready: BTreeSet<Rank>,
    total: Counts,
}

#[derive(Debug)]
pub(crate) struct Table {
    settings: Settings,
    domain: Option<DomainName>,
    cross_domain_ms: f64,
    indices: BTreeMap<ExecutorName, Index>,
    executors: Vec<Option<Executor>>,
    free_indices: Vec<Index>,
    services: BTreeMap<ServiceName, Service>,
    tie_breaker: u32,
}

impl Table {
    /// Returns an empty table; `cross_domain_ms` is the one-way delay to another failure domain
    /// in milliseconds.
    pub(crate) fn new(
        settings: Settings,
        domain: Option<DomainName>,
        cross_domain_ms: f64,
    ) -> Self {
        Self {
            settings,
            domain,
            cross_domain_ms,
            indices: BTreeMap::new(),
            executors: Vec::new(),
            free_indices: Vec::new(),
            services: BTreeMap::new(),
            tie_breaker: 0,
        }
    }

    pub(crate) fn index(&self, name: &ExecutorName) -> Option<Index> {
        self.indices.get(name).copied()
    }

    pub(crate) fn executor(&self, index: Index) -> Option<&Executor> {
        self.executors.get(index.0 as usize)?.as_ref()
    }

    fn executor_mut(&mut self, index: Index) -> Option<&mut Executor> {
        self.executors.get_mut(index.0 as usize)?.as_mut()
    }

    /// Returns the counts of a service, summed over its owned executors.
    pub(crate) fn total(&self, service: &ServiceName) -> Counts {
        self.services.get(service).map(|service| service.total).unwrap_or_default()
    }

    /// Returns the services that have or had an executor in the table.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the executors whose slots are owned or being handed over.
    pub(crate) fn owned_or_releasing(&self) -> impl Iterator<Item = &Executor> {
        self.executors.iter().flatten().filter(|executor| executor.ownership != Ownership::None)
    }

    /// Returns the executor to which the next call of the service should be sent.
    pub(crate) fn choose(&self, service: &ServiceName) -> Option<Index> {
        self.services.get(service)?.ready.first().map(|rank| rank.index)
    }

    /// Returns the first choice among the executors other than `index`.
    pub(crate) fn choose_other(&self, service: &ServiceName, index: Index) -> Option<Index> {
        let ready = self.services.get(service)?.ready.iter();
        ready.map(|rank| rank.index).find(|found| *found != index)
    }

    /// Changes one executor and updates the order of choice and the totals.
    pub(crate) fn change<T>(
        &mut self,
        index: Index,
        change: impl FnOnce(&mut Executor) -> T,
    ) -> Option<T> {
        let changed = change(self.executor_mut(index)?);
        self.refresh(index);
        Some(changed)
    }

    /// Updates the rank and the counts of an executor after a change.
    fn refresh(&mut self, index: Index) {
        self.tie_breaker = self.tie_breaker.wrapping_add(1);
        let tie_breaker = self.tie_breaker;
        let Some(rank) = self.executor(index).map(|executor| self.rank(executor, tie_breaker))
        else {
            return;
        };
        let Some(executor) = self.executors.get_mut(index.0 as usize).and_then(Option::as_mut)
        else {
            return;
        };
        let counts = executor.current_counts();
        let old_counts = std::mem::replace(&mut executor.counts, counts);
        let old_rank = std::mem::replace(&mut executor.rank, rank);
        let Some(name) = executor.service.as_ref() else { return };
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::default());
        }
        let Some(service) = self.services.get_mut(name) else { return };
        service.total.replace(old_counts, counts);
        if let Some(rank) = old_rank {
            service.ready.remove(&rank);
        }
        if let Some(rank) = rank {
            service.ready.insert(rank);
        }
    }

    fn rank(&self, executor: &Executor, tie_breaker: u32) -> Option<Rank> {
        if executor.free() == 0 {
            return None;
        }
        let far = self.domain.is_some() && executor.domain != self.domain;
        let network_ms = if far { self.cross_domain_ms * 2.0 } else { 0.0 };
        let occupied = f64::from(executor.in_flight) / f64::from(executor.slots.max(1));
        let ms = executor.health.latency_ms() * (1.0 + occupied) + network_ms;
        let cost = (ms + 1.0).log(COST_RATIO) as u32;
        let load = executor.in_flight * FULL_LOAD / executor.slots.max(1);
        let index = self.indices.get(&executor.name).copied()?;
        Some(Rank { cost, load, tie_breaker, index })
    }

    fn index_or_insert(&mut self, name: &ExecutorName) -> Index {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let executor = Executor {
            name: name.clone(),
            service: None,
            domain: None,
            slots: 0,
            listing: Listing::Unseen,
            ownership: Ownership::None,
            in_flight: 0,
            held: 0,
            health: Health::new(&self.settings),
            rank: None,
            counts: Counts::default(),
        };
        let index = match self.free_indices.pop() {
            Some(index) => index,
            None => {
                self.executors.push(None);
                Index(self.executors.len() as u32 - 1)
            }
        };
        if let Some(place) = self.executors.get_mut(index.0 as usize) {
            *place = Some(executor);
        }
        self.indices.insert(name.clone(), index);
        index
    }

    /// Applies the list of the platform.
    pub(crate) fn apply_list(&mut self, listed: Vec<router::Executor>) {
        let listed_names: BTreeSet<ExecutorName> =
            listed.iter().map(|item| item.name.clone()).collect();
        for item in listed {
            self.update_listed(item);
        }
        self.mark_missing(&listed_names);
    }

    fn update_listed(&mut self, item: router::Executor) {
        let index = self.index_or_insert(&item.name);
        let listing = if item.leaving { Listing::Leaving } else { Listing::Live };
        let unchanged = self.executor(index).is_some_and(|executor| {
            executor.service.as_ref() == Some(&item.service)
                && executor.domain.as_ref() == Some(&item.domain)
                && executor.slots == item.slots
                && executor.listing == listing
        });
        if unchanged {
            return;
        }
        self.remove_from_service(index, &item.service);
        self.change(index, |executor| {
            executor.service = Some(item.service);
            executor.domain = Some(item.domain);
            executor.slots = item.slots;
            executor.listing = listing;
        });
    }

    /// Removes an executor from the order and totals of its service if that is not `service`.
    fn remove_from_service(&mut self, index: Index, service: &ServiceName) {
        let Some(executor) = self.executors.get_mut(index.0 as usize).and_then(Option::as_mut)
        else {
            return;
        };
        if executor.service.as_ref() == Some(service) {
            return;
        }
        let counts = std::mem::take(&mut executor.counts);
        let rank = executor.rank.take();
        let old = executor.service.as_ref().and_then(|name| self.services.get_mut(name));
        let Some(old) = old else { return };
        old.total.replace(counts, Counts::default());
        if let Some(rank) = rank {
            old.ready.remove(&rank);
        }
    }

    /// Marks the executors that are missing from the list as leaving, if the list is plausible.
    fn mark_missing(&mut self, listed_names: &BTreeSet<ExecutorName>) {
        let indices = self.indices.iter();
        let missing: Vec<Index> = indices
            .filter(|(name, _)| !listed_names.contains(*name))
            .map(|(_, index)| *index)
            .collect();
        let implausible = missing.len() as f64 > self.indices.len() as f64 * MAX_MISSING_SHARE;
        if implausible {
            return;
        }
        for index in missing {
            self.change(index, |executor| {
                if executor.listing == Listing::Live {
                    executor.listing = Listing::Leaving;
                }
            });
            self.remove_unused(index);
        }
    }

    /// Reduces the slots of the executors of a service to at most `slots`, the declared number.
    pub(crate) fn limit_slots(&mut self, service: &ServiceName, slots: u32) {
        let above = |executor: &&Executor| {
            executor.service.as_ref() == Some(service) && executor.slots > slots
        };
        let names = self.executors.iter().flatten().filter(above).map(|found| &found.name);
        let above: Vec<Index> = names.filter_map(|name| self.index(name)).collect();
        for index in above {
            self.change(index, |executor| executor.slots = slots);
        }
    }

    /// Removes the executor if it is not listed as live, not owned and has no occupied slot.
    pub(crate) fn remove_unused(&mut self, index: Index) {
        let Some(executor) = self.executor(index) else { return };
        let used = executor.ownership != Ownership::None || executor.occupied() > 0;
        if used || executor.listing == Listing::Live {
            return;
        }
        let name = executor.name.clone();
        self.indices.remove(&name);
        if let Some(place) = self.executors.get_mut(index.0 as usize) {
            *place = None;
        }
        self.free_indices.push(index);
    }

    /// Sets the ownership of the slots of an executor; a newly owned one starts with new health.
    pub(crate) fn set_ownership(&mut self, name: &ExecutorName, ownership: Ownership) -> Index {
        let index = self.index_or_insert(name);
        let settings = self.settings;
        self.change(index, |executor| {
            if !executor.is_owned() {
                executor.health = Health::new(&settings);
            }
            executor.ownership = ownership;
        });
        index
    }

    /// Records an observation of an executor; returns the time of its next check if it was
    /// ejected or became a suspect.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        index: Index,
        observation: Observation,
        mean_ms: f64,
    ) -> Option<Time> {
        let settings = self.settings;
        let counts = self.executor(index)?.service.as_ref().map(|name| self.total(name));
        let counts = counts.unwrap_or_default();
        let too_many_ejected =
            f64::from(counts.ejected + 1) > f64::from(counts.owned) * settings.max_ejected.as_f64();
        self.change(index, |executor| {
            if executor.health.is_ejected() {
                return None;
            }
            let slots = executor.slots;
            match executor.health.observe(observation, mean_ms, slots, &settings) {
                Action::Keep => None,
                Action::Watch => Some(now + settings.backoff),
                Action::EjectOutlier if too_many_ejected => None,
                Action::EjectOutlier | Action::EjectUnavailable => {
                    Some(executor.health.eject(now, &settings))
                }
            }
        })?
    }

    /// Checks an executor that is ejected or a suspect.
    pub(crate) fn check(&mut self, now: Time, index: Index) -> Check {
        let settings = self.settings;
        let check = self.change(index, |executor| {
            let idle = executor.in_flight == 0;
            if executor.is_owned() {
                executor.health.check(now, idle, &settings)
            } else {
                Check::Done
            }
        });
        check.unwrap_or(Check::Done)
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(&mut self, index: Index, healthy: bool) {
        let settings = self.settings;
        self.change(index, |executor| executor.health.record_probe(healthy, &settings));
    }
}

impl Counts {
    fn replace(&mut self, old: Self, new: Self) {
        let swap = |total: u32, old: u32, new: u32| (total + new).saturating_sub(old);
        self.owned = swap(self.owned, old.owned, new.owned);
        self.free = swap(self.free, old.free, new.free);
        self.usable = swap(self.usable, old.usable, new.usable);
        self.in_flight = swap(self.in_flight, old.in_flight, new.in_flight);
        self.ejected = swap(self.ejected, old.ejected, new.ejected);
    }
}
