//! Problems with their locations, and the report of all problems.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, Severity, SourceCode};

use super::kind::ProblemKind;
use crate::source::Location;

/// A problem with its file, line and column.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    kind: ProblemKind,
    location: Location,
}

impl Problem {
    pub(crate) fn new(kind: ProblemKind, location: Location) -> Self {
        Self { kind, location }
    }

    /// Returns the kind of the problem.
    pub fn kind(&self) -> &ProblemKind {
        &self.kind
    }

    /// Returns the name of the file that has the problem.
    pub fn file(&self) -> &str {
        self.location.source.name()
    }

    /// Returns the line, counted from 1.
    pub fn line(&self) -> usize {
        self.location.source.position(self.location.span.start).0
    }

    /// Returns the column in characters, counted from 1.
    pub fn column(&self) -> usize {
        self.location.source.position(self.location.span.start).1
    }

    pub(crate) fn sort_key(&self) -> (&str, usize) {
        (self.file(), self.location.span.start)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.kind.fmt(f)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind.code()))
    }

    fn severity(&self) -> Option<Severity> {
        self.kind.is_warning().then_some(Severity::Warning)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.hint().map(|hint| Box::new(hint) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&*self.location.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.location.span.clone();
        Some(Box::new(std::iter::once(LabeledSpan::underline(span))))
    }
}

/// All problems of a configuration, sorted by file and offset.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    problems: Vec<Problem>,
}

impl Report {
    pub(crate) fn new(mut problems: Vec<Problem>) -> Self {
        problems.sort_by(|left, right| left.sort_key().cmp(&right.sort_key()));
        Self { problems }
    }

    /// Returns the problems, of which there is at least one.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.problems.len() {
            1 => f.write_str("1 error found"),
            count => write!(f, "{count} errors found"),
        }
    }
}

impl std::error::Error for Report {}

impl Diagnostic for Report {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new("check"))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.problems.iter().map(|problem| problem as &dyn Diagnostic)))
    }
}
