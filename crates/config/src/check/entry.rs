//! Access to the settings of one entry, and the check for missing keys.

use std::str::FromStr;

use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use super::Checker;
use super::fields::{self, Field, Requirement};
use crate::document::Value;
use crate::key::{Key, Section};
use crate::merge::MergedSettings;
use crate::problem::ProblemKind;

/// View of the merged settings of one entry.
#[derive(Clone, Copy)]
pub(super) struct Entry<'a> {
    merged: &'a MergedSettings,
    section: Section,
    name: &'a str,
}

impl<'a> Entry<'a> {
    pub(super) fn new(merged: &'a MergedSettings, section: Section, name: &'a str) -> Self {
        Self { merged, section, name }
    }

    /// Returns the name of the entry, or `None` if it is invalid.
    pub(super) fn name<T: FromStr>(&self) -> Option<T> {
        self.name.parse().ok()
    }

    pub(super) fn key(&self, field: &str) -> Key {
        Key::field(self.section, self.name, field)
    }

    pub(super) fn is_set(&self, field: &str) -> bool {
        self.merged.settings.contains_key(&self.key(field))
    }

    /// Returns the parsed value of a field, or `None` if it is missing or malformed.
    pub(super) fn value<T: FromStr>(&self, field: &str) -> Option<T> {
        match &self.merged.settings.get(&self.key(field))?.value {
            Value::Text(text) | Value::Number(text) => text.parse().ok(),
            Value::Flag(flag) => flag.to_string().parse().ok(),
            Value::Other(_) => None,
        }
    }

    /// Returns the parsed value of a field, or `default` if it is missing or malformed.
    pub(super) fn value_or<T: FromStr>(&self, field: &str, default: T) -> T {
        self.value(field).unwrap_or(default)
    }

    /// Returns the value of a field as written.
    pub(super) fn text(&self, field: &str) -> Option<String> {
        self.value(field)
    }

    /// Returns the size that the table `field` sets, or `None` if it is incomplete.
    pub(super) fn size(&self, field: &str) -> Option<Size> {
        let cpu: Cpu = self.value(&format!("{field}.cpu"))?;
        let memory: Memory = self.value(&format!("{field}.memory"))?;
        let accel = self.value_or(&format!("{field}.accel"), Accel(0));
        Some(Size::new(cpu, memory, accel))
    }

    /// Returns whether any field in the same table as `field` is set.
    fn has_sibling(&self, field: &str) -> bool {
        let Some((table, _)) = field.split_once('.') else { return false };
        let mut fields = fields::of(self.section).iter().map(|field| field.name);
        fields.any(|other| other.starts_with(&format!("{table}.")) && self.is_set(other))
    }

    fn is_missing(&self, field: &Field) -> bool {
        let is_required = match field.requirement {
            Requirement::Always => true,
            Requirement::UnlessService => !self.value_or("service", false),
            Requirement::WithSiblings => self.has_sibling(field.name),
            Requirement::Optional => false,
        };
        is_required && !self.is_set(field.name)
    }
}

impl Checker<'_> {
    /// Reports each required key that an entry lacks.
    pub(super) fn check_missing_keys(&mut self) {
        let merged = self.merged;
        for (key, location) in &merged.entries {
            let entry = Entry::new(merged, key.section, &key.name);
            for field in fields::of(key.section).iter().filter(|field| entry.is_missing(field)) {
                let kind = ProblemKind::MissingKey {
                    section: key.section,
                    name: key.name.clone(),
                    field: field.name,
                    expected: field.kind.expected(),
                };
                self.report(kind, location.clone());
            }
        }
    }
}
