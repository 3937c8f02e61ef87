//! Reading files of jobs to submit.

use std::path::Path;
use std::sync::Arc;

use sycamorerill_core::api::Submission;

use crate::document;
use crate::folder::read_source;
use crate::merge::MergedSettings;
use crate::problem::{Problem, ProblemKind, Report};
use crate::source::{Location, Source};

/// Reads a file with one `[[job]]` table for each job.
///
/// # Errors
///
/// [`Report`] with every problem found in the file.
pub fn read_jobs(path: impl AsRef<Path>) -> Result<Vec<Submission>, Report> {
    let path = path.as_ref();
    let name = path.to_string_lossy().into_owned();
    check(&read_source(path, name)?)
}

/// Parses jobs from text; `name` is the file name in reports.
///
/// # Errors
///
/// [`Report`] with every problem found in the text.
///
/// # Examples
///
/// ```
/// let text = "[[job]]\nclass = \"cut-list\"\nteam = \"warehouse\"\ntasks = 40\n";
/// let jobs = sycamorerill_config::parse_jobs("jobs.toml", text)?;
/// assert_eq!((jobs.len(), jobs[0].tasks), (1, 40));
/// # Ok::<(), sycamorerill_config::Report>(())
/// ```
pub fn parse_jobs(name: &str, text: &str) -> Result<Vec<Submission>, Report> {
    check(&Arc::new(Source::new(name.to_owned(), text.to_owned())))
}

fn check(source: &Arc<Source>) -> Result<Vec<Submission>, Report> {
    let mut document = document::parse_jobs(source);
    if document.entries.is_empty() && document.problems.is_empty() {
        document.problems.push(Problem::new(ProblemKind::NoJob, Location::new(source, 0..0)));
    }
    let mut merged = MergedSettings::new(Vec::new());
    merged.add(document);
    merged.check_jobs()
}
