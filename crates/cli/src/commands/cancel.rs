//! The command `cancel`: cancels a job.

use argh::FromArgs;
use sycamorerill_core::id::JobName;

use crate::client::{Address, Client};
use crate::failure::Failure;
use crate::output::{self, Format};

/// Cancels a job; repeating it is harmless.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "cancel",
    example = "{command_name} cut-list-0412 --instance 10.0.0.7:7070"
)]
pub(crate) struct Args {
    /// name of the job
    #[argh(positional)]
    pub(crate) job: JobName,
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Cancels the job.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let answer = Client::new(&args.instance)?.cancel(args.job.as_str())?;
    match args.format {
        Format::Json => output::json(&answer),
        Format::Text => output::line(format_args!("{} is {}", answer.job, answer.state)),
    }
}
