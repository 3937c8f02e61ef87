//! Merging the files of a folder in the order of their names.

use std::collections::BTreeMap;

use crate::document::{Document, ParsedSetting, Value};
use crate::key::Key;
use crate::problem::Problem;
use crate::source::Location;

/// Settings of all files; for each key, the value of the last file that sets it.
#[derive(Clone, Debug, Default)]
pub struct MergedSettings {
    /// Entries with the location of their first declaration.
    pub(crate) entries: BTreeMap<Key, Location>,
    /// Setting of each key in the last file that sets it.
    pub(crate) settings: BTreeMap<Key, ParsedSetting>,
    /// Settings that a later file replaced, kept because they are checked as well.
    pub(crate) replaced: Vec<ParsedSetting>,
    pub(crate) problems: Vec<Problem>,
}

/// One merged setting, for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Key, such as `service.orders.deadline`.
    pub key: Key,
    /// Value in TOML notation.
    pub value: String,
    /// Name of the file that set it last.
    pub file: String,
    /// Line of the key in this file, counted from 1.
    pub line: usize,
}

impl MergedSettings {
    pub(crate) fn new(problems: Vec<Problem>) -> Self {
        Self { problems, ..Self::default() }
    }

    /// Adds the settings of a file whose name sorts after those of all files added before.
    pub(crate) fn add(&mut self, document: Document) {
        self.problems.extend(document.problems);
        for (key, location) in document.entries {
            self.entries.entry(key).or_insert(location);
        }
        for setting in document.settings {
            if let Some(earlier) = self.settings.insert(setting.key.clone(), setting) {
                self.replaced.push(earlier);
            }
        }
    }

    /// Returns the merged settings, sorted by key.
    pub fn settings(&self) -> impl Iterator<Item = Setting> + '_ {
        self.settings.values().map(display_setting)
    }
}

fn display_setting(setting: &ParsedSetting) -> Setting {
    let location = &setting.key_location;
    Setting {
        key: setting.key.clone(),
        value: format_value(&setting.value),
        file: location.source.name().to_owned(),
        line: location.source.position(location.span.start).0,
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("{text:?}"),
        Value::Number(number) => number.clone(),
        Value::Flag(flag) => flag.to_string(),
        Value::Other(name) => format!("({name})"),
    }
}
