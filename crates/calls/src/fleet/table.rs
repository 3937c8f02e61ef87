//! All executors, with an order of choice for each service.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, ExecutorName, ServiceName};

use super::Settings;
use super::executor::{Executor, Holding, Index, Listing, Part, Rank};
use super::health::{Check, Evidence, Health, Verdict};
use crate::router;

/// Ratio of the latencies of two neighbouring steps of cost.
const COST_RATIO: f64 = 1.25;
/// Whole load of an executor in the unit of [`Rank::load`].
const FULL_LOAD: u32 = 1_000;
/// Share of the list that may vanish at once before the list itself is doubted.
const MAX_VANISHED: f64 = 0.5;

#[derive(Debug, Default)]
struct Service {
    ready: BTreeSet<Rank>,
    total: Part,
}

#[derive(Debug)]
pub(crate) struct Table {
    settings: Settings,
    domain: Option<DomainName>,
    far_ms: f64,
    names: BTreeMap<ExecutorName, Index>,
    executors: Vec<Option<Executor>>,
    vacant: Vec<Index>,
    services: BTreeMap<ServiceName, Service>,
    salt: u32,
}

impl Table {
    /// Returns an empty table; `far_ms` is the one-way delay to another failure domain.
    pub(crate) fn new(settings: Settings, domain: Option<DomainName>, far_ms: f64) -> Self {
        Self {
            settings,
            domain,
            far_ms,
            names: BTreeMap::new(),
            executors: Vec::new(),
            vacant: Vec::new(),
            services: BTreeMap::new(),
            salt: 0,
        }
    }

    pub(crate) fn index(&self, name: &ExecutorName) -> Option<Index> {
        self.names.get(name).copied()
    }

    pub(crate) fn executor(&self, index: Index) -> Option<&Executor> {
        self.executors.get(index.0 as usize)?.as_ref()
    }

    fn slot_mut(&mut self, index: Index) -> Option<&mut Executor> {
        self.executors.get_mut(index.0 as usize)?.as_mut()
    }

    /// Returns the load of a service over the owned executors.
    pub(crate) fn total(&self, service: &ServiceName) -> Part {
        self.services.get(service).map(|service| service.total).unwrap_or_default()
    }

    /// Returns the services that have or had an executor here.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the executors whose slots are owned or being handed over.
    pub(crate) fn held(&self) -> impl Iterator<Item = &Executor> {
        self.executors.iter().flatten().filter(|executor| executor.holding != Holding::None)
    }

    /// Returns the executor to send the next call of the service to.
    pub(crate) fn choose(&self, service: &ServiceName) -> Option<Index> {
        self.services.get(service)?.ready.first().map(|rank| rank.index)
    }

    /// Returns the executor that is chosen next when `index` is left out.
    pub(crate) fn choose_other(&self, service: &ServiceName, index: Index) -> Option<Index> {
        let ready = self.services.get(service)?.ready.iter();
        ready.map(|rank| rank.index).find(|found| *found != index)
    }

    /// Changes one executor and brings the order of choice and the totals in line.
    pub(crate) fn change<T>(
        &mut self,
        index: Index,
        change: impl FnOnce(&mut Executor) -> T,
    ) -> Option<T> {
        let changed = change(self.slot_mut(index)?);
        self.refresh(index);
        Some(changed)
    }

