//! The command `status`: shows the versions, free slots and tasks of the entry instances.

use argh::FromArgs;
use sycamorerill_core::api::Status;

use crate::client::{Address, Client};
use crate::failure::Failure;
use crate::output::{self, Format, Table};

/// Shows the entry instances and the version that each of them runs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name} --instance 10.0.0.7:7070")]
pub(crate) struct Args {
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Shows the status.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let status = Client::new(&args.instance)?.status()?;
    match args.format {
        Format::Json => output::json(&status),
        Format::Text => print(&status),
    }
}

fn print(status: &Status) -> Result<(), Failure> {
    let mut table = Table::new([
        "instance",
        "domain",
        "state",
        "incarnation",
        "version",
        "free slots",
        "running tasks",
    ]);
    for instance in &status.instances {
        table.row([
            instance.name.clone(),
            instance.domain.clone(),
            instance.state.to_string(),
            instance.incarnation.to_string(),
            instance.version.to_string(),
            instance.free_slots.to_string(),
            instance.running_tasks.to_string(),
        ]);
    }
    table.print("no entry instance is known")?;
    output::line(format_args!("newest version: {}", status.version))?;
    if let Some(change) = status.last_change {
        match change.in_force_ms {
            Some(ms) => output::line(format_args!(
                "last change: version {} in force everywhere after {ms} ms",
                change.version
            ))?,
            None => output::line(format_args!(
                "last change: version {} not yet in force everywhere",
                change.version
            ))?,
        }
    }
    output::line(format_args!("platform's store: {}", status.store.state))
}
