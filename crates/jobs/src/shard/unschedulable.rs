//! Waiting steps that no listed executor could run, however much room it had.
//!
//! Load pattern: jobs that ask for a label that no executor has, or for more than any executor
//! holds, with thousands of steps. In the placement queue they would use up the budgets of each
//! pass, count as work ahead of other jobs in the outlook and as a lack of room against other
//! queues. They are kept apart and put back once the list of executors, or the configuration, has
//! changed so that an executor could run them. Their jobs end by a cancellation only.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;

use super::Shard;
use super::executors::Executor;
use super::locality::Need;
use super::message::{Command, Decision};
use crate::executor::{Availability, Registration};
use crate::id::{Label, ServiceName, StepId};
use crate::spec::{Resources, Step};

/// Capacities of the executors of one service, as far as no other one covers them.
#[derive(Debug, Default)]
struct Hosts {
    all: Vec<Resources>,
    by_label: BTreeMap<Label, Vec<Resources>>,
}

/// Why no listed executor could run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// No executor of the queue's service takes work.
    Service,
    /// None of them has the label.
    Label,
    /// None of those is large enough.
    Capacity,
    /// They are too few for all members of a gang at the same time.
    Gang,
    /// The policy of the queue allows none of them.
    Policy,
}

impl Obstacle {
    /// Returns the name of the obstacle in the log.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Label => "label",
            Self::Capacity => "capacity",
            Self::Gang => "gang",
            Self::Policy => "policy",
        }
    }
}

/// What the steps that are kept apart wait for, so that a change of the list is compared with few
/// of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wanted {
    /// An executor of a service with a label and enough capacity.
    Executor(ServiceName, Option<Label>),
    /// Any change of the list: several executors together decide, or a policy does.
    Change,
}

/// Steps that no listed executor could run.
#[derive(Debug, Default)]
pub(super) struct Unschedulable {
    /// Capacities of the listed executors by service; `None` after a change of the list.
    hosts: Option<BTreeMap<ServiceName, Hosts>>,
    steps: BTreeMap<StepId, Wanted>,
    by_wanted: BTreeMap<Wanted, BTreeMap<StepId, Resources>>,
}

impl Hosts {
    fn add(&mut self, executor: &Executor) {
        let capacity = executor.registration.capacity;
        add_capacity(&mut self.all, capacity);
        for label in &executor.registration.labels {
            add_capacity(self.by_label.entry(label.clone()).or_default(), capacity);
        }
    }

    /// Returns the capacities of the executors that have a label, if one is required.
    fn capacities(&self, label: Option<&Label>) -> &[Resources] {
        let of_label = label.map(|label| self.by_label.get(label).map_or(&[][..], Vec::as_slice));
        of_label.unwrap_or(&self.all)
    }
}

impl Unschedulable {
    /// Returns the number of steps that are kept apart.
    pub(super) fn len(&self) -> usize {
        self.steps.len()
    }

    /// Notes that the list of executors has changed.
    pub(super) fn note_change(&mut self) {
        self.hosts = None;
    }

    /// Removes a step that has ended.
    pub(super) fn remove(&mut self, id: StepId) {
        let Some(wanted) = self.steps.remove(&id) else {
            return;
        };
        if let Some(steps) = self.by_wanted.get_mut(&wanted) {
            steps.remove(&id);
            if steps.is_empty() {
                self.by_wanted.remove(&wanted);
            }
        }
    }

    fn add(&mut self, id: StepId, wanted: Wanted, needs: Resources) {
        self.remove(id);
        self.by_wanted.entry(wanted.clone()).or_default().insert(id, needs);
        self.steps.insert(id, wanted);
    }

    /// Removes and returns the steps that one of the executors in `hosts` may run.
    fn take_schedulable(&mut self, hosts: &BTreeMap<ServiceName, Hosts>) -> Vec<StepId> {
        let mut found: BTreeSet<StepId> =
            self.by_wanted.get(&Wanted::Change).into_iter().flatten().map(|(id, _)| *id).collect();
        for (service, hosts) in hosts {
            let labels = hosts.by_label.keys().map(Some).chain([None]);
            for label in labels {
                let wanted = Wanted::Executor(service.clone(), label.cloned());
                let steps = self.by_wanted.get(&wanted).into_iter().flatten();
                let capacities = hosts.capacities(label);
                found
                    .extend(steps.filter(|(_, needs)| covers(capacities, needs)).map(|(id, _)| id));
            }
        }
        found.iter().for_each(|id| self.remove(*id));
        found.into_iter().collect()
    }
}

impl Shard {
    /// Puts the steps that an executor could run now back into the queue, if the list has changed.
    pub(super) fn requeue_schedulable(&mut self, now: Time) {
        if self.unschedulable.hosts.is_some() {
            return;
        }
        let mut hosts: BTreeMap<ServiceName, Hosts> = BTreeMap::new();
        for executor in self.executors.values().filter(|executor| is_host(executor)) {
            hosts.entry(executor.registration.service.clone()).or_default().add(executor);
        }
        let steps = self.unschedulable.take_schedulable(&hosts);
        self.unschedulable.hosts = Some(hosts);
        self.requeue_steps(now, &steps);
    }

