//! Parsing one file into settings with their places.

use std::ops::Range;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use crate::key::{Key, Section};
use crate::problem::{Fault, Problem};
use crate::source::{Place, Source};

/// Message of the parser for a key that is defined twice.
const DUPLICATE_KEY: &str = "duplicate key";

/// Value of a setting as written.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Text(String),
    /// Integer or float, as written.
    Number(String),
    Flag(bool),
    /// A type that no key takes, by its name.
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

/// One setting of a file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Leaf {
    pub(crate) key: Key,
    pub(crate) value: Value,
    pub(crate) key_place: Place,
    pub(crate) value_place: Place,
}

/// Everything that one file declares.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    /// Entries with the place of their names.
    pub(crate) entries: Vec<(Key, Place)>,
    pub(crate) leaves: Vec<Leaf>,
    pub(crate) problems: Vec<Problem>,
}

/// Parses a file of a folder; what cannot be read is a problem, the rest is kept.
pub(crate) fn parse(source: &Arc<Source>) -> Document {
    read(source, Reader::section)
}

/// Parses a file of jobs; they are named by their number, counted from 1.
pub(crate) fn parse_jobs(source: &Arc<Source>) -> Document {
    read(source, Reader::jobs)
}

type ReadTop<'a> = fn(&mut Reader<'a>, &Spanned<DeString<'_>>, &Spanned<DeValue<'_>>);

fn read<'a>(source: &'a Arc<Source>, read_top: ReadTop<'a>) -> Document {
    let (root, errors) = DeTable::parse_recoverable(source.text());
    let mut reader = Reader { source, document: Document::default() };
    for error in errors {
        reader.syntax(&error);
    }
    for (word, value) in root.get_ref() {
        read_top(&mut reader, word, value);
    }
    reader.document
}

struct Reader<'a> {
    source: &'a Arc<Source>,
    document: Document,
}

impl Reader<'_> {
    fn place(&self, span: Range<usize>) -> Place {
        Place::new(self.source, span)
    }

    fn problem(&mut self, fault: Fault, span: Range<usize>) {
        let place = self.place(span);
        self.document.problems.push(Problem::new(fault, place));
    }

    fn syntax(&mut self, error: &toml::de::Error) {
        let fault = match error.message() {
            DUPLICATE_KEY => Fault::Duplicate,
            message => Fault::Syntax(message.to_owned()),
        };
        self.problem(fault, error.span().unwrap_or_default());
    }

    fn section(&mut self, word: &Spanned<DeString<'_>>, value: &Spanned<DeValue<'_>>) {
        let Some(section) = Section::find(word.get_ref()) else {
            let fault = Fault::UnknownSection {
                word: word.get_ref().to_string(),
                meant: Section::suggest(word.get_ref()),
            };
            return self.problem(fault, word.span());
        };
        let Some(table) = self.table(word, value) else { return };
        if !section.is_named() {
            self.document.entries.push((Key::entry(section, ""), self.place(word.span())));
            return self.fields(section, "", "", table);
        }
        for (name, value) in table {
            self.entry(section, name, value);
        }
    }

    fn jobs(&mut self, word: &Spanned<DeString<'_>>, value: &Spanned<DeValue<'_>>) {
        if word.get_ref() != Section::Job.as_str() {
            let word_text = word.get_ref().to_string();
            let meant = Some(Section::Job.as_str());
            return self.problem(Fault::UnknownSection { word: word_text, meant }, word.span());
        }
        let DeValue::Array(jobs) = value.get_ref() else {
            let found = value.get_ref().type_str();
            return self.problem(Fault::NotArray { found }, word.span());
        };
        for (number, job) in (1..).zip(jobs.iter()) {
            let Some(table) = self.table(word, job) else { continue };
            let name = format!("{number}");
            let place = self.place(job.span());
            self.document.entries.push((Key::entry(Section::Job, &name), place));
            self.fields(Section::Job, &name, "", table);
        }
    }

    fn entry(
        &mut self,
        section: Section,
        name: &Spanned<DeString<'_>>,
        value: &Spanned<DeValue<'_>>,
    ) {
        let Some(table) = self.table(name, value) else { return };
        if let Err(error) = section.check_name(name.get_ref()) {
            self.problem(Fault::Name(error), name.span());
        }
        let key = Key::entry(section, name.get_ref());
        self.document.entries.push((key, self.place(name.span())));
        self.fields(section, name.get_ref(), "", table);
    }

    fn fields(&mut self, section: Section, name: &str, prefix: &str, table: &DeTable<'_>) {
        for (word, value) in table {
            let field = match prefix {
                "" => word.get_ref().to_string(),
                _ => format!("{prefix}.{}", word.get_ref()),
            };
            if let DeValue::Table(inner) = value.get_ref() {
                self.fields(section, name, &field, inner);
                continue;
            }
            if is_broken(value.get_ref()) {
                continue;
            }
            let leaf = Leaf {
                key: Key::field(section, name, &field),
                value: read_value(value.get_ref()),
                key_place: self.place(word.span()),
                value_place: self.place(value.span()),
            };
            self.document.leaves.push(leaf);
        }
    }

    fn table<'v, 'i>(
        &mut self,
        word: &Spanned<DeString<'_>>,
        value: &'v Spanned<DeValue<'i>>,
    ) -> Option<&'v DeTable<'i>> {
        if let DeValue::Table(table) = value.get_ref() {
            return Some(table);
        }
        let found = value.get_ref().type_str();
        self.problem(Fault::NotTable { word: word.get_ref().to_string(), found }, word.span());
        None
    }
}

/// Reports whether the parser gave up on a value, for which it has an error of its own.
fn is_broken(value: &DeValue<'_>) -> bool {
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
