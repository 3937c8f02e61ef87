//! Mistakes in flags and environment variables.

use std::fmt;

use miette::Diagnostic;
use thiserror::Error;

/// Place that a setting was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A command-line flag, without its dashes.
    Flag(&'static str),
    /// An environment variable.
    Variable(String),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(name) => write!(f, "flag `--{name}`"),
            Self::Variable(name) => write!(f, "variable `{name}`"),
        }
    }
}

/// One mistake in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Fault {
    /// A value cannot be read.
    #[error("{source_place} has the value `{value}`, which is not {expected}")]
    #[diagnostic(code(settings::value), help("for example `{example}`"))]
    Value {
        /// Flag or variable.
        source_place: Source,
        /// Value as given.
        value: String,
        /// What is expected.
        expected: &'static str,
        /// A value that would be accepted.
        example: &'static str,
    },
    /// A setting without a default is missing.
    #[error("flag `--{flag}` is missing; it gives {expected}")]
    #[diagnostic(
        code(settings::missing),
        help("give `--{flag} {example}` or set the variable `{variable}`")
    )]
    Missing {
        /// Flag without its dashes.
        flag: &'static str,
        /// Variable that may be set in its place.
        variable: String,
        /// What is expected.
        expected: &'static str,
        /// A value that would be accepted.
        example: &'static str,
    },
    /// Two listening addresses are the same.
    #[error("`--{first}` and `--{second}` are both `{address}`, but each needs a port of its own")]
    #[diagnostic(code(settings::address), help("give one of them another port"))]
    SameAddress {
        /// First flag.
        first: &'static str,
        /// Second flag.
        second: &'static str,
        /// Address that both give.
        address: String,
    },
}

/// All mistakes found in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("the settings have {} mistake(s)", faults.len())]
#[diagnostic(code(settings))]
pub struct Error {
    /// The mistakes, in the order of the flags.
    #[related]
    pub faults: Vec<Fault>,
}
