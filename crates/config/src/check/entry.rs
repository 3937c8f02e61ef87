//! Reading the settings of one entry.

use std::str::FromStr;

use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use super::Check;
use super::fields::{self, Field, Need};
use crate::document::Value;
use crate::key::{Key, Section};
use crate::merge::Merged;
use crate::problem::Fault;

/// Settings of one entry.
#[derive(Clone, Copy)]
pub(super) struct Entry<'a> {
    merged: &'a Merged,
    section: Section,
    name: &'a str,
}

impl<'a> Entry<'a> {
    pub(super) fn new(merged: &'a Merged, section: Section, name: &'a str) -> Self {
        Self { merged, section, name }
    }

    /// Returns the name of the entry, if it is a name.
    pub(super) fn name<T: FromStr>(&self) -> Option<T> {
        self.name.parse().ok()
    }

    pub(super) fn key(&self, field: &str) -> Key {
        Key::field(self.section, self.name, field)
    }

    pub(super) fn has(&self, field: &str) -> bool {
        self.merged.settings.contains_key(&self.key(field))
    }

    /// Returns a setting, nothing when it is missing or malformed.
    pub(super) fn read<T: FromStr>(&self, field: &str) -> Option<T> {
        match &self.merged.settings.get(&self.key(field))?.value {
            Value::Text(text) | Value::Number(text) => text.parse().ok(),
            Value::Flag(flag) => flag.to_string().parse().ok(),
            Value::Other(_) => None,
        }
    }

    /// Returns a setting, `default` when it is missing or malformed.
    pub(super) fn read_or<T: FromStr>(&self, field: &str, default: T) -> T {
        self.read(field).unwrap_or(default)
    }

    /// Returns a setting as written.
    pub(super) fn text(&self, field: &str) -> Option<String> {
        self.read(field)
    }

    /// Returns the size in the table `field`.
    pub(super) fn size(&self, field: &str) -> Option<Size> {
        let cpu: Cpu = self.read(&format!("{field}.cpu"))?;
        let memory: Memory = self.read(&format!("{field}.memory"))?;
        let accel = self.read_or(&format!("{field}.accel"), Accel(0));
        Some(Size::new(cpu, memory, accel))
    }

    /// Reports whether a key of the same table is set.
    fn has_table_of(&self, field: &str) -> bool {
        let Some((table, _)) = field.split_once('.') else { return false };
        let mut fields = fields::of(self.section).iter().map(|field| field.name);
        fields.any(|other| other.starts_with(&format!("{table}.")) && self.has(other))
    }

    fn lacks(&self, field: &Field) -> bool {
        let is_needed = match field.need {
            Need::Always => true,
            Need::Ending => !self.read_or("service", false),
            Need::Whole => self.has_table_of(field.name),
            Need::Never => false,
        };
        is_needed && !self.has(field.name)
    }
}

impl Check<'_> {
    /// Reports each key that an entry must have and has not.
    pub(super) fn missing(&mut self) {
        let merged = self.merged;
        for (key, place) in &merged.entries {
            let entry = Entry::new(merged, key.section, &key.name);
            for field in fields::of(key.section).iter().filter(|field| entry.lacks(field)) {
                let fault = Fault::Missing {
                    section: key.section,
                    name: key.name.clone(),
                    field: field.name,
                    expected: field.kind.expected(),
                };
                self.problem(fault, place.clone());
            }
        }
    }
}
