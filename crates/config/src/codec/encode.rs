//! Encoding a configuration as bytes.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use capnp::message::Builder;
use capnp::serialize_packed;
use sycamorerill_core::clock::Span;
use sycamorerill_core::model::{
    Class, Config, Domain, Goal, Policy, Service, Target, Team, Urgency,
};
use sycamorerill_core::size::Size;
use sycamorerill_schema::config as wire;

use super::{HEADER_BYTES, MAGIC};

/// Encodes a configuration; equal configurations give equal bytes.
pub fn encode(config: &Config) -> Bytes {
    let mut message = Builder::new_default();
    write_config(config, message.init_root());
    let mut bytes = vec![0; HEADER_BYTES];
    // Writing to a vector cannot fail.
    drop(serialize_packed::write_message(&mut bytes, &message));
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]).to_le_bytes();
    bytes[..MAGIC.len()].copy_from_slice(&MAGIC);
    bytes[MAGIC.len()..HEADER_BYTES].copy_from_slice(&checksum);
    bytes.into()
}

/// Encodes a configuration as [`encode`] does, in base64.
pub fn encode_text(config: &Config) -> String {
    STANDARD.encode(encode(config))
}

fn write_config(config: &Config, mut to: wire::config::Builder<'_>) {
    to.set_version(config.version.0);
    let mut list = to.reborrow().init_services(length(config.services.len()));
    for (index, service) in (0..).zip(config.services.values()) {
        write_service(service, list.reborrow().get(index));
    }
    let mut list = to.reborrow().init_classes(length(config.classes.len()));
    for (index, class) in (0..).zip(config.classes.values()) {
        write_class(class, list.reborrow().get(index));
    }
    let mut list = to.reborrow().init_teams(length(config.teams.len()));
    for (index, team) in (0..).zip(config.teams.values()) {
        write_team(team, list.reborrow().get(index));
    }
    let mut list = to.reborrow().init_targets(length(config.targets.len()));
    for (index, target) in (0..).zip(config.targets.values()) {
        write_target(target, list.reborrow().get(index));
    }
    let mut list = to.reborrow().init_domains(length(config.domains.len()));
    for (index, domain) in (0..).zip(config.domains.values()) {
        write_domain(domain, list.reborrow().get(index));
    }
    write_policy(&config.policy, to.init_policy());
}

fn write_service(service: &Service, mut to: wire::service::Builder<'_>) {
    to.set_name(service.name.as_str());
    to.set_team(service.team.as_str());
    to.set_urgency(urgency(service.urgency));
    to.set_idempotent(service.idempotent);
    to.set_deadline_us(micros(service.deadline));
    to.set_longest_run_us(micros(service.longest_run));
    to.set_slots(service.slots);
    to.set_max_body(service.max_body);
    to.set_key_retention_us(micros(service.key_retention));
    to.set_rate(service.rate.0);
}

fn write_class(class: &Class, mut to: wire::class::Builder<'_>) {
    to.set_name(class.name.as_str());
    write_size(class.size, to.reborrow().init_size());
    to.set_run_time_us(micros(class.run_time));
    to.set_deadline_us(micros(class.deadline));
    to.set_urgency(urgency(class.urgency));
    to.set_checkpoint(class.checkpoint);
    to.set_attempts(class.attempts);
    to.set_service(class.service);
}

fn write_team(team: &Team, mut to: wire::team::Builder<'_>) {
    to.set_name(team.name.as_str());
    to.set_weight(team.weight);
    write_size(team.quota, to.reborrow().init_quota());
    to.set_borrow(team.borrow);
}

fn write_target(target: &Target, mut to: wire::target::Builder<'_>) {
    to.set_name(target.name.as_str());
    to.set_share(target.share.as_f64());
    to.set_penalty(target.penalty.0);
    let goal = to.init_goal();
    match &target.goal {
        Goal::Answer { service, within } => {
            let mut answer = goal.init_answer();
            answer.set_service(service.as_str());
            answer.set_within_us(micros(*within));
        }
        Goal::Deadline { class } => goal.init_deadline().set_class(class.as_str()),
    }
}

fn write_domain(domain: &Domain, mut to: wire::domain::Builder<'_>) {
    to.set_name(domain.name.as_str());
    to.set_workers(domain.workers);
    write_size(domain.worker, to.reborrow().init_worker());
    to.set_rack(domain.rack);
    to.set_executors(domain.executors);
}

fn write_policy(policy: &Policy, mut to: wire::policy::Builder<'_>) {
    to.set_retry_budget(policy.retry_budget.as_f64());
    to.set_eviction_budget(policy.eviction_budget.as_f64());
    to.set_size_margin(policy.size_margin.as_f64());
    to.set_task_lease_us(micros(policy.task_lease));
    to.set_max_queue(policy.max_queue);
}

fn write_size(size: Size, mut to: wire::size::Builder<'_>) {
    to.set_cpu_millis(size.cpu().0);
    to.set_memory_bytes(size.memory().0);
    to.set_accelerators(size.accel().0);
}

fn urgency(urgency: Urgency) -> wire::Urgency {
    match urgency {
        Urgency::Low => wire::Urgency::Low,
        Urgency::Normal => wire::Urgency::Normal,
        Urgency::High => wire::Urgency::High,
        Urgency::Urgent => wire::Urgency::Urgent,
    }
}

fn micros(span: Span) -> u64 {
    u64::try_from(Duration::from(span).as_micros()).unwrap_or(u64::MAX)
}

fn length(entries: usize) -> u32 {
    u32::try_from(entries).unwrap_or(u32::MAX)
}
