//! The command `penalties`: settles the penalties of a period.

use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use sycamorerill_core::api::{Grouping, Penalties};
use sycamorerill_core::money::Amount;

use crate::client::{Address, Client, Period};
use crate::failure::Failure;
use crate::output::{self, Format, Table};
use crate::parse;

/// Milliseconds in one minute, the granularity at which missed targets are counted.
const MS_PER_MINUTE: u64 = 60_000;

/// Settles the penalties of a period by target, team or service.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "penalties",
    example = "{command_name} --from 2026-11-01 --to 2026-12-01 --by team --format csv",
    note = "Times are UTC, in whole minutes. The period begins at --from and ends before --to."
)]
pub(crate) struct Args {
    /// first instant, as 2026-11-01 or 2026-11-01T06:00:00Z
    #[argh(option)]
    pub(crate) from: Timestamp,
    /// end of the period, that of the present minute when missing
    #[argh(option, default = "Timestamp::end_of_minute()")]
    pub(crate) to: Timestamp,
    /// target, team or service
    #[argh(option, default = "Grouping::Target")]
    pub(crate) by: Grouping,
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// text, json or csv
    #[argh(option, default = "PenaltyFormat::Text")]
    pub(crate) format: PenaltyFormat,
}

/// Time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timestamp(u64);

impl Timestamp {
    /// Returns the end of the current minute.
    fn end_of_minute() -> Self {
        let Self(now) = Self::from(SystemTime::now());
        Self((now / MS_PER_MINUTE + 1) * MS_PER_MINUTE)
    }
}

impl From<SystemTime> for Timestamp {
    fn from(time: SystemTime) -> Self {
        let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl FromStr for Timestamp {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, parse::Error> {
        let midnight = format!("{text}T00:00:00Z");
        let time = humantime::parse_rfc3339(text).or_else(|_| humantime::parse_rfc3339(&midnight));
        time.map(Self::from)
            .map_err(|_| parse::Error::new(text, "a time", "2026-11-01 or 2026-11-01T06:00:00Z"))
    }
}

/// Output format of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PenaltyFormat {
    Text,
    Json,
    /// One line per row, after a header line.
    Csv,
}

impl PenaltyFormat {
    /// Returns the format in which failures are printed.
    pub(crate) fn failure_format(self) -> Format {
        match self {
            Self::Json => Format::Json,
            Self::Text | Self::Csv => Format::Text,
        }
    }
}

impl FromStr for PenaltyFormat {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, parse::Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "csv" => Ok(Self::Csv),
            _ => Err(parse::Error::new(text, "a format", "text, json or csv")),
        }
    }
}

/// Settles the period.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let period = Period { from_ms: args.from.0, to_ms: args.to.0 };
    if period.from_ms >= period.to_ms {
        return Err(Failure::EmptyPeriod);
    }
    let penalties = Client::new(&args.instance)?.penalties(period, args.by)?;
    match args.format {
        PenaltyFormat::Json => output::json(&penalties),
        PenaltyFormat::Text => print(&penalties, args.by),
        PenaltyFormat::Csv => print_csv(&penalties, args.by),
    }
}

fn print(penalties: &Penalties, by: Grouping) -> Result<(), Failure> {
    let mut table = Table::new([by.as_str(), "missed", "penalty"]);
    for row in &penalties.rows {
        let penalty = Amount(row.penalty).to_string();
        table.row([row.key.clone(), row.missed.to_string(), penalty]);
    }
    table.print("no target was missed")?;
    let total = penalties.total;
    output::line(format_args!("total: {} missed, {}", total.missed, Amount(total.penalty)))
}

/// Prints the rows as CSV without a total; names contain nothing that needs quotes.
fn print_csv(penalties: &Penalties, by: Grouping) -> Result<(), Failure> {
    output::line(format_args!("{by},missed,penalty"))?;
    for row in &penalties.rows {
        output::line(format_args!("{},{},{}", row.key, row.missed, Amount(row.penalty)))?;
    }
    Ok(())
}
