//! Parsing one file into settings with their locations.

use std::ops::Range;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use crate::key::{Key, Section};
use crate::problem::{Problem, ProblemKind};
use crate::source::{Location, Source};

/// Message of the `toml` parser for a key that is defined twice.
const DUPLICATE_KEY: &str = "duplicate key";

/// TOML value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Text(String),
    /// Integer or float, as written.
    Number(String),
    Flag(bool),
    /// Value of a type that no key accepts, such as an array, with the name of the type.
    Other(&'static str),
}

impl Value {
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Self::Text(_) => "string",
            Self::Number(_) => "number",
            Self::Flag(_) => "boolean",
            Self::Other(name) => name,
        }
    }
}

/// One setting of a file, with the locations of its key and its value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ParsedSetting {
    pub(crate) key: Key,
    pub(crate) value: Value,
    pub(crate) key_location: Location,
    pub(crate) value_location: Location,
}

/// Entries, settings and problems of one file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    /// Entries with the locations of their names.
    pub(crate) entries: Vec<(Key, Location)>,
    pub(crate) settings: Vec<ParsedSetting>,
    pub(crate) problems: Vec<Problem>,
}

/// Parses a file of a folder; parts that cannot be parsed become problems, the rest is kept.
pub(crate) fn parse(source: &Arc<Source>) -> Document {
    read_document(source, Reader::read_section)
}

/// Parses a file of jobs; each entry is named by the number of its job, counted from 1.
pub(crate) fn parse_jobs(source: &Arc<Source>) -> Document {
    read_document(source, Reader::read_jobs)
}

/// Method of [`Reader`] that reads one top-level item of a file.
type ReadItem<'a> = fn(&mut Reader<'a>, &Spanned<DeString<'_>>, &Spanned<DeValue<'_>>);

fn read_document<'a>(source: &'a Arc<Source>, read_item: ReadItem<'a>) -> Document {
    let (root, errors) = DeTable::parse_recoverable(source.text());
    let mut reader = Reader { source, document: Document::default() };
    for error in errors {
        reader.report_syntax_error(&error);
    }
    for (key, value) in root.get_ref() {
        read_item(&mut reader, key, value);
    }
    reader.document
}

struct Reader<'a> {
    source: &'a Arc<Source>,
    document: Document,
}

impl Reader<'_> {
    fn location(&self, span: Range<usize>) -> Location {
        Location::new(self.source, span)
    }

    fn report(&mut self, kind: ProblemKind, span: Range<usize>) {
        let location = self.location(span);
        self.document.problems.push(Problem::new(kind, location));
    }

    fn report_syntax_error(&mut self, error: &toml::de::Error) {
        let kind = match error.message() {
            DUPLICATE_KEY => ProblemKind::DuplicateKey,
            message => ProblemKind::Syntax(message.to_owned()),
        };
        self.report(kind, error.span().unwrap_or_default());
    }

    fn read_section(&mut self, key: &Spanned<DeString<'_>>, value: &Spanned<DeValue<'_>>) {
        let Some(section) = Section::find(key.get_ref()) else {
            let kind = ProblemKind::UnknownSection {
                name: key.get_ref().to_string(),
                suggestion: Section::suggest(key.get_ref()),
            };
            return self.report(kind, key.span());
        };
        let Some(table) = self.expect_table(key, value) else { return };
        if !section.is_named() {
            self.document.entries.push((Key::entry(section, ""), self.location(key.span())));
            return self.read_fields(section, "", "", table);
        }
        for (name, value) in table {
            self.read_entry(section, name, value);
        }
    }

    fn read_jobs(&mut self, key: &Spanned<DeString<'_>>, value: &Spanned<DeValue<'_>>) {
        if key.get_ref() != Section::Job.as_str() {
            let name = key.get_ref().to_string();
            let suggestion = Some(Section::Job.as_str());
            return self.report(ProblemKind::UnknownSection { name, suggestion }, key.span());
        }
        let DeValue::Array(jobs) = value.get_ref() else {
            let found = value.get_ref().type_str();
            return self.report(ProblemKind::NotArray { found }, key.span());
        };
        for (number, job) in (1..).zip(jobs.iter()) {
            let Some(table) = self.expect_table(key, job) else { continue };
            let name = format!("{number}");
            let location = self.location(job.span());
            self.document.entries.push((Key::entry(Section::Job, &name), location));
            self.read_fields(Section::Job, &name, "", table);
        }
    }

    fn read_entry(
        &mut self,
        section: Section,
        name: &Spanned<DeString<'_>>,
        value: &Spanned<DeValue<'_>>,
    ) {
        let Some(table) = self.expect_table(name, value) else { return };
        if let Err(error) = section.check_name(name.get_ref()) {
            self.report(ProblemKind::InvalidName(error), name.span());
        }
        let key = Key::entry(section, name.get_ref());
        self.document.entries.push((key, self.location(name.span())));
        self.read_fields(section, name.get_ref(), "", table);
    }

    fn read_fields(&mut self, section: Section, name: &str, prefix: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let field = match prefix {
                "" => key.get_ref().to_string(),
                _ => format!("{prefix}.{}", key.get_ref()),
            };
            if let DeValue::Table(inner) = value.get_ref() {
                self.read_fields(section, name, &field, inner);
                continue;
            }
            if is_unparsed(value.get_ref()) {
                continue;
            }
            let setting = ParsedSetting {
                key: Key::field(section, name, &field),
                value: read_value(value.get_ref()),
                key_location: self.location(key.span()),
                value_location: self.location(value.span()),
            };
            self.document.settings.push(setting);
        }
    }

    fn expect_table<'v, 'i>(
        &mut self,
        key: &Spanned<DeString<'_>>,
        value: &'v Spanned<DeValue<'i>>,
    ) -> Option<&'v DeTable<'i>> {
        if let DeValue::Table(table) = value.get_ref() {
            return Some(table);
        }
        let found = value.get_ref().type_str();
        self.report(ProblemKind::NotTable { name: key.get_ref().to_string(), found }, key.span());
        None
    }
}

/// Returns whether the parser could not parse a value and has reported an error for it.
fn is_unparsed(value: &DeValue<'_>) -> bool {
    match value {
        DeValue::Integer(number) => number.as_str().is_empty(),
        DeValue::Float(number) => number.as_str().is_empty(),
        _ => false,
    }
}

fn read_value(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::Text(text.to_string()),
        DeValue::Integer(number) => Value::Number(number.to_string()),
        DeValue::Float(number) => Value::Number(number.to_string()),
        DeValue::Boolean(flag) => Value::Flag(*flag),
        other => Value::Other(other.type_str()),
    }
}
