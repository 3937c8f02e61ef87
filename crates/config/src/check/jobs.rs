//! Checking jobs and building their submissions.

use sycamorerill_core::api::{Submission, TaskSize};
use sycamorerill_core::clock::Span;

use super::Check;
use super::entry::Entry;
use crate::key::Section;
use crate::merge::Merged;
use crate::problem::Report;

impl Merged {
    /// Checks jobs and returns their submissions in the order of the file.
    pub(crate) fn check_jobs(&self) -> Result<Vec<Submission>, Report> {
        let mut check = Check::start(self);
        check.missing();
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, place)| place.span.start);
        let entries = entries.into_iter().map(|(key, _)| Entry::new(self, Section::Job, &key.name));
        let submissions = entries.filter_map(|entry| submission(&entry)).collect();
        match check.problems.is_empty() {
            true => Ok(submissions),
            false => Err(Report::new(check.problems)),
        }
    }
}

fn submission(entry: &Entry<'_>) -> Option<Submission> {
    Some(Submission {
        name: entry.text("name"),
        class: entry.text("class")?,
        team: entry.text("team")?,
        urgency: entry.text("urgency"),
        tasks: entry.read("tasks")?,
        deadline_ms: entry.read("deadline").map(Span::as_ms),
        size: size(entry),
        run_ms: entry.read("run_time").map(Span::as_ms),
    })
}

fn size(entry: &Entry<'_>) -> Option<TaskSize> {
    Some(TaskSize {
        cpu: entry.text("size.cpu")?,
        memory: entry.text("size.memory")?,
        accel: entry.text("size.accel").unwrap_or_else(|| "0".to_owned()),
    })
}
