//! Command-line arguments.

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use crate::commands::{apply, cancel, check, demo, drain, jobs, load, penalties, status, submit};
use crate::failure::WRONG_USE;
use crate::output::Format;

/// Name of the program in its usage texts.
const PROGRAM: &str = "sycamorerill";

/// Checks and applies configurations, and operates entry instances.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} check examples/ropes",
    note = "SYCAMORERILL_INSTANCES holds the operator addresses of entry instances, IP:PORT \
            separated by commas; --instance goes before it.",
    error_code(1, "an answer was not understood, or the demo found a fault"),
    error_code(2, "wrong use"),
    error_code(3, "refused; do not repeat unchanged"),
    error_code(4, "conflict with another change"),
    error_code(5, "unreachable; nothing happened, repeat later"),
    error_code(6, "outcome unknown; look before repeating")
)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(check::Args),
    Apply(apply::Args),
    Status(status::Args),
    Jobs(jobs::Args),
    Submit(submit::Args),
    Cancel(cancel::Args),
    Drain(drain::Args),
    Penalties(penalties::Args),
    Load(load::Args),
    Demo(demo::Args),
}

impl Args {
    /// Returns the format in which failures are printed.
    pub(crate) fn format(&self) -> Format {
        match &self.command {
            Command::Check(args) => args.format,
            Command::Apply(args) => args.format,
            Command::Status(args) => args.format,
            Command::Jobs(args) => args.format,
            Command::Submit(args) => args.format,
            Command::Cancel(args) => args.format,
            Command::Drain(args) => args.format,
            Command::Penalties(args) => args.format.failure_format(),
            Command::Load(args) => args.format,
            Command::Demo(args) => args.format,
        }
    }
}

/// Text to print instead of running a command.
#[derive(Debug)]
pub(crate) struct Exit {
    text: String,
    is_help: bool,
}

impl Exit {
    /// Prints help to standard output, or a usage error to standard error.
    pub(crate) fn print(self) -> ExitCode {
        if self.is_help {
            print!("{}", self.text);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}", self.text.trim_end());
        eprintln!("Run `{PROGRAM} --help` for usage.");
        ExitCode::from(WRONG_USE)
    }
}

impl From<EarlyExit> for Exit {
    fn from(exit: EarlyExit) -> Self {
        Self { text: exit.output, is_help: exit.status.is_ok() }
    }
}

/// Parses the arguments after the program name.
pub(crate) fn parse(args: &[&str]) -> Result<Args, Exit> {
    Args::from_args(&[PROGRAM], args).map_err(Exit::from)
}
