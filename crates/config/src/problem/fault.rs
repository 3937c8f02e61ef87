//! Everything that can be wrong with a configuration.

use std::io;

use sycamorerill_core::clock::{self, Span};
use sycamorerill_core::model::UrgencyError;
use sycamorerill_core::size::Size;
use sycamorerill_core::{id, money, rate, size};

use crate::folder::MAX_FILE_BYTES;
use crate::key::{Key, Section};

/// What is wrong at one place of a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The file cannot be read.
    #[error("the file cannot be read: {0}")]
    Unreadable(io::ErrorKind),
    /// The file is not text.
    #[error("the file is not UTF-8")]
    Encoding,
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file has {bytes} bytes, expected at most {MAX_FILE_BYTES}")]
    TooLong {
        /// Size of the file.
        bytes: u64,
    },
    /// The file is not TOML.
    #[error("the file is not TOML: {0}")]
    Syntax(String),
    /// A key is defined twice in one file.
    #[error("the key is defined twice in this file")]
    Duplicate,
    /// No section has the name.
    #[error("`{word}` is not a section")]
    UnknownSection {
        /// Word as written.
        word: String,
        /// Section that was probably meant.
        meant: Option<&'static str>,
    },
    /// The section has no such key.
    #[error("`{word}` is not a key of a {section}")]
    UnknownKey {
        /// Section with the key.
        section: Section,
        /// Key as written.
        word: String,
        /// Key that was probably meant.
        meant: Option<&'static str>,
    },
    /// A value stands where a table belongs.
    #[error("`{word}` is of type {found}, expected a table")]
    NotTable {
        /// Key as written.
        word: String,
        /// Type that was found.
        found: &'static str,
    },
    /// Jobs are not written as an array of tables.
    #[error("`job` is of type {found}, expected one `[[job]]` for each job")]
    NotArray {
        /// Type that was found.
        found: &'static str,
    },
    /// A file of jobs holds none.
    #[error("the file holds no job, expected one `[[job]]` for each job")]
    NoJob,
    /// The name of an entry is not a name.
    #[error("{0}")]
    Name(id::Error),
    /// The value has another type than the key takes.
    #[error("`{key}` is of type {found}, expected {expected}")]
    Type {
        /// Key of the value.
        key: Key,
        /// What the key takes.
        expected: &'static str,
        /// Type that was found.
        found: &'static str,
    },
    /// The value does not read as what the key takes.
    #[error("`{key}`: {reason}")]
    Value {
        /// Key of the value.
        key: Key,
        /// Why it does not read.
        reason: Reason,
    },
    /// An entry lacks a key.
    #[error("{section} `{name}` has no `{field}`, expected {expected}")]
    Missing {
        /// Section of the entry.
        section: Section,
        /// Name of the entry.
        name: String,
        /// Key that it lacks.
        field: &'static str,
        /// What the key takes.
        expected: &'static str,
    },
    /// A target states no goal or two of them.
    #[error("target `{name}` must have either `service` with `within`, or `class`")]
    Goal {
        /// Name of the target.
        name: String,
    },
    /// An entry refers to one that does not exist.
    #[error("`{key}` names the {section} `{name}`, which is not declared")]
    Dangling {
        /// Key that refers.
        key: Key,
        /// Section in which the name was looked up.
        section: Section,
        /// Name that is not declared.
        name: String,
        /// Name that was probably meant.
        meant: Option<String>,
    },
    /// A run takes longer than its deadline allows.
    #[error(
        "`{key}` is {}, shorter than the {} that one run takes",
        readable(*.deadline),
        readable(*.run)
    )]
    Deadline {
        /// Key of the deadline.
        key: Key,
        /// Deadline as declared.
        deadline: Span,
        /// Run time as declared.
        run: Span,
    },
    /// A target of a class that has no end.
    #[error("target `{target}` is a deadline of class `{class}`, which runs until it is cancelled")]
    Endless {
        /// Name of the target.
        target: String,
        /// Name of the class.
        class: String,
    },
    /// The executors cannot carry the declared rates.
    #[error(
        "the declared rates need {needed} executors, the domains declare {declared}; \
         service `{service}` needs {share} of them"
    )]
    Executors {
        /// Executors that all services need.
        needed: u64,
        /// Executors that the domains declare.
        declared: u64,
        /// Service that needs the most.
        service: String,
        /// Executors that this service needs.
        share: u64,
    },
    /// No worker is large enough for one task.
    #[error("a task of class `{class}` takes {size}, more than any declared worker holds")]
    Worker {
        /// Name of the class.
        class: String,
        /// Size of a task.
        size: Size,
    },
    /// The quotas together are larger than all workers.
    #[error("the quotas of all teams take {quotas}, the declared workers hold {capacity}")]
    Quotas {
        /// Sum of the quotas.
        quotas: Size,
        /// Sum of the workers.
        capacity: Size,
    },
}

