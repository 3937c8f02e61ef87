//! Checking merged settings and building the configuration model from them.

mod build;
mod capacity;
mod entry;
mod fields;
mod jobs;
mod limits;
mod references;
mod value;
mod warnings;

use sycamorerill_core::model::Config;

use crate::key::{Key, Section};
use crate::merge::MergedSettings;
use crate::problem::{Problem, ProblemKind, Report};
use crate::source::Location;

impl MergedSettings {
    /// Checks every setting, including those that a later file replaced, and builds the model.
    ///
    /// The version of the result is 0; the configuration receives a version when it
    /// is accepted.
    ///
    /// # Errors
    ///
    /// [`Report`] with every problem found.
    pub fn check(&self) -> Result<Config, Report> {
        let mut checker = Checker::new(self);
        let config = checker.build();
        // A file that cannot be parsed may declare what seems to be missing.
        if !checker.problems.iter().any(|problem| problem.kind().hides_declarations()) {
            checker.check_missing_keys();
            checker.check_references();
            checker.check_deadlines(&config);
            checker.check_capacity(&config);
            checker.check_limits(&config);
        }
        match checker.problems.is_empty() {
            true => Ok(config),
            false => Err(Report::new(checker.problems)),
        }
    }
}

/// State of a check in progress.
struct Checker<'a> {
    merged: &'a MergedSettings,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    /// Creates a checker that holds the problems of parsing and of each setting by itself.
    fn new(merged: &'a MergedSettings) -> Self {
        let settings = merged.replaced.iter().chain(merged.settings.values());
        let mut problems = merged.problems.clone();
        problems.extend(settings.filter_map(value::check));
        Self { merged, problems }
    }

    fn report(&mut self, kind: ProblemKind, location: Location) {
        self.problems.push(Problem::new(kind, location));
    }

    /// Reports a problem at the value of `key`, or at its entry if the key is not set.
    fn report_at(&mut self, kind: ProblemKind, key: &Key) {
        let location = self.merged.settings.get(key).map(|setting| &setting.value_location);
        let entry = Key::entry(key.section, &key.name);
        if let Some(location) = location.or_else(|| self.merged.entries.get(&entry)) {
            let location = location.clone();
            self.report(kind, location);
        }
    }

    fn entry_names(&self, section: Section) -> impl Iterator<Item = &str> {
        let entries = self.merged.entries.keys();
        entries.filter(move |key| key.section == section).map(|key| key.name.as_str())
    }
}
