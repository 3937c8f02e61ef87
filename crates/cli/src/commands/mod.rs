//! Commands of the program, one module each.

pub(crate) mod apply;
mod base;
pub(crate) mod cancel;
pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod drain;
pub(crate) mod jobs;
pub(crate) mod load;
pub(crate) mod penalties;
pub(crate) mod status;
pub(crate) mod submit;
mod wait;

use crate::Failure;
use crate::args::{Args, Command};

pub(crate) use base::BaseError;

/// Runs the command in the arguments.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    match &args.command {
        Command::Check(args) => check::run(args),
        Command::Apply(args) => apply::run(args),
        Command::Status(args) => status::run(args),
        Command::Jobs(args) => jobs::run(args),
        Command::Submit(args) => submit::run(args),
        Command::Cancel(args) => cancel::run(args),
        Command::Drain(args) => drain::run(args),
        Command::Penalties(args) => penalties::run(args),
        Command::Load(args) => load::run(args),
        Command::Demo(args) => Ok(crate::demo::run(args)?),
    }
}
