//! The command `jobs`: lists jobs.

use argh::FromArgs;
use sycamorerill_core::api::{Job, Jobs};

use crate::client::{Address, Client};
use crate::failure::Failure;
use crate::output::{self, Format, Table};

const MS_PER_SECOND: i64 = 1_000;

/// Lists jobs with their state and, where one cannot run, the reason.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "jobs", example = "{command_name} --instance 10.0.0.7:7070")]
pub(crate) struct Args {
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Lists the jobs.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let jobs = Client::new(&args.instance)?.jobs()?;
    match args.format {
        Format::Json => output::json(&jobs),
        Format::Text => print(&jobs),
    }
}

fn print(jobs: &Jobs) -> Result<(), Failure> {
    let mut table =
        Table::new(["job", "class", "team", "state", "finished", "deadline in", "reason"]);
    for job in &jobs.jobs {
        table.row([
            job.name.clone(),
            job.class.clone(),
            job.team.clone(),
            job.state.to_string(),
            format!("{} of {}", job.finished, job.tasks),
            deadline(job),
            job.reason.clone(),
        ]);
    }
    table.print("no job")
}

fn deadline(job: &Job) -> String {
    match job.deadline_ms {
        Some(ms) if ms < 0 => format!("passed {} s ago", -(ms / MS_PER_SECOND)),
        Some(ms) => format!("{} s", ms / MS_PER_SECOND),
        None => String::new(),
    }
}
