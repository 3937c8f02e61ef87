//! Checking a merged folder and building the model from it.

mod build;
mod capacity;
mod entry;
mod fields;
mod jobs;
mod references;
mod value;

use sycamorerill_core::model::Config;

use crate::key::{Key, Section};
use crate::merge::Merged;
use crate::problem::{Fault, Problem, Report};
use crate::source::Place;

impl Merged {
    /// Checks every setting, also those that a later file replaced, and builds the model.
    ///
    /// The version of the result is zero: it is given when the configuration
    /// is accepted.
    ///
    /// # Errors
    ///
    /// [`Report`] with every problem that was found.
    pub fn check(&self) -> Result<Config, Report> {
        let mut check = Check::start(self);
        let config = check.build();
        // What a broken file declares is not known, so nothing is called missing.
        if !check.problems.iter().any(|problem| problem.fault().hides_declarations()) {
            check.missing();
            check.references();
            check.deadlines(&config);
            check.capacity(&config);
        }
        match check.problems.is_empty() {
            true => Ok(config),
            false => Err(Report::new(check.problems)),
        }
    }
}

/// A check in progress.
struct Check<'a> {
    merged: &'a Merged,
    problems: Vec<Problem>,
}

impl<'a> Check<'a> {
    /// Starts a check with what is wrong with single settings.
    fn start(merged: &'a Merged) -> Self {
        let leaves = merged.replaced.iter().chain(merged.settings.values());
        let mut problems = merged.problems.clone();
        problems.extend(leaves.filter_map(value::check));
        Self { merged, problems }
    }

    fn problem(&mut self, fault: Fault, place: Place) {
        self.problems.push(Problem::new(fault, place));
    }

    /// Reports a fault at the value of a key, at its entry when the key is not set.
    fn problem_at(&mut self, fault: Fault, key: &Key) {
        let setting = self.merged.settings.get(key).map(|leaf| &leaf.value_place);
        let entry = Key::entry(key.section, &key.name);
        if let Some(place) = setting.or_else(|| self.merged.entries.get(&entry)) {
            let place = place.clone();
            self.problem(fault, place);
        }
    }

    fn names(&self, section: Section) -> impl Iterator<Item = &str> {
        let entries = self.merged.entries.keys();
        entries.filter(move |key| key.section == section).map(|key| key.name.as_str())
    }
}
