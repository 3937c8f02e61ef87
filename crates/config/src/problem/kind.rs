//! Kinds of problems of a configuration, their messages and hints.

use std::io;

use sycamorerill_core::clock::{self, Span};
use sycamorerill_core::model::UrgencyError;
use sycamorerill_core::size::Size;
use sycamorerill_core::{id, money, rate, size};

use crate::folder::MAX_FILE_BYTES;
use crate::key::{Key, Section};

/// Kind of a problem at one location of a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProblemKind {
    /// The file cannot be read.
    #[error("the file cannot be read: {0}")]
    Unreadable(io::ErrorKind),
    /// The file is not UTF-8 text.
    #[error("the file is not UTF-8")]
    NotUtf8,
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file has {bytes} bytes, expected at most {MAX_FILE_BYTES}")]
    TooLarge {
        /// Size of the file in bytes.
        bytes: u64,
    },
    /// The file is not TOML.
    #[error("the file is not TOML: {0}")]
    Syntax(String),
    /// A key is defined twice in one file.
    #[error("the key is defined twice in this file")]
    DuplicateKey,
    /// A top-level key is not the name of a section.
    #[error("`{name}` is not a section")]
    UnknownSection {
        /// Name as written.
        name: String,
        /// Section with a similar name.
        suggestion: Option<&'static str>,
    },
    /// The section has no such field.
    #[error("`{field}` is not a key of a {section}")]
    UnknownKey {
        /// Section that holds the field.
        section: Section,
        /// Field as written.
        field: String,
        /// Field of the section with a similar name.
        suggestion: Option<&'static str>,
    },
    /// A value was found in place of a table.
    #[error("`{name}` is of type {found}, expected a table")]
    NotTable {
        /// Key as written.
        name: String,
        /// TOML type that was found.
        found: &'static str,
    },
    /// Jobs are not written as an array of tables.
    #[error("`job` is of type {found}, expected one `[[job]]` for each job")]
    NotArray {
        /// TOML type that was found.
        found: &'static str,
    },
    /// A file of jobs holds no job.
    #[error("the file holds no job, expected one `[[job]]` for each job")]
    NoJob,
    /// The name of an entry is invalid.
    #[error("{0}")]
    InvalidName(id::Error),
    /// The value has a TOML type that the key does not accept.
    #[error("`{key}` is of type {found}, expected {expected}")]
    WrongType {
        /// Key that has the value.
        key: Key,
        /// Description of the values that the key accepts.
        expected: &'static str,
        /// TOML type that was found.
        found: &'static str,
    },
    /// The value cannot be parsed.
    #[error("`{key}`: {reason}")]
    InvalidValue {
        /// Key that has the value.
        key: Key,
        /// Error of parsing the value.
        reason: ValueError,
    },
    /// An entry lacks a required key.
    #[error("{section} `{name}` has no `{field}`, expected {expected}")]
    MissingKey {
        /// Section that holds the entry.
        section: Section,
        /// Name of the entry.
        name: String,
        /// Key that the entry lacks.
        field: &'static str,
        /// Description of the values that the key accepts.
        expected: &'static str,
    },
    /// A target has no goal, an incomplete one or two goals.
    #[error("target `{name}` must have either `service` with `within`, or `class`")]
    InvalidGoal {
        /// Name of the target.
        name: String,
    },
    /// An entry refers to an entry that is not declared.
    #[error("`{key}` names the {section} `{name}`, which is not declared")]
    Undeclared {
        /// Key that holds the reference.
        key: Key,
        /// Section that lacks the name.
        section: Section,
        /// Name that the key refers to.
        name: String,
        /// Declared entry with a similar name.
        suggestion: Option<String>,
    },
    /// A deadline is shorter than the run that it limits.
    #[error(
        "`{key}` is {}, shorter than the {} that one run takes",
        format_span(*.deadline),
        format_span(*.run)
    )]
    DeadlineTooShort {
        /// Key that sets the deadline.
        key: Key,
        /// Declared deadline.
        deadline: Span,
        /// Declared run time.
        run: Span,
    },
    /// A target sets a deadline for a service class, whose tasks run until they are cancelled.
    #[error("target `{target}` is a deadline of class `{class}`, which runs until it is cancelled")]
    ServiceClassDeadline {
        /// Name of the target.
        target: String,
        /// Name of the class.
        class: String,
    },
    /// The declared rates need more executors than the domains declare.
    #[error(
        "the declared rates need {needed} executors, the domains declare {declared}; \
         service `{service}` needs {share} of them"
    )]
    TooFewExecutors {
        /// Number of executors that all services need.
        needed: u64,
        /// Number of executors that the domains declare.
        declared: u64,
        /// Service that needs the most executors.
        service: String,
        /// Number of executors that this service needs.
        share: u64,
    },
    /// A task is larger than every declared worker.
    #[error("a task of class `{class}` takes {size}, more than any declared worker holds")]
    TaskTooLarge {
        /// Name of the class.
        class: String,
        /// Size of a task of the class.
        size: Size,
    },
    /// The quotas of all teams exceed the total size of the declared workers.
    #[error("the quotas of all teams take {quotas}, the declared workers hold {capacity}")]
    QuotasTooLarge {
        /// Sum of the quotas.
        quotas: Size,
        /// Total size of the workers.
        capacity: Size,
    },
    /// A task is larger than the quota of every team, and no team may borrow.
    #[error("a task of class `{class}` takes {size}, more than the quota of any team")]
    TaskExceedsQuotas {
        /// Name of the class.
        class: String,
        /// Size of a task of the class.
        size: Size,
    },
    /// The keys of a service expire before the deadline of its calls.
    #[error(
        "service `{service}` keeps keys for {}, shorter than the deadline of {} of its calls",
        format_span(*.retention),
        format_span(*.deadline)
    )]
    RetentionTooShort {
        /// Name of the service.
        service: String,
        /// Declared or default retention of keys.
        retention: Span,
        /// Declared deadline.
        deadline: Span,
    },
    /// A target whose goal nothing has to meet.
    #[error("target `{target}` has a share of 0%, expected more, since none has to meet its goal")]
    TargetWithoutShare {
        /// Name of the target.
        target: String,
    },
    /// A domain has neither workers nor executors. A warning.
    #[error("domain `{domain}` has no workers and no executors, so nothing runs there")]
    EmptyDomain {
        /// Name of the domain.
        domain: String,
    },
    /// A team has no service, may not borrow, and its quota holds no task. A warning.
    #[error(
        "team `{team}` has no service, may not borrow and has a quota of {quota}, \
         so nothing can run for it"
    )]
    IdleTeam {
        /// Name of the team.
        team: String,
        /// Quota of the team.
        quota: Size,
    },
}

