//! The command `drain`: takes an entry instance out of service.

use argh::FromArgs;
use serde::Serialize;
use sycamorerill_core::id::InstanceName;

use crate::client::{Address, Client};
use crate::failure::Failure;
use crate::output::{self, Format};

/// Drains an entry instance: it takes no new work, hands over and finishes what is in progress.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} entry-3 --instance 10.0.0.7:7070",
    note = "Returns when draining has begun; `sycamorerill status` shows how far it is."
)]
pub(crate) struct Args {
    /// name of the entry instance that is to leave
    #[argh(positional)]
    pub(crate) name: InstanceName,
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Result of the command.
#[derive(Serialize)]
struct DrainStarted<'a> {
    instance: &'a str,
    state: &'static str,
}

/// Starts draining the instance.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let instance = args.name.as_str();
    Client::new(&args.instance)?.drain(instance)?;
    match args.format {
        Format::Json => output::json(&DrainStarted { instance, state: "draining" }),
        Format::Text => output::line(format_args!("{instance} is draining")),
    }
}
