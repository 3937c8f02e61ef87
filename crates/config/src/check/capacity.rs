//! Checking the declared capacity against declared rates, task sizes and quotas.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::{Config, Domain, Service};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use super::Checker;
use crate::key::{Key, Section};
use crate::problem::ProblemKind;

const MS_PER_SECOND: f64 = 1_000.0;

impl Checker<'_> {
    /// Reports rates, task sizes and quotas that exceed the capacity of the domains.
    ///
    /// Checks nothing while a domain is incomplete, because the total capacity would
    /// then be too small.
    pub(super) fn check_capacity(&mut self, config: &Config) {
        if config.domains.len() != self.entry_names(Section::Domain).count() {
            return;
        }
        self.check_executors(config);
        self.check_task_sizes(config);
        self.check_quotas(config);
    }

    fn check_executors(&mut self, config: &Config) {
        let required =
            config.services.values().map(|service| (required_executors(service), service));
        let Some((share, largest)) =
            required.clone().max_by(|left, right| left.0.total_cmp(&right.0))
        else {
            return;
        };
        let needed = required.map(|(executors, _)| executors).sum::<f64>().ceil() as u64;
        let declared = config.domains.values().map(|domain| u64::from(domain.executors)).sum();
        if needed <= declared {
            return;
        }
        let service = largest.name.to_string();
        let key = Key::field(Section::Service, &service, "rate");
        let kind =
            ProblemKind::TooFewExecutors { needed, declared, service, share: share.ceil() as u64 };
        self.report_at(kind, &key);
    }

    fn check_task_sizes(&mut self, config: &Config) {
        let fits = |domain: &Domain, size: Size| domain.workers > 0 && size.fits(domain.worker);
        for class in config.classes.values() {
            if config.domains.values().any(|domain| fits(domain, class.size)) {
                continue;
            }
            let class_name = class.name.to_string();
            let key = Key::field(Section::Class, &class_name, "");
            self.report_at(ProblemKind::TaskTooLarge { class: class_name, size: class.size }, &key);
        }
    }

    /// Reports the team with whose quota the sum of the quotas first exceeds all workers.
    fn check_quotas(&mut self, config: &Config) {
        let capacity =
            config.domains.values().map(domain_size).fold(Size::ZERO, |sum, size| sum + size);
        let mut sum = Size::ZERO;
        let mut first_exceeding = None;
        for team in config.teams.values() {
            let fit_before = sum.fits(capacity);
            sum += team.quota;
            if fit_before && !sum.fits(capacity) {
                first_exceeding = Some(&team.name);
            }
        }
        if let Some(team) = first_exceeding {
            let key = Key::field(Section::Team, team.as_str(), "");
            self.report_at(ProblemKind::QuotasTooLarge { quotas: sum, capacity }, &key);
        }
    }
}

/// Returns the number of executors that the service needs when every call at its declared
/// rate takes `longest_run`.
fn required_executors(service: &Service) -> f64 {
    let run_secs = Span::as_ms_f64(service.longest_run) / MS_PER_SECOND;
    service.rate.0 * run_secs / f64::from(service.slots)
}

/// Returns the total size of the workers of a domain.
fn domain_size(domain: &Domain) -> Size {
    let workers = u64::from(domain.workers);
    let worker = domain.worker;
    Size::new(
        Cpu(worker.cpu().0.saturating_mul(workers)),
        Memory(worker.memory().0.saturating_mul(workers)),
        Accel(worker.accel().0.saturating_mul(workers)),
    )
}
