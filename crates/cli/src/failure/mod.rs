//! Errors of commands and their exit codes.

mod print;

use std::io;

use miette::Diagnostic;
use sycamorerill_config::{CodecError, Key, Problem, ProblemKind, Report};

use crate::client;
use crate::commands::BaseError;
use crate::demo;

pub(crate) use print::{ProblemBody, print, problem_body, warn};

/// Exit code when a response could not be decoded or the demo found a fault.
const FAULT: u8 = 1;
/// Exit code of a usage error.
pub(crate) const WRONG_USE: u8 = 2;
/// Exit code when a request was refused and must not be repeated unchanged.
const REFUSED: u8 = 3;
/// Exit code when a request conflicts with another change or an existing name.
const CONFLICT: u8 = 4;
/// Exit code when a request had no effect and may be repeated later.
const UNREACHABLE: u8 = 5;
/// Exit code when it is unknown whether a request took effect.
const UNKNOWN: u8 = 6;

/// Error of a command.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum Failure {
    /// The configuration or a file of jobs has errors.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Report(#[from] Report),
    /// The folder as a whole cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Folder(#[from] sycamorerill_config::FolderError),
    /// The configuration to compare with cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Base(#[from] BaseError),
    /// Two configurations to compare with are given.
    #[error("both --against and --instance are given, expected one of them")]
    #[diagnostic(
        code(two_bases),
        help("compare with the saved version and with the instance one after the other")
    )]
    TwoBases,
    /// No address of an entry instance is given, or one is malformed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] client::settings::Error),
    /// The period of a settlement is empty.
    #[error("the period is empty, --from must be earlier than --to")]
    #[diagnostic(code(empty_period))]
    EmptyPeriod,
    /// No caller address of an entry instance is given.
    #[error("no address to send calls to is named")]
    #[diagnostic(
        code(no_caller),
        help("give --caller IP:PORT, the address for callers of an entry instance")
    )]
    NoCaller,
    /// A request failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Request(#[from] client::Error),
    /// Another change was accepted first, and the newest configuration could be compared.
    #[error("version {version} was accepted meanwhile; it changed {}", join_keys(.theirs))]
    #[diagnostic(code(conflict), help("{}", conflict_hint(.both)))]
    Conflict {
        /// Newest version.
        version: u64,
        /// Entries in which the newest version differs from the folder.
        keys: Vec<String>,
        /// Fields that differ between the base version and the newest version.
        theirs: Vec<Key>,
        /// Fields in `theirs` that the folder changes too.
        both: Vec<Key>,
    },
    /// The configuration of an entry instance cannot be decoded.
    #[error("the newest configuration cannot be read: {0}")]
    #[diagnostic(code(encoding), help("check that this program has the version of the instances"))]
    Encoding(#[source] CodecError),
    /// A change was accepted but is not in force everywhere.
    #[error("version {version} is accepted, but after {waited_s} s not in force at: {}", instances.join(", "))]
    #[diagnostic(
        code(not_in_force),
        help("it stays accepted; look at `sycamorerill status` and at the named instances")
    )]
    NotInForce {
        /// Accepted version.
        version: u64,
        /// Time waited, in seconds.
        waited_s: u64,
        /// Instances that run an older version.
        instances: Vec<String>,
    },
    /// Some jobs were not accepted; the command prints each of them with its reason.
    #[error("{failed} of {total} jobs were not accepted")]
    #[diagnostic(code(not_accepted), help("the reason stands beside each job"))]
    Jobs {
        /// Number of jobs that were not accepted.
        failed: usize,
        /// Number of jobs in the file.
        total: usize,
        /// Exit code for the first job that was not accepted.
        code: u8,
    },
    /// The demonstration failed or found a violated guarantee.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Demo(#[from] demo::Error),
    /// Writing to standard output failed, or starting a caller's thread did.
    #[error("standard output cannot be written: {0}")]
    #[diagnostic(code(output))]
    Output(io::Error),
}

impl Failure {
    /// Returns the exit code of the program.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Report(report) if is_unreadable(report) => WRONG_USE,
            Self::Report(_) => REFUSED,
            Self::Folder(sycamorerill_config::FolderError::Unreadable { .. }) => WRONG_USE,
            Self::Folder(_) => REFUSED,
            Self::Base(_) | Self::TwoBases => WRONG_USE,
            Self::Settings(_) | Self::NoCaller | Self::EmptyPeriod => WRONG_USE,
            Self::Request(error) => request_code(error),
            Self::Conflict { .. } => CONFLICT,
            Self::NotInForce { .. } => UNKNOWN,
            Self::Jobs { code, .. } => *code,
            Self::Encoding(_) | Self::Demo(_) | Self::Output(_) => FAULT,
        }
    }
}

fn join_keys(keys: &[Key]) -> String {
    match keys {
        [] => "nothing that is declared".to_owned(),
        keys => keys.iter().map(Key::to_string).collect::<Vec<_>>().join(", "),
    }
}

fn conflict_hint(both: &[Key]) -> String {
    match both {
        [] => "bring that change into the folder, then apply again".to_owned(),
        both => format!("both change {}: settle these first, then apply again", join_keys(both)),
    }
}

/// Returns whether all problems are files that cannot be read.
fn is_unreadable(report: &Report) -> bool {
    let is_unreadable = |problem: &Problem| matches!(problem.kind(), ProblemKind::Unreadable(_));
    report.problems().iter().all(is_unreadable)
}

/// Returns the exit code for a failed request.
pub(crate) fn request_code(error: &client::Error) -> u8 {
    match error {
        client::Error::Refused(_) => REFUSED,
        client::Error::Conflict(_) | client::Error::Exists(_) => CONFLICT,
        client::Error::Unreachable(_) | client::Error::NotRun(_) => UNREACHABLE,
        client::Error::Unknown { .. } => UNKNOWN,
        client::Error::UnexpectedResponse { .. } => FAULT,
    }
}
