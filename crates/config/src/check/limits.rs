//! Checking declared limits against each other.

use sycamorerill_core::model::{Class, Config, Service, Target};

use super::Checker;
use crate::key::{Key, Section};
use crate::problem::ProblemKind;

impl Checker<'_> {
    /// Reports classes that no team may run, keys that expire before their call does, and targets
    /// that cannot be missed.
    pub(super) fn check_limits(&mut self, config: &Config) {
        self.check_class_quotas(config);
        for service in config.services.values() {
            self.check_key_retention(service);
        }
        for target in config.targets.values() {
            self.check_target_share(target);
        }
    }

    /// Reports classes with tasks that exceed the quota of every team.
    ///
    /// A team that may borrow runs tasks beyond its quota. Checks nothing while a team is
    /// incomplete, because that team might run the class.
    fn check_class_quotas(&mut self, config: &Config) {
        let is_incomplete = config.teams.len() != self.entry_names(Section::Team).count();
        if is_incomplete || config.teams.is_empty() {
            return;
        }
        let may_run = |class: &Class| {
            config.teams.values().any(|team| team.borrow || class.size.fits(team.quota))
        };
        for class in config.classes.values().filter(|class| !may_run(class)) {
            let name = class.name.to_string();
            let key = Key::field(Section::Class, &name, "");
            self.report_at(ProblemKind::TaskExceedsQuotas { class: name, size: class.size }, &key);
        }
    }

    /// Reports a key retention that ends before the deadline of a non-idempotent call: a caller
    /// that waits for the deadline and repeats the call would have it run twice.
    fn check_key_retention(&mut self, service: &Service) {
        if service.idempotent || service.key_retention >= service.deadline {
            return;
        }
        let kind = ProblemKind::RetentionTooShort {
            service: service.name.to_string(),
            retention: service.key_retention,
            deadline: service.deadline,
        };
        let key = Key::field(Section::Service, service.name.as_str(), "key_retention");
        self.report_at(kind, &key);
    }

    fn check_target_share(&mut self, target: &Target) {
        if target.share.as_f64() > 0.0 {
            return;
        }
        let key = Key::field(Section::Target, target.name.as_str(), "share");
        self.report_at(ProblemKind::TargetWithoutShare { target: target.name.to_string() }, &key);
    }
}
