//! State of each service: queue, latency estimate and budgets.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{ServiceName, TeamName};
use sycamorerill_core::model;

use super::Router;
use crate::latency::Estimate;
use crate::queue::{FlowId, Limits, Profile, Queue};
use crate::retry::Budget;

const MS_PER_SECOND: f64 = 1_000.0;

/// State of one service at this entry instance.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) queue: Queue,
    pub(crate) latency: Estimate,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    /// Whether every slot was occupied at some time since the last announcement.
    pub(crate) was_full: bool,
    pub(crate) last_announcement: Time,
}

impl Router {
    pub(crate) fn configured(&mut self, config: std::sync::Arc<model::Config>) {
        self.config = config;
        for (name, service) in &self.config.services {
            self.fleet.limit_slots(name, service.slots);
            let longest = self.longest_runs.entry(name.clone()).or_default();
            *longest = service.longest_run.max(*longest);
        }
        self.update_profiles();
    }

    /// Recomputes the profiles of all flows, which depend on the configuration and the number
    /// of peers.
    pub(crate) fn update_profiles(&mut self) {
        let instances = self.peers.len() + 1;
        for (name, service) in &mut self.services {
            let config = &self.config;
            service.queue.update_profiles(|team| profile(config, name, team, instances));
        }
    }

    /// Returns the state of a service; creates it if the service is declared.
    pub(crate) fn service_or_insert(
        &mut self,
        now: Time,
        name: &ServiceName,
    ) -> Option<&mut Service> {
        if !self.services.contains_key(name) {
            self.config.services.get(name)?;
            let service = Service {
                queue: Queue::new(self.settings.queue, now),
                latency: Estimate::default(),
                retries: Budget::default(),
                hedges: Budget::default(),
                was_full: false,
                last_announcement: Time::ZERO,
            };
            self.services.insert(name.clone(), service);
        }
        self.services.get_mut(name)
    }

    /// Records that the load offered to a service exceeds its capacity.
    pub(crate) fn mark_saturated(&mut self, now: Time, name: &ServiceName) {
        if let Some(service) = self.services.get_mut(name) {
            service.queue.mark_saturated(now);
        }
    }

    /// Returns the team that a call is charged to.
    ///
    /// Calls of an undeclared team are charged to the team that owns the service.
    pub(crate) fn charged_team(&self, service: &ServiceName, team: &TeamName) -> TeamName {
        if self.config.teams.contains_key(team) {
            return team.clone();
        }
        let declared = self.config.services.get(service);
        declared.map_or_else(|| team.clone(), |service| service.team.clone())
    }

    /// Returns the flow of a team and an urgency; adds it if necessary.
    pub(crate) fn flow(
        &mut self,
        service: &ServiceName,
        team: &TeamName,
        urgency: model::Urgency,
    ) -> Option<FlowId> {
        let queue = &mut self.services.get_mut(service)?.queue;
        if let Some(flow) = queue.flow(team, urgency) {
            return Some(flow);
        }
        let profile = profile(&self.config, service, team, self.peers.len() + 1);
        Some(queue.add_flow(team, urgency, profile))
    }

    /// Returns the mean latency of a call, or zero while there are too few measurements.
    pub(crate) fn mean(&self, service: &ServiceName) -> Span {
        self.services.get(service).map_or(Span::ZERO, |service| service.latency.mean())
    }

    /// Returns the rate at which owned slots become free, in calls per millisecond.
    ///
    /// While the mean latency is unknown, a call is assumed to take one millisecond.
    pub(crate) fn slot_rate(&self, service: &ServiceName) -> f64 {
        let usable = f64::from(self.fleet.total(service).usable);
        let mean_ms = self.mean(service).as_ms_f64();
        if mean_ms > 0.0 { usable / mean_ms } else { usable }
    }

    /// Returns the conditions under which a call with this deadline is admitted to the queue.
    pub(crate) fn queue_limits(&self, now: Time, service: &ServiceName, deadline: Time) -> Limits {
        let high = self.services.get(service).map_or(Span::ZERO, |s| s.latency.high_quantile());
        Limits {
            max_wait: deadline.since(now).saturating_sub(high),
            slot_rate: self.slot_rate(service),
            max_queue: self.config.policy.max_queue,
        }
    }
}

/// Returns the profile of a flow of a team at one of `instances` entry instances.
///
/// The declared rate of the service is divided by the weights of the teams, then evenly
/// among the urgencies and the instances.
fn profile(
    config: &model::Config,
    service: &ServiceName,
    team: &TeamName,
    instances: u32,
) -> Profile {
    let weight = config.teams.get(team).map_or(1, |team| team.weight.max(1));
    let total: u32 = config.teams.values().map(|team| team.weight).sum();
    let rate = config.services.get(service).map_or(0.0, |service| service.rate.0);
    let share = f64::from(weight) / f64::from(total.max(weight));
    let urgencies = model::Urgency::ALL.len() as f64;
    let declared = rate * share / urgencies / f64::from(instances) / MS_PER_SECOND;
    Profile { weight, declared }
}
