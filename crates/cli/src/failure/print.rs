//! Printing failures as text or JSON.

use std::io::{self, IsTerminal};
use std::process::ExitCode;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;
use sycamorerill_config::{Key, Problem};

use super::Failure;
use crate::client;
use crate::output::{self, Format};

/// Environment variable that asks for output without colours.
const NO_COLOR: &str = "NO_COLOR";

/// Body of a failure in JSON.
#[derive(Serialize)]
struct Body {
    error: Detail,
    #[serde(flatten)]
    more: More,
}

#[derive(Serialize)]
struct Detail {
    kind: String,
    message: String,
    hint: String,
}

/// What a failure says beyond its message.
#[derive(Serialize)]
#[serde(untagged)]
enum More {
    Problems { problems: Vec<Place> },
    Conflict { version: u64, keys: Vec<String>, theirs: Vec<String>, both: Vec<String> },
    Late { version: u64, instances: Vec<String> },
    Nothing {},
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
    let wants_colour = std::env::var_os(NO_COLOR).is_none();
    match io::stderr().is_terminal() && wants_colour {
        true => GraphicalTheme::unicode(),
        false => GraphicalTheme::unicode_nocolor(),
    }
}

fn body(failure: &Failure) -> Body {
    Body { error: detail(failure), more: more(failure) }
}

fn detail(diagnostic: &dyn Diagnostic) -> Detail {
    Detail {
        kind: diagnostic.code().map(|code| code.to_string()).unwrap_or_default(),
        message: diagnostic.to_string(),
        hint: diagnostic.help().map(|help| help.to_string()).unwrap_or_default(),
    }
}

fn more(failure: &Failure) -> More {
    match failure {
        Failure::Report(report) => {
            More::Problems { problems: report.problems().iter().map(place).collect() }
        }
        Failure::Conflict { version, keys, theirs, both } => More::Conflict {
            version: *version,
            keys: keys.clone(),
            theirs: texts(theirs),
            both: texts(both),
        },
        Failure::Request(client::Error::Conflict(conflict)) => More::Conflict {
            version: conflict.version,
            keys: conflict.keys.clone(),
            theirs: Vec::new(),
            both: Vec::new(),
        },
        Failure::NotInForce { version, instances, .. } => {
            More::Late { version: *version, instances: instances.clone() }
        }
        _ => More::Nothing {},
    }
}

fn texts(keys: &[Key]) -> Vec<String> {
    keys.iter().map(Key::to_string).collect()
}

fn place(problem: &Problem) -> Place {
    Place {
        file: problem.file().to_owned(),
        line: problem.line(),
        column: problem.column(),
        detail: detail(problem),
    }
}
