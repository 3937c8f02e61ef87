//! Keys of settings and the sections to which they belong.

use std::fmt;

use sycamorerill_core::id;

use crate::similar;

/// Section of a configuration file, a top-level TOML table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Section {
    /// Services that answer calls.
    Service,
    /// Classes of jobs.
    Class,
    /// Teams with their quotas.
    Team,
    /// Targets with their penalties.
    Target,
    /// Failure domains with their capacity.
    Domain,
    /// Scheduling settings, without named entries.
    Policy,
    /// Jobs to submit, in a file of their own and not in a folder.
    Job,
}

impl Section {
    /// Every section that a folder may hold.
    pub const ALL: [Self; 6] =
        [Self::Service, Self::Class, Self::Team, Self::Target, Self::Domain, Self::Policy];

    /// Returns the name used in files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Class => "class",
            Self::Team => "team",
            Self::Target => "target",
            Self::Domain => "domain",
            Self::Policy => "policy",
            Self::Job => "job",
        }
    }

    /// Returns whether the section holds named entries.
    pub(crate) const fn is_named(self) -> bool {
        !matches!(self, Self::Policy)
    }

    /// Checks the name of an entry of the section.
    pub(crate) fn check_name(self, name: &str) -> Result<(), id::Error> {
        match self {
            Self::Service => name.parse::<id::ServiceName>().map(drop),
            Self::Class => name.parse::<id::ClassName>().map(drop),
            Self::Team => name.parse::<id::TeamName>().map(drop),
            Self::Target => name.parse::<id::TargetName>().map(drop),
            Self::Domain => name.parse::<id::DomainName>().map(drop),
            Self::Job => name.parse::<id::JobName>().map(drop),
            Self::Policy => Ok(()),
        }
    }

    pub(crate) fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.as_str() == name)
    }

    pub(crate) fn suggest(name: &str) -> Option<&'static str> {
        similar::closest(name, Self::ALL.map(Self::as_str))
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Key of an entry or of one of its fields, printed as `service.orders.deadline`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Section that holds the entry.
    pub section: Section,
    /// Name of the entry, empty in a section without named entries.
    pub name: String,
    /// Field, with its table if it is in one, such as `size.cpu`; empty for the whole entry.
    pub field: String,
}

impl Key {
    pub(crate) fn entry(section: Section, name: &str) -> Self {
        Self { section, name: name.to_owned(), field: String::new() }
    }

    pub(crate) fn field(section: Section, name: &str, field: &str) -> Self {
        Self { section, name: name.to_owned(), field: field.to_owned() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.section.as_str())?;
        for part in [&self.name, &self.field] {
            if !part.is_empty() {
                write!(f, ".{part}")?;
            }
        }
        Ok(())
    }
}
