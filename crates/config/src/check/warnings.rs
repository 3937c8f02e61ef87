//! Warnings: entries that have no effect, which may be intended.

use sycamorerill_core::model::{Config, Domain, Team};

use super::Checker;
use crate::key::{Key, Section};
use crate::merge::MergedSettings;
use crate::problem::{Problem, ProblemKind};

impl MergedSettings {
    /// Returns the entries of a checked configuration that have no effect, sorted by file and
    /// offset.
    ///
    /// They are not errors, because a later file can only empty an entry, not remove it.
    pub fn warnings(&self, config: &Config) -> Vec<Problem> {
        let mut checker = Checker { merged: self, problems: Vec::new() };
        for domain in config.domains.values().filter(|domain| is_empty(domain)) {
            let name = domain.name.to_string();
            let key = Key::field(Section::Domain, &name, "");
            checker.report_at(ProblemKind::EmptyDomain { domain: name }, &key);
        }
        for team in config.teams.values().filter(|team| is_idle(config, team)) {
            let name = team.name.to_string();
            let key = Key::field(Section::Team, &name, "");
            checker.report_at(ProblemKind::IdleTeam { team: name, quota: team.quota }, &key);
        }
        let mut warnings = checker.problems;
        warnings.sort_by(|left, right| left.sort_key().cmp(&right.sort_key()));
        warnings
    }
}

fn is_empty(domain: &Domain) -> bool {
    domain.workers == 0 && domain.executors == 0
}

/// Returns whether nothing can run for the team: it has no service, and its quota has no cores or
/// no memory and holds no task of a declared class.
fn is_idle(config: &Config, team: &Team) -> bool {
    let has_service = config.services.values().any(|service| service.team == team.name);
    let lacks_size = team.quota.cpu().0 == 0 || team.quota.memory().0 == 0;
    let may_run = team.borrow || config.classes.values().any(|class| class.size.fits(team.quota));
    !has_service && lacks_size && !may_run
}
