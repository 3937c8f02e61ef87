//! Errors of requests to entry instances.

use std::fmt;

use miette::Diagnostic;
use sycamorerill_core::api;

use super::settings::Address;

/// A failed attempt to send a request to an entry instance.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) instance: Address,
    pub(crate) cause: Cause,
}

/// Cause of a failed attempt.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Cause {
    /// The connection failed.
    #[error(transparent)]
    Transport(#[from] ureq::Error),
    /// The entry instance answered that it does not know the outcome.
    #[error("{}", .0.message)]
    OutcomeUnknown(api::Detail),
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.instance, self.cause)
    }
}

fn join(attempts: &[Attempt]) -> String {
    attempts.iter().map(Attempt::to_string).collect::<Vec<_>>().join("; ")
}

/// Error of a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No entry instance answered the request.
    #[error("no entry instance can be reached ({})", join(.0))]
    Unreachable(Vec<Attempt>),
    /// The request had no effect, for a temporary reason.
    #[error("{}", .0.message)]
    NotRun(api::Detail),
    /// The request was understood and refused.
    #[error("{}", .0.message)]
    Refused(api::Detail),
    /// The name is in use already.
    #[error("{}", .0.message)]
    Exists(api::Detail),
    /// Another change was accepted since the version on which this one is based.
    #[error("{}", describe_conflict(.0))]
    Conflict(api::Conflict),
    /// It is unknown whether the request took effect.
    #[error("the request may have had its effect ({attempt})")]
    Unknown {
        /// Attempt that may have taken effect.
        attempt: Attempt,
    },
    /// The response does not conform to the interface, or reports an internal error.
    #[error("the answer of {instance} with status {status} was not understood")]
    UnexpectedResponse {
        /// Entry instance that answered.
        instance: Address,
        /// HTTP status of the response.
        status: u16,
    },
}

fn describe_conflict(conflict: &api::Conflict) -> String {
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
            Self::UnexpectedResponse { .. } => "answer",
        }
    }

    fn hint(&self) -> &str {
        match self {
            Self::Unreachable(_) => "nothing happened; check the addresses, then repeat",
            Self::NotRun(detail) | Self::Refused(detail) | Self::Exists(detail) => &detail.hint,
            Self::Conflict(_) => "bring the folder up to date with that version, then apply again",
            Self::Unknown { .. } => "look whether it had its effect before repeating it",
            Self::UnexpectedResponse { .. } => {
                "check that the address is the operator's port of this version"
            }
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
