//! The demonstration of the main job in one process.

use miette::Diagnostic;

use crate::commands::demo::Args;

/// The ways in which the demonstration can fail.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum Error {
    /// The demonstration does not exist yet.
    #[error("the demo of {:?} for {} s with seed {} is not built yet", .0.deployment, .0.seconds, .0.seed)]
    #[diagnostic(code(not_built), help("run `cargo test --workspace` meanwhile"))]
    NotBuilt(Unbuilt),
}

/// What was asked for.
#[derive(Debug)]
pub(crate) struct Unbuilt {
    deployment: crate::commands::demo::Deployment,
    seconds: u64,
    seed: u64,
}

/// Runs the demonstration.
pub(crate) fn run(args: &Args) -> Result<(), Error> {
    let &Args { deployment, seconds, seed, .. } = args;
    Err(Error::NotBuilt(Unbuilt { deployment, seconds, seed }))
}