    fn refresh(&mut self, index: Index) {
        self.salt = self.salt.wrapping_add(1);
        let salt = self.salt;
        let Some(rank) = self.executor(index).map(|executor| self.rank(executor, salt)) else {
            return;
        };
        let Some(executor) = self.executors.get_mut(index.0 as usize).and_then(Option::as_mut)
        else {
            return;
        };
        let part = executor.current_part();
        let old_part = std::mem::replace(&mut executor.part, part);
        let old_rank = std::mem::replace(&mut executor.rank, rank);
        let Some(name) = executor.service.as_ref() else { return };
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::default());
        }
        let Some(service) = self.services.get_mut(name) else { return };
        service.total.replace(old_part, part);
        if let Some(rank) = old_rank {
            service.ready.remove(&rank);
        }
        if let Some(rank) = rank {
            service.ready.insert(rank);
        }
    }

    fn rank(&self, executor: &Executor, salt: u32) -> Option<Rank> {
        if executor.free() == 0 {
            return None;
        }
        let far = self.domain.is_some() && executor.domain != self.domain;
        let way_ms = if far { self.far_ms * 2.0 } else { 0.0 };
        let occupied = f64::from(executor.in_flight) / f64::from(executor.slots.max(1));
        let ms = executor.health.latency_ms() * (1.0 + occupied) + way_ms;
        let cost = (ms + 1.0).log(COST_RATIO) as u32;
        let load = executor.in_flight * FULL_LOAD / executor.slots.max(1);
        let index = self.names.get(&executor.name).copied()?;
        Some(Rank { cost, load, salt, index })
    }

    fn index_or_insert(&mut self, name: &ExecutorName) -> Index {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let executor = Executor {
            name: name.clone(),
            service: None,
            domain: None,
            slots: 0,
            listing: Listing::Unseen,
            holding: Holding::None,
            in_flight: 0,
            held: 0,
            health: Health::new(&self.settings),
            rank: None,
            part: Part::default(),
        };
        let index = match self.vacant.pop() {
            Some(index) => index,
            None => {
                self.executors.push(None);
                Index(self.executors.len() as u32 - 1)
            }
        };
        if let Some(place) = self.executors.get_mut(index.0 as usize) {
            *place = Some(executor);
        }
        self.names.insert(name.clone(), index);
        index
    }

    /// Takes the platform's list in.
    pub(crate) fn list(&mut self, listed: Vec<router::Executor>) {
        let named: BTreeSet<ExecutorName> = listed.iter().map(|item| item.name.clone()).collect();
        for item in listed {
            self.list_one(item);
        }
        self.list_missing(&named);
    }

    fn list_one(&mut self, item: router::Executor) {
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
        self.detach(index, &item.service);
        self.change(index, |executor| {
            executor.service = Some(item.service);
            executor.domain = Some(item.domain);
            executor.slots = item.slots;
            executor.listing = listing;
        });
    }

    /// Takes an executor out of the order and totals of a service other than `service`.
    fn detach(&mut self, index: Index, service: &ServiceName) {
        let Some(executor) = self.executors.get_mut(index.0 as usize).and_then(Option::as_mut)
        else {
            return;
        };
        if executor.service.as_ref() == Some(service) {
            return;
        }
        let part = std::mem::take(&mut executor.part);
        let rank = executor.rank.take();
        let old = executor.service.as_ref().and_then(|name| self.services.get_mut(name));
        let Some(old) = old else { return };
        old.total.replace(part, Part::default());
        if let Some(rank) = rank {
            old.ready.remove(&rank);
        }
    }

    fn list_missing(&mut self, named: &BTreeSet<ExecutorName>) {
        let known = self.names.iter();
        let missing: Vec<Index> =
            known.filter(|(name, _)| !named.contains(*name)).map(|(_, index)| *index).collect();
        let doubtful = missing.len() as f64 > self.names.len() as f64 * MAX_VANISHED;
        if doubtful {
            return;
        }
        for index in missing {
            self.change(index, |executor| {
                if executor.listing == Listing::Live {
                    executor.listing = Listing::Leaving;
                }
            });
            self.forget(index);
        }
    }

    /// Holds the slots of a service's executors to what is declared.
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

    /// Removes an executor that is not listed, not owned and has no call left.
    pub(crate) fn forget(&mut self, index: Index) {
        let Some(executor) = self.executor(index) else { return };
        let used = executor.holding != Holding::None || executor.occupied() > 0;
        if used || executor.listing == Listing::Live {
            return;
        }
        let name = executor.name.clone();
        self.names.remove(&name);
        if let Some(place) = self.executors.get_mut(index.0 as usize) {
            *place = None;
        }
        self.vacant.push(index);
    }

    /// Takes ownership of an executor's slots.
    pub(crate) fn own(&mut self, name: &ExecutorName, holding: Holding) -> Index {
        let index = self.index_or_insert(name);
        let settings = self.settings;
        self.change(index, |executor| {
            if !executor.is_owned() {
                executor.health = Health::new(&settings);
            }
            executor.holding = holding;
        });
        index
    }

    /// Takes evidence of an executor in; returns the instant of the next look at it when
    /// it was ejected or became a suspect.
    pub(crate) fn learn(
        &mut self,
        now: Time,
        index: Index,
        evidence: Evidence,
        mean_ms: f64,
    ) -> Option<Time> {
        let settings = self.settings;
        let part = self.executor(index)?.service.as_ref().map(|name| self.total(name));
        let part = part.unwrap_or_default();
        let crowded =
            f64::from(part.ejected + 1) > f64::from(part.owned) * settings.max_ejected.part();
        self.change(index, |executor| {
            if executor.health.is_ejected() {
                return None;
            }
            let slots = executor.slots;
            match executor.health.judge(evidence, mean_ms, slots, &settings) {
                Verdict::Keep => None,
                Verdict::Watch => Some(now + settings.back_off),
                Verdict::Outlier if crowded => None,
                Verdict::Outlier | Verdict::Closed => Some(executor.health.eject(now, &settings)),
            }
        })?
    }

    /// Looks at an executor that is ejected or a suspect.
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

    /// Takes the end of a probe in.
    pub(crate) fn probed(&mut self, index: Index, healthy: bool) {
        let settings = self.settings;
        self.change(index, |executor| executor.health.probed(healthy, &settings));
    }
}

impl Part {
    fn replace(&mut self, old: Self, new: Self) {
        let swap = |total: u32, old: u32, new: u32| (total + new).saturating_sub(old);
        self.owned = swap(self.owned, old.owned, new.owned);
        self.free = swap(self.free, old.free, new.free);
        self.usable = swap(self.usable, old.usable, new.usable);
        self.in_flight = swap(self.in_flight, old.in_flight, new.in_flight);
        self.ejected = swap(self.ejected, old.ejected, new.ejected);
    }
}
