//! Prints errors of commands as text or JSON.

use std::io::{self, IsTerminal};
use std::process::ExitCode;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;
use sycamorerill_config::{Key, Problem};

use super::Failure;
use crate::client;
use crate::output::{self, Format};

/// Environment variable that turns colored output off.
const NO_COLOR: &str = "NO_COLOR";

/// JSON representation of an error.
#[derive(Serialize)]
struct Body {
    error: Detail,
    #[serde(flatten)]
    extra: Extra,
}

#[derive(Serialize)]
struct Detail {
    kind: String,
    message: String,
    hint: String,
}

/// Further fields of an error, beside its message.
#[derive(Serialize)]
#[serde(untagged)]
enum Extra {
    Problems { problems: Vec<ProblemBody> },
    Conflict { version: u64, keys: Vec<String>, theirs: Vec<String>, both: Vec<String> },
    NotInForce { version: u64, instances: Vec<String> },
    Empty {},
}

/// JSON representation of a problem of a configuration.
#[derive(Serialize)]
pub(crate) struct ProblemBody {
    file: String,
    line: usize,
    column: usize,
    #[serde(flatten)]
    detail: Detail,
}

/// Prints an error and returns its exit code.
///
/// JSON is printed to standard output like any other result, text to standard error.
pub(crate) fn print(failure: &Failure, format: Format) -> ExitCode {
    match format {
        // The printed result already contains each job with its reason.
        Format::Json if matches!(failure, Failure::Jobs { .. }) => {}
        Format::Text => eprint!("{}", render(failure)),
        // If standard output cannot be written, there is nowhere to report it.
        Format::Json => drop(output::json(&body(failure))),
    }
    ExitCode::from(failure.code())
}

/// Prints warnings to standard error.
pub(crate) fn warn(warnings: &[Problem]) {
    for warning in warnings {
        eprint!("{}", render(warning));
    }
}

fn render(diagnostic: &dyn Diagnostic) -> String {
    let handler = GraphicalReportHandler::new_themed(theme());
    let mut text = String::new();
    match handler.render_report(&mut text, diagnostic) {
        Ok(()) => text.lines().map(|line| format!("{}\n", line.trim_end())).collect(),
        Err(_) => format!("{diagnostic}\n"),
    }
}

/// Returns a theme with colors only if standard error is a terminal and `NO_COLOR` is not set.
fn theme() -> GraphicalTheme {
    let wants_color = std::env::var_os(NO_COLOR).is_none();
    match io::stderr().is_terminal() && wants_color {
        true => GraphicalTheme::unicode(),
        false => GraphicalTheme::unicode_nocolor(),
    }
}

fn body(failure: &Failure) -> Body {
    Body { error: detail(failure), extra: extra(failure) }
}

fn detail(diagnostic: &dyn Diagnostic) -> Detail {
    Detail {
        kind: diagnostic.code().map(|code| code.to_string()).unwrap_or_default(),
        message: diagnostic.to_string(),
        hint: diagnostic.help().map(|help| help.to_string()).unwrap_or_default(),
    }
}

fn extra(failure: &Failure) -> Extra {
    match failure {
        Failure::Report(report) => {
            Extra::Problems { problems: report.problems().iter().map(problem_body).collect() }
        }
        Failure::Conflict { version, keys, theirs, both } => Extra::Conflict {
            version: *version,
            keys: keys.clone(),
            theirs: key_texts(theirs),
            both: key_texts(both),
        },
        Failure::Request(client::Error::Conflict(conflict)) => Extra::Conflict {
            version: conflict.version,
            keys: conflict.keys.clone(),
            theirs: Vec::new(),
            both: Vec::new(),
        },
        Failure::NotInForce { version, instances, .. } => {
            Extra::NotInForce { version: *version, instances: instances.clone() }
        }
        _ => Extra::Empty {},
    }
}

fn key_texts(keys: &[Key]) -> Vec<String> {
    keys.iter().map(Key::to_string).collect()
}

/// Returns the JSON representation of a problem.
pub(crate) fn problem_body(problem: &Problem) -> ProblemBody {
    ProblemBody {
        file: problem.file().to_owned(),
        line: problem.line(),
        column: problem.column(),
        detail: detail(problem),
    }
}
