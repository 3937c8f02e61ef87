//! Failures of commands and their exit codes.

use std::io;
use std::process::ExitCode;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;
use sycamorerill_config::{CodecError, Fault, Problem, Report};

use crate::client;
use crate::demo;
use crate::output::{self, Format};

/// Exit code when an answer was not understood or the demo found a fault.
const FAULT: u8 = 1;
/// Exit code of wrong use.
pub(crate) const WRONG_USE: u8 = 2;
/// Exit code when a request was refused and must not be repeated unchanged.
const REFUSED: u8 = 3;
/// Exit code of a conflict with another change.
const CONFLICT: u8 = 4;
/// Exit code when nothing happened and the request may be repeated later.
const UNREACHABLE: u8 = 5;
/// Exit code when the request may have had its effect.
const UNKNOWN: u8 = 6;

/// The ways in which a command can fail.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum Failure {
    /// The configuration or a file of jobs has errors.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Report(#[from] Report),
    /// The folder as a whole cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Folder(#[from] sycamorerill_config::Error),
    /// No entry instance is named, or one of them wrongly.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] client::settings::Error),
    /// The period of a settlement is empty.
    #[error("the period is empty, --from must be earlier than --to")]
    #[diagnostic(code(empty_period))]
    Period,
    /// A request failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Request(#[from] client::Error),
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
        /// Seconds waited.
        waited_s: u64,
        /// Instances that run an older version.
        instances: Vec<String>,
    },
    /// Some jobs were not accepted; each is printed with its reason.
    #[error("{failed} of {total} jobs were not accepted")]
    #[diagnostic(code(not_accepted), help("the reason stands beside each job"))]
    Jobs {
        /// Jobs that were not accepted.
        failed: usize,
        /// All jobs of the file.
        total: usize,
        /// Exit code of the first of them.
        code: u8,
    },
    /// The demo failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Demo(#[from] demo::Error),
    /// Standard output cannot be written.
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
            Self::Folder(sycamorerill_config::Error::Unreadable { .. }) => WRONG_USE,
            Self::Folder(_) => REFUSED,
            Self::Settings(_) | Self::Period => WRONG_USE,
            Self::Request(error) => request_code(error),
            Self::NotInForce { .. } => UNKNOWN,
            Self::Jobs { code, .. } => *code,
            Self::Encoding(_) | Self::Demo(_) | Self::Output(_) => FAULT,
        }
    }
}

fn is_unreadable(report: &Report) -> bool {
    let is_unreadable = |problem: &Problem| matches!(problem.fault(), Fault::Unreadable(_));
    report.problems().iter().all(is_unreadable)
}

/// Returns the exit code for a failed request.
pub(crate) fn request_code(error: &client::Error) -> u8 {
    match error {
        client::Error::Refused(_) => REFUSED,
        client::Error::Conflict(_) | client::Error::Exists(_) => CONFLICT,
        client::Error::Unreachable(_) | client::Error::NotRun(_) => UNREACHABLE,
        client::Error::Unknown { .. } => UNKNOWN,
        client::Error::Answer { .. } => FAULT,
    }
}

/// Body of a failure in JSON.
#[derive(Serialize)]
struct Body {
    error: Detail,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    problems: Vec<Place>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    keys: Vec<String>,
}

#[derive(Serialize)]
struct Detail {
    kind: String,
    message: String,
    hint: String,
}

#[derive(Serialize)]
struct Place {
    file: String,
    line: usize,
    column: usize,
    #[serde(flatten)]
    detail: Detail,
}

/// Prints a failure and returns the exit code for it.
///
/// JSON goes to standard output like any other result, text to standard error.
pub(crate) fn print(failure: &Failure, format: Format) -> ExitCode {
    match format {
        // The result already names each job with its reason.
        Format::Json if matches!(failure, Failure::Jobs { .. }) => {}
        Format::Text => eprint!("{}", render(failure)),
        // A reader of standard output that went away leaves nobody to tell.
        Format::Json => drop(output::json(&body(failure))),
    }
    ExitCode::from(failure.code())
}

fn render(failure: &Failure) -> String {
    let handler = GraphicalReportHandler::new_themed(theme());
    let mut text = String::new();
    match handler.render_report(&mut text, failure) {
        Ok(()) => text.lines().map(|line| format!("{}\n", line.trim_end())).collect(),
        Err(_) => format!("{failure}\n"),
    }
}

/// Returns colours only for a terminal that wants them.
fn theme() -> GraphicalTheme {
    use std::io::IsTerminal;
    let wants_colour = std::env::var_os("NO_COLOR").is_none();
    match io::stderr().is_terminal() && wants_colour {
        true => GraphicalTheme::unicode(),
        false => GraphicalTheme::unicode_nocolor(),
    }
}

fn detail(diagnostic: &dyn Diagnostic) -> Detail {
    Detail {
        kind: diagnostic.code().map(|code| code.to_string()).unwrap_or_default(),
        message: diagnostic.to_string(),
        hint: diagnostic.help().map(|help| help.to_string()).unwrap_or_default(),
    }
}

fn place(problem: &Problem) -> Place {
    Place {
        file: problem.file().to_owned(),
        line: problem.line(),
        column: problem.column(),
        detail: detail(problem),
    }
}

fn body(failure: &Failure) -> Body {
    let problems = match failure {
        Failure::Report(report) => report.problems().iter().map(place).collect(),
        _ => Vec::new(),
    };
    let (version, keys) = match failure {
        Failure::Request(client::Error::Conflict(conflict)) => {
            (Some(conflict.version), conflict.keys.clone())
        }
        Failure::NotInForce { version, .. } => (Some(*version), Vec::new()),
        _ => (None, Vec::new()),
    };
    Body { error: detail(failure), problems, version, keys }
}
