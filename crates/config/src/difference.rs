//! Comparison of two configurations.

use std::collections::BTreeMap;
use std::fmt::Display;

use sycamorerill_core::model::{Class, Config, Domain, Goal, Policy, Service, Target, Team};
use sycamorerill_core::size::Size;

use crate::key::{Key, Section};

/// Returns the keys in which two configurations differ, sorted.
///
/// An entry that only one configuration has is returned as one key without a field.
/// Versions are not compared.
pub fn difference(left: &Config, right: &Config) -> Vec<Key> {
    let mut keys = Vec::new();
    compare_entries(Section::Service, &left.services, &right.services, compare_service, &mut keys);
    compare_entries(Section::Class, &left.classes, &right.classes, compare_class, &mut keys);
    compare_entries(Section::Team, &left.teams, &right.teams, compare_team, &mut keys);
    compare_entries(Section::Target, &left.targets, &right.targets, compare_target, &mut keys);
    compare_entries(Section::Domain, &left.domains, &right.domains, compare_domain, &mut keys);
    let mut fields = Fields { section: Section::Policy, name: "", keys: &mut keys };
    compare_policy(&left.policy, &right.policy, &mut fields);
    keys.sort();
    keys
}

/// Collector of the fields of one entry that differ.
struct Fields<'a> {
    section: Section,
    name: &'a str,
    keys: &'a mut Vec<Key>,
}

impl Fields<'_> {
    fn compare<T: PartialEq>(&mut self, field: &str, left: T, right: T) {
        if left != right {
            self.keys.push(Key::field(self.section, self.name, field));
        }
    }

    fn compare_size(&mut self, table: &str, left: Size, right: Size) {
        self.compare(&format!("{table}.cpu"), left.cpu(), right.cpu());
        self.compare(&format!("{table}.memory"), left.memory(), right.memory());
        self.compare(&format!("{table}.accel"), left.accel(), right.accel());
    }
}

fn compare_entries<K: Ord + Display, V>(
    section: Section,
    left: &BTreeMap<K, V>,
    right: &BTreeMap<K, V>,
    compare: fn(&V, &V, &mut Fields<'_>),
    keys: &mut Vec<Key>,
) {
    for (name, value) in left {
        let name_text = name.to_string();
        match right.get(name) {
            Some(other) => compare(value, other, &mut Fields { section, name: &name_text, keys }),
            None => keys.push(Key::entry(section, &name_text)),
        }
    }
    let added = right.keys().filter(|name| !left.contains_key(name));
    keys.extend(added.map(|name| Key::entry(section, &name.to_string())));
}

fn compare_service(left: &Service, right: &Service, fields: &mut Fields<'_>) {
    fields.compare("team", &left.team, &right.team);
    fields.compare("urgency", left.urgency, right.urgency);
    fields.compare("idempotent", left.idempotent, right.idempotent);
    fields.compare("deadline", left.deadline, right.deadline);
    fields.compare("longest_run", left.longest_run, right.longest_run);
    fields.compare("slots", left.slots, right.slots);
    fields.compare("max_body", left.max_body, right.max_body);
    fields.compare("key_retention", left.key_retention, right.key_retention);
    fields.compare("rate", left.rate, right.rate);
}

fn compare_class(left: &Class, right: &Class, fields: &mut Fields<'_>) {
    fields.compare_size("size", left.size, right.size);
    fields.compare("run_time", left.run_time, right.run_time);
    fields.compare("deadline", left.deadline, right.deadline);
    fields.compare("urgency", left.urgency, right.urgency);
    fields.compare("checkpoint", left.checkpoint, right.checkpoint);
    fields.compare("attempts", left.attempts, right.attempts);
    fields.compare("service", left.service, right.service);
}

fn compare_team(left: &Team, right: &Team, fields: &mut Fields<'_>) {
    fields.compare("weight", left.weight, right.weight);
    fields.compare_size("quota", left.quota, right.quota);
    fields.compare("borrow", left.borrow, right.borrow);
}

fn compare_target(left: &Target, right: &Target, fields: &mut Fields<'_>) {
    let (left_goal, right_goal) = (goal_fields(&left.goal), goal_fields(&right.goal));
    fields.compare("service", left_goal.0, right_goal.0);
    fields.compare("within", left_goal.1, right_goal.1);
    fields.compare("class", left_goal.2, right_goal.2);
    fields.compare("share", left.share, right.share);
    fields.compare("penalty", left.penalty, right.penalty);
}

/// Returns the values of the fields `service`, `within` and `class`.
fn goal_fields(
    goal: &Goal,
) -> (Option<&str>, Option<sycamorerill_core::clock::Span>, Option<&str>) {
    match goal {
        Goal::Answer { service, within } => (Some(service.as_str()), Some(*within), None),
        Goal::Deadline { class } => (None, None, Some(class.as_str())),
    }
}

fn compare_domain(left: &Domain, right: &Domain, fields: &mut Fields<'_>) {
    fields.compare("workers", left.workers, right.workers);
    fields.compare_size("worker", left.worker, right.worker);
    fields.compare("rack", left.rack, right.rack);
    fields.compare("executors", left.executors, right.executors);
}

fn compare_policy(left: &Policy, right: &Policy, fields: &mut Fields<'_>) {
    fields.compare("retry_budget", left.retry_budget, right.retry_budget);
    fields.compare("eviction_budget", left.eviction_budget, right.eviction_budget);
    fields.compare("size_margin", left.size_margin, right.size_margin);
    fields.compare("task_lease", left.task_lease, right.task_lease);
    fields.compare("max_queue", left.max_queue, right.max_queue);
}
