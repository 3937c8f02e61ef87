//! Checking that the declared capacity can carry what is declared to run on it.

use sycamorerill_core::clock::Span;
use sycamorerill_core::model::{Config, Domain, Service};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use super::Check;
use crate::key::{Key, Section};
use crate::problem::Fault;

/// Milliseconds in one second.
const MS_PER_SECOND: f64 = 1_000.0;

impl Check<'_> {
    /// Reports rates, tasks and quotas that the domains cannot hold.
    ///
    /// Does nothing while a domain is incomplete, since every total would then
    /// be too small.
    pub(super) fn capacity(&mut self, config: &Config) {
        if config.domains.len() != self.names(Section::Domain).count() {
            return;
        }
        self.executors(config);
        self.workers(config);
        self.quotas(config);
    }

    fn executors(&mut self, config: &Config) {
        let needs = config.services.values().map(|service| (executors_of(service), service));
        let Some((share, largest)) = needs.clone().max_by(|left, right| left.0.total_cmp(&right.0))
        else {
            return;
        };
        let needed = needs.map(|(need, _)| need).sum::<f64>().ceil() as u64;
        let declared = config.domains.values().map(|domain| u64::from(domain.executors)).sum();
        if needed <= declared {
            return;
        }
        let service = largest.name.to_string();
        let key = Key::field(Section::Service, &service, "rate");
        let fault = Fault::Executors { needed, declared, service, share: share.ceil() as u64 };
        self.problem_at(fault, &key);
    }

    fn workers(&mut self, config: &Config) {
        let holds = |domain: &Domain, size: Size| domain.workers > 0 && size.fits(domain.worker);
        for class in config.classes.values() {
            if config.domains.values().any(|domain| holds(domain, class.size)) {
                continue;
            }
            let class_name = class.name.to_string();
            let key = Key::field(Section::Class, &class_name, "");
            self.problem_at(Fault::Worker { class: class_name, size: class.size }, &key);
        }
    }

    /// Reports the team at which the sum of the quotas grows past the workers.
    fn quotas(&mut self, config: &Config) {
        let capacity =
            config.domains.values().map(size_of).fold(Size::ZERO, |sum, size| sum + size);
        let mut sum = Size::ZERO;
        let mut first = None;
        for team in config.teams.values() {
            let fitted = sum.fits(capacity);
            sum += team.quota;
            if fitted && !sum.fits(capacity) {
                first = Some(&team.name);
            }
        }
        if let Some(team) = first {
            let key = Key::field(Section::Team, team.as_str(), "");
            self.problem_at(Fault::Quotas { quotas: sum, capacity }, &key);
        }
    }
}

/// Returns the number of executors that the declared rate keeps busy at the longest run.
fn executors_of(service: &Service) -> f64 {
    let run = Span::as_ms_f64(service.longest_run) / MS_PER_SECOND;
    service.rate.0 * run / f64::from(service.slots)
}

fn size_of(domain: &Domain) -> Size {
    let workers = u64::from(domain.workers);
    let worker = domain.worker;
    Size::new(
        Cpu(worker.cpu().0.saturating_mul(workers)),
        Memory(worker.memory().0.saturating_mul(workers)),
        Accel(worker.accel().0.saturating_mul(workers)),
    )
}
