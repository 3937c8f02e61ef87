//! The command `submit`: submits the jobs of a file.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use sycamorerill_config::read_jobs;
use sycamorerill_core::api::Submission;

use crate::client::{Address, Client, Error};
use crate::failure::{Failure, request_code};
use crate::output::{self, Format, Table};

/// Submits the jobs of a file, one after another.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} jobs.toml --instance 10.0.0.7:7070",
    note = "A file holds one [[job]] table for each job with class, team and tasks, and where \
            wanted name, urgency, deadline, size and run_time. Give each job a name: submitting \
            the same name again never runs it twice."
)]
pub(crate) struct Args {
    /// TOML file with an array of tables named job
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Outcome of submitting one job.
#[derive(Serialize)]
struct Outcome {
    job: String,
    outcome: String,
    reason: String,
    #[serde(skip)]
    code: Option<u8>,
}

/// Outcomes of submitting all jobs of the file.
#[derive(Serialize)]
struct Outcomes {
    jobs: Vec<Outcome>,
}

/// Submits the jobs.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let submissions = read_jobs(&args.file)?;
    let client = Client::new(&args.instance)?;
    let jobs = (1..).zip(&submissions).map(|(number, job)| submit(&client, number, job));
    let outcomes = Outcomes { jobs: jobs.collect() };
    match args.format {
        Format::Json => output::json(&outcomes)?,
        Format::Text => print(&outcomes)?,
    }
    finish(&outcomes)
}

fn submit(client: &Client, number: usize, submission: &Submission) -> Outcome {
    let unnamed = || format!("(job {number} of the file)");
    match client.submit(submission) {
        Ok(answer) => Outcome {
            job: answer.job,
            outcome: answer.state.to_string(),
            reason: String::new(),
            code: None,
        },
        Err(error) => Outcome {
            job: submission.name.clone().unwrap_or_else(unnamed),
            outcome: outcome(&error).to_owned(),
            reason: error.to_string(),
            code: Some(request_code(&error)),
        },
    }
}

fn outcome(error: &Error) -> &'static str {
    match error {
        Error::Refused(_) => "refused",
        Error::Exists(_) | Error::Conflict(_) => "exists",
        Error::Unreachable(_) | Error::NotRun(_) => "not_run",
        Error::Unknown { .. } | Error::UnexpectedResponse { .. } => "unknown",
    }
}

fn print(outcomes: &Outcomes) -> Result<(), Failure> {
    let mut table = Table::new(["job", "outcome", "reason"]);
    for job in &outcomes.jobs {
        table.row([job.job.clone(), job.outcome.clone(), job.reason.clone()]);
    }
    table.print("no job")
}

fn finish(outcomes: &Outcomes) -> Result<(), Failure> {
    let codes: Vec<u8> = outcomes.jobs.iter().filter_map(|job| job.code).collect();
    match codes.first() {
        None => Ok(()),
        Some(&code) => Err(Failure::Jobs { failed: codes.len(), total: outcomes.jobs.len(), code }),
    }
}
