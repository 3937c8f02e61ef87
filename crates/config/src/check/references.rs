//! Checking that entries fit those that they name.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::{Class, Config, Goal, Service, Target};

use super::Check;
use super::entry::Entry;
use super::fields::{self, Kind};
use crate::document::{Leaf, Value};
use crate::key::{Key, Section};
use crate::problem::Fault;
use crate::similar;

impl Check<'_> {
    /// Reports names that are not declared and targets without a clear goal.
    pub(super) fn references(&mut self) {
        let merged = self.merged;
        for leaf in merged.settings.values() {
            self.reference(leaf);
        }
        for (key, place) in &merged.entries {
            let entry = Entry::new(merged, key.section, &key.name);
            if key.section == Section::Target && !has_one_goal(&entry) {
                self.problem(Fault::Goal { name: key.name.clone() }, place.clone());
            }
        }
    }

    fn reference(&mut self, leaf: &Leaf) {
        let field = fields::find(leaf.key.section, &leaf.key.field);
        let Some(Kind::Reference(section)) = field.map(|field| field.kind) else { return };
        let Value::Text(name) = &leaf.value else { return };
        if self.merged.entries.contains_key(&Key::entry(section, name)) {
            return;
        }
        let meant = similar::closest(name, self.names(section)).map(str::to_owned);
        let fault = Fault::Dangling { key: leaf.key.clone(), section, name: name.clone(), meant };
        self.problem(fault, leaf.value_place.clone());
    }

    /// Reports deadlines that are shorter than what must run before them.
    pub(super) fn deadlines(&mut self, config: &Config) {
        for service in config.services.values() {
            self.service_deadline(service);
        }
        for class in config.classes.values() {
            self.class_deadline(class);
        }
        for target in config.targets.values() {
            self.target_goal(config, target);
        }
    }

    fn service_deadline(&mut self, service: &Service) {
        let key = Key::field(Section::Service, service.name.as_str(), "deadline");
        self.deadline(key, service.deadline, service.longest_run);
    }

    fn class_deadline(&mut self, class: &Class) {
        let key = Key::field(Section::Class, class.name.as_str(), "deadline");
        self.deadline(key, class.deadline, class.run_time);
    }

    fn target_goal(&mut self, config: &Config, target: &Target) {
        let name = target.name.as_str();
        match &target.goal {
            Goal::Answer { service, within } => {
                let Some(service) = config.services.get(service) else { return };
                // A smaller share leaves room for the longest runs.
                if target.share.part() >= 1.0 {
                    let key = Key::field(Section::Target, name, "within");
                    self.deadline(key, *within, service.longest_run);
                }
            }
            Goal::Deadline { class } => {
                let ends = config.classes.get(class).is_none_or(|class| !class.service);
                if !ends {
                    let key = Key::field(Section::Target, name, "class");
                    let class = class.to_string();
                    self.problem_at(Fault::Endless { target: name.to_owned(), class }, &key);
                }
            }
        }
    }

    fn deadline(&mut self, key: Key, deadline: Span, run: Span) {
        if deadline < run {
            self.problem_at(Fault::Deadline { key: key.clone(), deadline, run }, &key);
        }
    }
}

fn has_one_goal(target: &Entry<'_>) -> bool {
    let answer = target.has("service") && target.has("within");
    let any_answer = target.has("service") || target.has("within");
    match target.has("class") {
        true => !any_answer,
        false => answer,
    }
}