/// Errors of parsing the value of a setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// The value is not a span of time.
    #[error(transparent)]
    Span(#[from] clock::Error),
    /// The value is not a size.
    #[error(transparent)]
    Size(#[from] size::Error),
    /// The value is not a rate or a share.
    #[error(transparent)]
    Rate(#[from] rate::Error),
    /// The value is not an amount.
    #[error(transparent)]
    Amount(#[from] money::Error),
    /// The value is not a valid name.
    #[error(transparent)]
    Name(#[from] id::Error),
    /// The value is not an urgency.
    #[error(transparent)]
    Urgency(#[from] UrgencyError),
    /// The value is not a decimal whole number from 0 to `u32::MAX`.
    #[error("`{0}` is not a decimal whole number from 0 to {max}", max = u32::MAX)]
    Count(String),
    /// The value is zero, with which no work would ever run.
    #[error("`{0}` is zero, expected a larger value")]
    Zero(String),
}

/// Units of time in milliseconds, longest first.
const TIME_UNITS: [(u64, &str); 4] =
    [(86_400_000, "d"), (3_600_000, "h"), (60_000, "m"), (1_000, "s")];

/// Formats a span in the longest unit of which it is a whole multiple.
fn format_span(span: Span) -> String {
    let ms = span.as_ms();
    let whole = |unit: u64| ms > 0 && ms.is_multiple_of(unit) && Span::from_ms(ms) == span;
    match TIME_UNITS.into_iter().find(|(unit, _)| whole(*unit)) {
        Some((unit, name)) => format!("{}{name}", ms / unit),
        None => span.to_string(),
    }
}

impl ProblemKind {
    /// Returns a suggestion for correcting the problem, or `None` if there is none.
    pub fn hint(&self) -> Option<String> {
        match self {
            Self::Unreadable(_) => Some("check the owner and the mode of the file".to_owned()),
            Self::NotUtf8 => Some("save the file as UTF-8".to_owned()),
            Self::TooLarge { .. } => Some("split the file; files merge by name".to_owned()),
            Self::DuplicateKey => {
                Some("keep one of the two, or move the refinement to a later file".to_owned())
            }
            Self::UnknownSection { suggestion: None, .. } => {
                Some(format!("sections are {}", Section::ALL.map(Section::as_str).join(", ")))
            }
            Self::UnknownSection { suggestion: Some(suggestion), .. }
            | Self::UnknownKey { suggestion: Some(suggestion), .. } => {
                Some(format!("did you mean `{suggestion}`?"))
            }
            Self::Undeclared { suggestion: Some(suggestion), .. } => {
                Some(format!("did you mean `{suggestion}`?"))
            }
            Self::Undeclared { section, name, .. } => {
                Some(format!("declare it with `[{section}.{name}]`"))
            }
            Self::DeadlineTooShort { .. } => {
                Some("lengthen the deadline or shorten the declared run".to_owned())
            }
            Self::ServiceClassDeadline { .. } => {
                Some("give the target a `service` and `within` instead".to_owned())
            }
            Self::TooFewExecutors { .. } => Some(
                "executors needed are the sum over services of rate x longest_run / slots"
                    .to_owned(),
            ),
            Self::TaskTooLarge { .. } => {
                Some("shrink the task or declare a domain with larger workers".to_owned())
            }
            Self::QuotasTooLarge { .. } => {
                Some("a quota is held at any time, so all must fit; lower some".to_owned())
            }
            Self::TaskExceedsQuotas { .. } => {
                Some("shrink the task, raise a quota or let a team borrow".to_owned())
            }
            Self::RetentionTooShort { .. } => Some(
                "a call repeated at its deadline would run twice; lengthen `key_retention`"
                    .to_owned(),
            ),
            Self::TargetWithoutShare { .. } => {
                Some("state the share that must meet the goal, or remove the target".to_owned())
            }
            Self::EmptyDomain { .. } => {
                Some("declare workers or executors, or remove the domain".to_owned())
            }
            Self::IdleTeam { .. } => Some("raise the quota, or remove the team".to_owned()),
            _ => None,
        }
    }

    /// Returns whether the problem is a warning, with which a configuration is accepted.
    pub const fn is_warning(&self) -> bool {
        matches!(self, Self::EmptyDomain { .. } | Self::IdleTeam { .. })
    }

    /// Returns whether the problem may hide declarations of its file.
    pub(crate) const fn hides_declarations(&self) -> bool {
        matches!(
            self,
            Self::Unreadable(_) | Self::NotUtf8 | Self::TooLarge { .. } | Self::Syntax(_)
        )
    }

    /// Returns a stable code of the kind, for programs that process reports.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "unreadable",
            Self::NotUtf8 => "encoding",
            Self::TooLarge { .. } => "too_long",
            Self::Syntax(_) => "syntax",
            Self::DuplicateKey => "duplicate",
            Self::UnknownSection { .. } => "unknown_section",
            Self::UnknownKey { .. } => "unknown_key",
            Self::NotTable { .. } => "not_table",
            Self::NotArray { .. } => "not_array",
            Self::NoJob => "no_job",
            Self::InvalidName(_) => "name",
            Self::WrongType { .. } => "type",
            Self::InvalidValue { .. } => "value",
            Self::MissingKey { .. } => "missing",
            Self::InvalidGoal { .. } => "goal",
            Self::Undeclared { .. } => "dangling",
            Self::DeadlineTooShort { .. } => "deadline",
            Self::ServiceClassDeadline { .. } => "endless",
            Self::TooFewExecutors { .. } => "executors",
            Self::TaskTooLarge { .. } => "worker",
            Self::QuotasTooLarge { .. } => "quotas",
            Self::TaskExceedsQuotas { .. } => "quota",
            Self::RetentionTooShort { .. } => "retention",
            Self::TargetWithoutShare { .. } => "share",
            Self::EmptyDomain { .. } => "empty_domain",
            Self::IdleTeam { .. } => "idle_team",
        }
    }
}