    /// Puts all steps back into the queue, as the services of their queues may have changed.
    pub(super) fn requeue_unschedulable(&mut self, now: Time) {
        let steps: Vec<StepId> = self.unschedulable.steps.keys().copied().collect();
        self.unschedulable = Unschedulable::default();
        self.requeue_steps(now, &steps);
    }

    /// Puts steps into the queue at their present ranks.
    fn requeue_steps(&mut self, now: Time, steps: &[StepId]) {
        for id in steps {
            let rank = self.current_rank(now, *id);
            let entry = self.jobs.get_mut(&id.job);
            let step = entry.and_then(|entry| entry.step_mut(id.occurrence, id.step));
            if let (Some(rank), Some(step)) = (rank, step) {
                // A task that waits again may have brought the step back under its former rank.
                if let Some(former) = step.rank.replace(rank) {
                    self.waiting.remove(&(former, *id));
                }
                self.waiting.insert((rank, *id));
            }
        }
    }

    /// Keeps a step apart from the queue if no listed executor could run it. Returns whether it did.
    pub(super) fn set_aside_unschedulable(
        &mut self,
        now: Time,
        id: StepId,
        spec: &Step,
        service: &ServiceName,
        needs_ticket: bool,
    ) -> bool {
        let needs = Need::of(spec).resources;
        let Some(obstacle) = self.obstacle(id, spec, service, &needs, needs_ticket) else {
            return false;
        };
        let wanted = match obstacle {
            Obstacle::Gang | Obstacle::Policy => Wanted::Change,
            _ => Wanted::Executor(service.clone(), spec.label.clone()),
        };
        self.end_reservation(id);
        self.abandon_wait(now, id);
        self.unschedulable.add(id, wanted, needs);
        let Some(entry) = self.jobs.get_mut(&id.job) else {
            return true;
        };
        if let Some(step) = entry.step_mut(id.occurrence, id.step) {
            step.blocked = false;
        }
        if !std::mem::replace(&mut entry.unschedulable_logged, true) {
            let (service, label) = (service.clone(), spec.label.clone());
            let decision = Decision::Unschedulable { step: id, obstacle, service, label, needs };
            self.out.push(Command::Log(decision));
        }
        true
    }

    /// Returns why no listed executor could run a step, if none could.
    fn obstacle(
        &self,
        id: StepId,
        spec: &Step,
        service: &ServiceName,
        needs: &Resources,
        needs_ticket: bool,
    ) -> Option<Obstacle> {
        let hosts = self.unschedulable.hosts.as_ref()?;
        let Some(hosts) = hosts.get(service) else {
            return Some(Obstacle::Service);
        };
        let capacities = hosts.capacities(spec.label.as_ref());
        if capacities.is_empty() {
            return Some(Obstacle::Label);
        }
        if !covers(capacities, needs) {
            return Some(Obstacle::Capacity);
        }
        if spec.gang && !self.has_hosts_for_gang(spec, service) {
            return Some(Obstacle::Gang);
        }
        (needs_ticket && !self.has_permitted_host(id, spec, service)).then_some(Obstacle::Policy)
    }

    /// Returns whether all members of a gang could run at the same time.
    fn has_hosts_for_gang(&self, spec: &Step, service: &ServiceName) -> bool {
        let members = spec.count as usize;
        let most = spec.max_per_executor.map_or(members, |most| members.min(most as usize));
        let need = Need::of(spec);
        let places =
            self.hosts_of(spec, service).map(|e| need.count_in(&e.registration.capacity, most));
        places.sum::<usize>() >= members
    }

    /// Returns whether the policy of the queue may allow an executor that could run the step.
    fn has_permitted_host(&self, id: StepId, spec: &Step, service: &ServiceName) -> bool {
        let advice = self.advice.get(&id);
        self.hosts_of(spec, service).any(|executor| {
            let covers = executor.registration.capacity.covers(&Need::of(spec).resources);
            covers && !advice.is_some_and(|advice| advice.denies(&executor.registration.id))
        })
    }

    /// Returns the executors of a service that have the label of a step, if it asks for one.
    fn hosts_of<'a>(
        &'a self,
        spec: &'a Step,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Executor> {
        let label = spec.label.as_ref();
        self.executors.values().filter(move |executor| {
            let registration = &executor.registration;
            is_host(executor)
                && registration.service == *service
                && label.is_none_or(|label| registration.labels.contains(label))
        })
    }
}

/// Returns whether an executor may take work, now or once it answers.
fn is_host(executor: &Executor) -> bool {
    let is_ready = executor.registration.availability == Availability::Ready;
    executor.present && is_ready && !executor.is_evacuated
}

/// Returns whether the entry of an executor tells another capacity than before.
pub(super) fn is_other_host(before: &Registration, after: &Registration) -> bool {
    let Registration { service, capacity, labels, availability, .. } = before;
    (service, capacity, labels, availability)
        != (&after.service, &after.capacity, &after.labels, &after.availability)
}

fn covers(capacities: &[Resources], needs: &Resources) -> bool {
    capacities.iter().any(|capacity| capacity.covers(needs))
}

/// Adds a capacity, unless another one covers it, and removes those that it covers.
fn add_capacity(capacities: &mut Vec<Resources>, capacity: Resources) {
    if !covers(capacities, &capacity) {
        capacities.retain(|other| !capacity.covers(other));
        capacities.push(capacity);
    }
}
