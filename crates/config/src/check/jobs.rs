//! Checking jobs and building their submissions.

use sycamorerill_core::api::{Submission, TaskSize};
use sycamorerill_core::clock::Span;

use super::Checker;
use super::entry::Entry;
use crate::key::Section;
use crate::merge::MergedSettings;
use crate::problem::Report;

impl MergedSettings {
    /// Checks the jobs of a file and returns their submissions in the order of the file.
    ///
    /// # Errors
    ///
    /// [`Report`] with every problem found.
    pub(crate) fn check_jobs(&self) -> Result<Vec<Submission>, Report> {
        let mut checker = Checker::new(self);
        checker.check_missing_keys();
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, location)| location.span.start);
        let entries = entries.into_iter().map(|(key, _)| Entry::new(self, Section::Job, &key.name));
        let submissions = entries.filter_map(|entry| build_submission(&entry)).collect();
        match checker.problems.is_empty() {
            true => Ok(submissions),
            false => Err(Report::new(checker.problems)),
        }
    }
}

fn build_submission(entry: &Entry<'_>) -> Option<Submission> {
    Some(Submission {
        name: entry.text("name"),
        class: entry.text("class")?,
        team: entry.text("team")?,
        urgency: entry.text("urgency"),
        tasks: entry.value("tasks")?,
        deadline_ms: entry.value("deadline").map(Span::as_ms),
        size: declared_size(entry),
        run_ms: entry.value("run_time").map(Span::as_ms),
    })
}

fn declared_size(entry: &Entry<'_>) -> Option<TaskSize> {
    Some(TaskSize {
        cpu: entry.text("size.cpu")?,
        memory: entry.text("size.memory")?,
        accel: entry.text("size.accel").unwrap_or_else(|| "0".to_owned()),
    })
}
