//! Prints results as text or JSON.

use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;

use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::failure::Failure;
use crate::parse;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text and tables for people.
    #[default]
    Text,
    /// One JSON object on one line.
    Json,
}

impl FromStr for Format {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, parse::Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(parse::Error::new(text, "a format", "text or json")),
        }
    }
}

/// Prints one or more lines to standard output.
///
/// A broken pipe, as when the output is piped to `head`, is not an error.
pub(crate) fn line(text: impl fmt::Display) -> Result<(), Failure> {
    let mut stdout = io::stdout().lock();
    match writeln!(stdout, "{text}").and_then(|()| stdout.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Output(error)),
        _ => Ok(()),
    }
}

/// Prints a value as one JSON object on one line.
pub(crate) fn json(value: &impl Serialize) -> Result<(), Failure> {
    line(serde_json::to_string(value).map_err(|error| Failure::Output(error.into()))?)
}

/// Returns a number followed by the noun in the singular or the plural.
pub(crate) fn count(number: u64, one: &str, many: &str) -> String {
    match number {
        1 => format!("1 {one}"),
        _ => format!("{number} {many}"),
    }
}

/// A table with a header, printed as text.
pub(crate) struct Table {
    builder: Builder,
    rows: usize,
}

impl Table {
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        let mut builder = Builder::new();
        builder.push_record(header);
        Self { builder, rows: 0 }
    }

    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.builder.push_record(cells);
        self.rows += 1;
    }

    /// Prints the table, or the text `empty` if it has no rows.
    pub(crate) fn print(self, empty: &str) -> Result<(), Failure> {
        match self.rows {
            0 => line(empty),
            _ => line(self.builder.build().with(Style::rounded())),
        }
    }
}
