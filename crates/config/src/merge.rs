//! Merging the files of a folder in the order of their names.

use std::collections::BTreeMap;

use crate::document::{Document, Leaf, Value};
use crate::key::Key;
use crate::problem::Problem;
use crate::source::Place;

/// Settings of all files, each with the file that had the last word.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// Entries with the place of their first mention.
    pub(crate) entries: BTreeMap<Key, Place>,
    /// The last setting of each key.
    pub(crate) settings: BTreeMap<Key, Leaf>,
    /// Settings that a later file replaced.
    pub(crate) replaced: Vec<Leaf>,
    pub(crate) problems: Vec<Problem>,
}

/// One merged setting, for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Key of the setting.
    pub key: Key,
    /// Value as written.
    pub value: String,
    /// Name of the file that set it last.
    pub file: String,
    /// Line in this file, counted from 1.
    pub line: usize,
}

impl Merged {
    pub(crate) fn new(problems: Vec<Problem>) -> Self {
        Self { problems, ..Self::default() }
    }

    /// Adds a file whose name comes after those of all files so far.
    pub(crate) fn add(&mut self, document: Document) {
        self.problems.extend(document.problems);
        for (key, place) in document.entries {
            self.entries.entry(key).or_insert(place);
        }
        for leaf in document.leaves {
            if let Some(earlier) = self.settings.insert(leaf.key.clone(), leaf) {
                self.replaced.push(earlier);
            }
        }
    }

    /// Returns the merged settings in the order of their keys.
    pub fn settings(&self) -> impl Iterator<Item = Setting> + '_ {
        self.settings.values().map(setting)
    }
}

fn setting(leaf: &Leaf) -> Setting {
    let place = &leaf.key_place;
    Setting {
        key: leaf.key.clone(),
        value: print(&leaf.value),
        file: place.source.name().to_owned(),
        line: place.source.position(place.span.start).0,
    }
}

fn print(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("{text:?}"),
        Value::Number(number) => number.clone(),
        Value::Flag(flag) => flag.to_string(),
        Value::Other(name) => format!("({name})"),
    }
}
