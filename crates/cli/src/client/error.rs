//! Failures of requests.

use std::fmt;

use miette::Diagnostic;
use sycamorerill_core::api;

use super::settings::Address;

/// An entry instance that could not be asked, and why.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) instance: Address,
    pub(crate) cause: Cause,
}

/// Why there is no answer to a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Cause {
    /// The connection failed.
    #[error(transparent)]
    Transport(#[from] ureq::Error),
    /// The entry instance itself does not know.
    #[error("{}", .0.message)]
    Unsure(api::Detail),
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.instance, self.cause)
    }
}

fn join(attempts: &[Attempt]) -> String {
    attempts.iter().map(Attempt::to_string).collect::<Vec<_>>().join("; ")
}

/// The ways in which a request can fail.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No entry instance took the request.
    #[error("no entry instance can be reached ({})", join(.0))]
    Unreachable(Vec<Attempt>),
    /// The request had no effect, for a reason that passes.
    #[error("{}", .0.message)]
    NotRun(api::Detail),
    /// The request was understood and refused.
    #[error("{}", .0.message)]
    Refused(api::Detail),
    /// The name is taken.
    #[error("{}", .0.message)]
    Exists(api::Detail),
    /// Another change was accepted first.
    #[error("{}", describe(.0))]
    Conflict(api::Conflict),
    /// The request may have had its effect.
    #[error("the request may have had its effect ({attempt})")]
    Unknown {
        /// Entry instance that was asked.
        attempt: Attempt,
    },
    /// The answer is not what the interface promises.
    #[error("the answer of {instance} with status {status} was not understood")]
    Answer {
        /// Entry instance that answered.
        instance: Address,
        /// HTTP status of the answer.
        status: u16,
    },
}

fn describe(conflict: &api::Conflict) -> String {
    let keys = match conflict.keys.as_slice() {
        [] => "no key differs".to_owned(),
        keys => format!("it gives other values to {}", keys.join(", ")),
    };
    format!("version {} was accepted meanwhile; {keys}", conflict.version)
}

impl Error {
    fn code_text(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::NotRun(_) => "not_run",
            Self::Refused(_) => "refused",
            Self::Exists(_) => "exists",
            Self::Conflict(_) => "conflict",
            Self::Unknown { .. } => "unknown",
            Self::Answer { .. } => "answer",
        }
    }

    fn hint(&self) -> &str {
        match self {
            Self::Unreachable(_) => "nothing happened; check the addresses, then repeat",
            Self::NotRun(detail) | Self::Refused(detail) | Self::Exists(detail) => &detail.hint,
            Self::Conflict(_) => "bring the folder up to date with that version, then apply again",
            Self::Unknown { .. } => "look whether it had its effect before repeating it",
            Self::Answer { .. } => "check that the address is the operator's port of this version",
        }
    }
}

impl Diagnostic for Error {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.code_text()))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        match self.hint() {
            "" => None,
            hint => Some(Box::new(hint)),
        }
    }
}