/// Why a value does not read as what its key takes.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Reason {
    /// Not a span of time.
    #[error(transparent)]
    Span(#[from] clock::Error),
    /// Not a size.
    #[error(transparent)]
    Size(#[from] size::Error),
    /// Not a rate or a share.
    #[error(transparent)]
    Rate(#[from] rate::Error),
    /// Not an amount.
    #[error(transparent)]
    Amount(#[from] money::Error),
    /// Not a name.
    #[error(transparent)]
    Name(#[from] id::Error),
    /// Not an urgency.
    #[error(transparent)]
    Urgency(#[from] UrgencyError),
    /// Not a whole number in range.
    #[error("`{0}` is not a decimal whole number from 0 to {max}", max = u32::MAX)]
    Count(String),
    /// Zero where work would never run.
    #[error("`{0}` is zero, expected more")]
    Zero(String),
}

/// Units of time in milliseconds, longest first.
const UNITS: [(u64, &str); 4] = [(86_400_000, "d"), (3_600_000, "h"), (60_000, "m"), (1_000, "s")];

/// Prints a span in the longest unit that keeps it a whole number.
fn readable(span: Span) -> String {
    let ms = span.as_ms();
    let whole = |unit: u64| ms > 0 && ms.is_multiple_of(unit) && Span::from_ms(ms) == span;
    match UNITS.into_iter().find(|(unit, _)| whole(*unit)) {
        Some((unit, name)) => format!("{}{name}", ms / unit),
        None => span.to_string(),
    }
}

impl Fault {
    /// Returns what to do about the fault.
    pub fn hint(&self) -> Option<String> {
        match self {
            Self::Unreadable(_) => Some("check the owner and the mode of the file".to_owned()),
            Self::Encoding => Some("save the file as UTF-8".to_owned()),
            Self::TooLong { .. } => Some("split the file; files merge by name".to_owned()),
            Self::Duplicate => {
                Some("keep one of the two, or move the refinement to a later file".to_owned())
            }
            Self::UnknownSection { meant: None, .. } => {
                Some(format!("sections are {}", Section::ALL.map(Section::as_str).join(", ")))
            }
            Self::UnknownSection { meant: Some(meant), .. }
            | Self::UnknownKey { meant: Some(meant), .. } => {
                Some(format!("did you mean `{meant}`?"))
            }
            Self::Dangling { meant: Some(meant), .. } => Some(format!("did you mean `{meant}`?")),
            Self::Dangling { section, name, .. } => {
                Some(format!("declare it with `[{section}.{name}]`"))
            }
            Self::Deadline { .. } => {
                Some("lengthen the deadline or shorten the declared run".to_owned())
            }
            Self::Endless { .. } => {
                Some("give the target a `service` and `within` instead".to_owned())
            }
            Self::Executors { .. } => Some(
                "executors needed are the sum over services of rate x longest_run / slots"
                    .to_owned(),
            ),
            Self::Worker { .. } => {
                Some("shrink the task or declare a domain with larger workers".to_owned())
            }
            Self::Quotas { .. } => {
                Some("a quota is held at any time, so all must fit; lower some".to_owned())
            }
            _ => None,
        }
    }

    /// Reports whether declarations of the file may be lost to the fault.
    pub(crate) const fn hides_declarations(&self) -> bool {
        matches!(
            self,
            Self::Unreadable(_) | Self::Encoding | Self::TooLong { .. } | Self::Syntax(_)
        )
    }

    /// Returns a stable word for the fault, for programs that read reports.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "unreadable",
            Self::Encoding => "encoding",
            Self::TooLong { .. } => "too_long",
            Self::Syntax(_) => "syntax",
            Self::Duplicate => "duplicate",
            Self::UnknownSection { .. } => "unknown_section",
            Self::UnknownKey { .. } => "unknown_key",
            Self::NotTable { .. } => "not_table",
            Self::NotArray { .. } => "not_array",
            Self::NoJob => "no_job",
            Self::Name(_) => "name",
            Self::Type { .. } => "type",
            Self::Value { .. } => "value",
            Self::Missing { .. } => "missing",
            Self::Goal { .. } => "goal",
            Self::Dangling { .. } => "dangling",
            Self::Deadline { .. } => "deadline",
            Self::Endless { .. } => "endless",
            Self::Executors { .. } => "executors",
            Self::Worker { .. } => "worker",
            Self::Quotas { .. } => "quotas",
        }
    }
}
