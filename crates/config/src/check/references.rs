//! Checking references between entries, deadlines and the goals of targets.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::{Class, Config, Goal, Service, Target};

use super::Checker;
use super::entry::Entry;
use super::fields::{self, Kind};
use crate::document::{ParsedSetting, Value};
use crate::key::{Key, Section};
use crate::problem::ProblemKind;
use crate::similar;

impl Checker<'_> {
    /// Reports references to undeclared entries and targets without exactly one goal.
    pub(super) fn check_references(&mut self) {
        let merged = self.merged;
        for setting in merged.settings.values() {
            self.check_reference(setting);
        }
        for (key, location) in &merged.entries {
            let entry = Entry::new(merged, key.section, &key.name);
            if key.section == Section::Target && !has_one_goal(&entry) {
                self.report(ProblemKind::InvalidGoal { name: key.name.clone() }, location.clone());
            }
        }
    }

    fn check_reference(&mut self, setting: &ParsedSetting) {
        let field = fields::find(setting.key.section, &setting.key.field);
        let Some(Kind::Reference(section)) = field.map(|field| field.kind) else { return };
        let Value::Text(name) = &setting.value else { return };
        if self.merged.entries.contains_key(&Key::entry(section, name)) {
            return;
        }
        let suggestion = similar::closest(name, self.entry_names(section)).map(str::to_owned);
        let kind = ProblemKind::Undeclared {
            key: setting.key.clone(),
            section,
            name: name.clone(),
            suggestion,
        };
        self.report(kind, setting.value_location.clone());
    }

    /// Reports deadlines that are shorter than a run, and deadline targets of service classes.
    pub(super) fn check_deadlines(&mut self, config: &Config) {
        for service in config.services.values() {
            self.check_service_deadline(service);
        }
        for class in config.classes.values() {
            self.check_class_deadline(class);
        }
        for target in config.targets.values() {
            self.check_target_goal(config, target);
        }
    }

    fn check_service_deadline(&mut self, service: &Service) {
        let key = Key::field(Section::Service, service.name.as_str(), "deadline");
        self.check_deadline(key, service.deadline, service.longest_run);
    }

    fn check_class_deadline(&mut self, class: &Class) {
        let key = Key::field(Section::Class, class.name.as_str(), "deadline");
        self.check_deadline(key, class.deadline, class.run_time);
    }

    fn check_target_goal(&mut self, config: &Config, target: &Target) {
        let name = target.name.as_str();
        match &target.goal {
            Goal::Answer { service, within } => {
                let Some(service) = config.services.get(service) else { return };
                // With a share below 100%, the longest runs may miss the target.
                if target.share.as_f64() >= 1.0 {
                    let key = Key::field(Section::Target, name, "within");
                    self.check_deadline(key, *within, service.longest_run);
                }
            }
            Goal::Deadline { class } => {
                let ends = config.classes.get(class).is_none_or(|class| !class.service);
                if !ends {
                    let key = Key::field(Section::Target, name, "class");
                    let class = class.to_string();
                    self.report_at(
                        ProblemKind::ServiceClassDeadline { target: name.to_owned(), class },
                        &key,
                    );
                }
            }
        }
    }

    fn check_deadline(&mut self, key: Key, deadline: Span, run: Span) {
        if deadline < run {
            self.report_at(ProblemKind::DeadlineTooShort { key: key.clone(), deadline, run }, &key);
        }
    }
}

/// Returns whether a target sets either `service` with `within`, or `class`.
fn has_one_goal(target: &Entry<'_>) -> bool {
    let has_answer_goal = target.is_set("service") && target.is_set("within");
    let has_answer_field = target.is_set("service") || target.is_set("within");
    match target.is_set("class") {
        true => !has_answer_field,
        false => has_answer_goal,
    }
}
