//! Errors in flags and environment variables.

use std::fmt;

use miette::Diagnostic;
use thiserror::Error;

/// The place from which a setting was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A command-line flag, without the leading dashes.
    Flag(&'static str),
    /// An environment variable, with the prefix `SYCAMORERILL_`.
    Variable(String),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(name) => write!(f, "flag `--{name}`"),
            Self::Variable(name) => write!(f, "variable `{name}`"),
        }
    }
}

/// An error in one setting.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SettingError {
    /// A value is not valid.
    #[error("{origin} has the value `{value}`, which is not {expected}")]
    #[diagnostic(code(settings::value), help("for example `{example}`"))]
    Value {
        /// Flag or variable that has the value.
        origin: Origin,
        /// Value as it was given.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
        /// Example of a valid value.
        example: &'static str,
    },
    /// A required setting is missing.
    #[error("flag `--{flag}` is missing; it takes {expected}")]
    #[diagnostic(
        code(settings::missing),
        help("give `--{flag} {example}` or set the variable `{variable}`")
    )]
    Missing {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Environment variable that can be set instead of the flag.
        variable: String,
        /// Description of the valid values.
        expected: &'static str,
        /// Example of a valid value.
        example: &'static str,
    },
    /// Two listeners have the same address.
    #[error(
        "`--{first}` and `--{second}` are both `{address}`, but each listener needs its own port"
    )]
    #[diagnostic(code(settings::address), help("give one of them another port"))]
    SameAddress {
        /// First flag with the address.
        first: &'static str,
        /// Second flag with the address.
        second: &'static str,
        /// Address that both flags have.
        address: String,
    },
}

/// All errors found in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("the settings have {} error(s)", errors.len())]
#[diagnostic(code(settings))]
pub struct Error {
    /// Errors in the order of the flags; equal addresses come last.
    #[related]
    pub errors: Vec<SettingError>,
}
