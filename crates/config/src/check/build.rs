//! Building the configuration model from merged settings.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{ClassName, DomainName, ServiceName, TargetName, TeamName, Version};
use sycamorerill_core::model::{
    Class, Config, Domain, Goal, Policy, Service, Target, Team, Urgency,
};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Memory;

use super::Checker;
use super::entry::Entry;
use crate::key::Section;

/// Slots of an executor whose service sets no `slots`.
const DEFAULT_SLOTS: u32 = 8;
/// Maximum body size of a service that sets no `max_body`.
const DEFAULT_MAX_BODY: Memory = Memory::from_mib(1);
/// Retention of idempotency keys of a service that sets no `key_retention`.
const DEFAULT_KEY_RETENTION: Span = Span::from_secs(24 * 60 * 60);
/// Attempts at a task whose class sets no `attempts`.
const DEFAULT_ATTEMPTS: u32 = 3;
/// Workers in a rack of a domain that sets no `rack`.
const DEFAULT_RACK: u32 = 8;

impl Checker<'_> {
    /// Builds the model from the entries that have all required and valid settings.
    pub(super) fn build(&self) -> Config {
        Config {
            version: Version(0),
            services: self.build_section(Section::Service, build_service),
            classes: self.build_section(Section::Class, build_class),
            teams: self.build_section(Section::Team, build_team),
            targets: self.build_section(Section::Target, build_target),
            domains: self.build_section(Section::Domain, build_domain),
            policy: build_policy(&Entry::new(self.merged, Section::Policy, "")),
        }
    }

    fn build_section<K: Ord, V>(
        &self,
        section: Section,
        build: fn(&Entry<'_>) -> Option<(K, V)>,
    ) -> BTreeMap<K, V> {
        let names = self.entry_names(section);
        names.filter_map(|name| build(&Entry::new(self.merged, section, name))).collect()
    }
}

fn build_service(entry: &Entry<'_>) -> Option<(ServiceName, Service)> {
    let name: ServiceName = entry.name()?;
    let service = Service {
        name: name.clone(),
        team: entry.value("team")?,
        urgency: entry.value_or("urgency", Urgency::default()),
        idempotent: entry.value_or("idempotent", false),
        deadline: entry.value("deadline")?,
        longest_run: entry.value("longest_run")?,
        slots: entry.value_or("slots", DEFAULT_SLOTS),
        max_body: entry.value_or("max_body", DEFAULT_MAX_BODY).0,
        key_retention: entry.value_or("key_retention", DEFAULT_KEY_RETENTION),
        rate: entry.value("rate")?,
    };
    Some((name, service))
}

fn build_class(entry: &Entry<'_>) -> Option<(ClassName, Class)> {
    let name: ClassName = entry.name()?;
    let service = entry.value_or("service", false);
    let class = Class {
        name: name.clone(),
        size: entry.size("size")?,
        run_time: value_unless_service(entry, "run_time", service, Span::ZERO)?,
        deadline: value_unless_service(entry, "deadline", service, Span::MAX)?,
        urgency: entry.value_or("urgency", Urgency::default()),
        checkpoint: entry.value_or("checkpoint", false),
        attempts: entry.value_or("attempts", DEFAULT_ATTEMPTS),
        service,
    };
    Some((name, class))
}

/// Returns the span that `field` sets; a service class may omit it, which gives `default`.
fn value_unless_service(
    entry: &Entry<'_>,
    field: &str,
    service: bool,
    default: Span,
) -> Option<Span> {
    entry.value(field).or_else(|| service.then_some(default))
}

fn build_team(entry: &Entry<'_>) -> Option<(TeamName, Team)> {
    let name: TeamName = entry.name()?;
    let team = Team {
        name: name.clone(),
        weight: entry.value_or("weight", 1),
        quota: entry.size("quota")?,
        borrow: entry.value_or("borrow", true),
    };
    Some((name, team))
}

fn build_target(entry: &Entry<'_>) -> Option<(TargetName, Target)> {
    let name: TargetName = entry.name()?;
    let target = Target {
        name: name.clone(),
        goal: build_goal(entry)?,
        share: entry.value_or("share", Share::new(1.0)),
        penalty: entry.value("penalty")?,
    };
    Some((name, target))
}

fn build_goal(entry: &Entry<'_>) -> Option<Goal> {
    if entry.is_set("class") {
        return Some(Goal::Deadline { class: entry.value("class")? });
    }
    Some(Goal::Answer { service: entry.value("service")?, within: entry.value("within")? })
}

fn build_domain(entry: &Entry<'_>) -> Option<(DomainName, Domain)> {
    let name: DomainName = entry.name()?;
    let domain = Domain {
        name: name.clone(),
        workers: entry.value("workers")?,
        worker: entry.size("worker")?,
        rack: entry.value_or("rack", DEFAULT_RACK),
        executors: entry.value("executors")?,
    };
    Some((name, domain))
}

fn build_policy(entry: &Entry<'_>) -> Policy {
    let default = Policy::default();
    Policy {
        retry_budget: entry.value_or("retry_budget", default.retry_budget),
        eviction_budget: entry.value_or("eviction_budget", default.eviction_budget),
        size_margin: entry.value_or("size_margin", default.size_margin),
        task_lease: entry.value_or("task_lease", default.task_lease),
        max_queue: entry.value_or("max_queue", default.max_queue),
    }
}
