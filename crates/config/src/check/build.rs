//! Building the model from merged settings.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{ClassName, DomainName, ServiceName, TargetName, TeamName, Version};
use sycamorerill_core::model::{
    Class, Config, Domain, Goal, Policy, Service, Target, Team, Urgency,
};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Memory;

use super::Check;
use super::entry::Entry;
use crate::key::Section;

/// Slots of an executor whose service states none.
const DEFAULT_SLOTS: u32 = 8;
/// Largest body of a service that states none.
const DEFAULT_MAX_BODY: Memory = Memory::from_mib(1);
/// Retention of the keys of a service that states none.
const DEFAULT_KEY_RETENTION: Span = Span::from_secs(24 * 60 * 60);
/// Attempts at a task whose class states none.
const DEFAULT_ATTEMPTS: u32 = 3;
/// Workers in a rack of a domain that states none.
const DEFAULT_RACK: u32 = 8;

impl Check<'_> {
    /// Builds the model from all entries that are complete.
    pub(super) fn build(&self) -> Config {
        Config {
            version: Version(0),
            services: self.section(Section::Service, service),
            classes: self.section(Section::Class, class),
            teams: self.section(Section::Team, team),
            targets: self.section(Section::Target, target),
            domains: self.section(Section::Domain, domain),
            policy: policy(&Entry::new(self.merged, Section::Policy, "")),
        }
    }

    fn section<K: Ord, V>(
        &self,
        section: Section,
        build: fn(&Entry<'_>) -> Option<(K, V)>,
    ) -> BTreeMap<K, V> {
        let names = self.names(section);
        names.filter_map(|name| build(&Entry::new(self.merged, section, name))).collect()
    }
}

fn service(entry: &Entry<'_>) -> Option<(ServiceName, Service)> {
    let name: ServiceName = entry.name()?;
    let service = Service {
        name: name.clone(),
        team: entry.read("team")?,
        urgency: entry.read_or("urgency", Urgency::default()),
        idempotent: entry.read_or("idempotent", false),
        deadline: entry.read("deadline")?,
        longest_run: entry.read("longest_run")?,
        slots: entry.read_or("slots", DEFAULT_SLOTS),
        max_body: entry.read_or("max_body", DEFAULT_MAX_BODY).0,
        key_retention: entry.read_or("key_retention", DEFAULT_KEY_RETENTION),
        rate: entry.read("rate")?,
    };
    Some((name, service))
}

fn class(entry: &Entry<'_>) -> Option<(ClassName, Class)> {
    let name: ClassName = entry.name()?;
    let service = entry.read_or("service", false);
    let class = Class {
        name: name.clone(),
        size: entry.size("size")?,
        run_time: ending(entry, "run_time", service, Span::ZERO)?,
        deadline: ending(entry, "deadline", service, Span::MAX)?,
        urgency: entry.read_or("urgency", Urgency::default()),
        checkpoint: entry.read_or("checkpoint", false),
        attempts: entry.read_or("attempts", DEFAULT_ATTEMPTS),
        service,
    };
    Some((name, class))
}

/// Returns a span that only a class whose tasks end must state.
fn ending(entry: &Entry<'_>, field: &str, service: bool, default: Span) -> Option<Span> {
    entry.read(field).or_else(|| service.then_some(default))
}

fn team(entry: &Entry<'_>) -> Option<(TeamName, Team)> {
    let name: TeamName = entry.name()?;
    let team = Team {
        name: name.clone(),
        weight: entry.read_or("weight", 1),
        quota: entry.size("quota")?,
        borrow: entry.read_or("borrow", true),
    };
    Some((name, team))
}

fn target(entry: &Entry<'_>) -> Option<(TargetName, Target)> {
    let name: TargetName = entry.name()?;
    let target = Target {
        name: name.clone(),
        goal: goal(entry)?,
        share: entry.read_or("share", Share::new(1.0)),
        penalty: entry.read("penalty")?,
    };
    Some((name, target))
}

fn goal(entry: &Entry<'_>) -> Option<Goal> {
    if entry.has("class") {
        return Some(Goal::Deadline { class: entry.read("class")? });
    }
    Some(Goal::Answer { service: entry.read("service")?, within: entry.read("within")? })
}

fn domain(entry: &Entry<'_>) -> Option<(DomainName, Domain)> {
    let name: DomainName = entry.name()?;
    let domain = Domain {
        name: name.clone(),
        workers: entry.read("workers")?,
        worker: entry.size("worker")?,
        rack: entry.read_or("rack", DEFAULT_RACK),
        executors: entry.read("executors")?,
    };
    Some((name, domain))
}

fn policy(entry: &Entry<'_>) -> Policy {
    let default = Policy::default();
    Policy {
        retry_budget: entry.read_or("retry_budget", default.retry_budget),
        eviction_budget: entry.read_or("eviction_budget", default.eviction_budget),
        size_margin: entry.read_or("size_margin", default.size_margin),
        task_lease: entry.read_or("task_lease", default.task_lease),
        max_queue: entry.read_or("max_queue", default.max_queue),
    }
}
