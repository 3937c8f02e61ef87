//! The command `load`: sends calls to running entry instances and counts the outcomes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use sycamorerill_core::clock::Span;

use crate::failure::Failure;
use crate::load::{Callers, Calls, Settings};
use crate::output::{self, Format, Table};

/// Loads running entry instances with calls and counts what the callers are told.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} --caller 10.0.0.7:8080 --service orders --rate 400 --seconds 20"
)]
pub(crate) struct Args {
    /// callers' address of an entry instance, IP:PORT; may be repeated
    #[argh(option)]
    pub(crate) caller: Vec<SocketAddr>,
    /// service to call
    #[argh(option)]
    pub(crate) service: String,
    /// calls a second (default: 400)
    #[argh(option, default = "400")]
    pub(crate) rate: u32,
    /// callers at one time (default: 160)
    #[argh(option, default = "160")]
    pub(crate) callers: u32,
    /// part of the calls that only read, in percent (default: 60)
    #[argh(option, default = "60")]
    pub(crate) reads: u32,
    /// time within which an answer is wanted (default: 300ms)
    #[argh(option, default = "Span::from_ms(300)")]
    pub(crate) within: Span,
    /// length of the run in seconds (default: 20)
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,
    /// seed of the calls; runs against the same instances need different ones (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Sends the calls and prints the counters.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    if args.caller.is_empty() {
        return Err(Failure::NoCaller);
    }
    let settings = Settings {
        instances: args.caller.clone(),
        service: args.service.clone(),
        within: args.within,
        seed: args.seed,
        length: Duration::from_secs(args.seconds),
        rate: args.rate.max(1),
        steady_callers: args.callers.max(1),
        read_percent: args.reads,
        ..Settings::default()
    };
    let callers = Callers::start(settings, Instant::now()).map_err(Failure::Output)?;
    let calls = callers.finish();
    match args.format {
        Format::Json => output::json(&calls),
        Format::Text => print(&calls),
    }
}

fn print(calls: &Calls) -> Result<(), Failure> {
    let mut table = Table::new(["calls", "", "latency", ""]);
    let ms = |ms: f64| format!("{ms:.1} ms");
    let rows = [
        ("sent", calls.sent, "median", ms(calls.p50_ms)),
        ("answered", calls.answered, "p99", ms(calls.p99_ms)),
        ("not run", calls.not_run, "p99.9", ms(calls.p999_ms)),
        ("unknown", calls.unknown, "connections broken", calls.broken.to_string()),
        ("wrong answers", calls.wrong_answer, "told nothing", calls.untold.to_string()),
    ];
    for (name, number, latency, value) in rows {
        table.row([name.to_owned(), number.to_string(), latency.to_owned(), value]);
    }
    table.print("")?;
    for (reason, number) in &calls.reasons {
        output::line(format_args!("{number} {reason}"))?;
    }
    Ok(())
}
