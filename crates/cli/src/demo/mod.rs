//! The demonstration of the main job in one process.
//!
//! Three entry instances, the stand-ins of the platform, callers and submitters
//! run on loopback while faults come and go. What happened is counted at the
//! stand-ins and at the callers, and compared with what the entry instances say.

mod faults;
mod fleet;
mod jobs;
mod plan;
mod progress;
mod report;

use std::sync::Arc;
use std::time::{Duration, Instant};

use miette::Diagnostic;
use sycamorerill_fakes::Platform;

use self::faults::Timeline;
use self::fleet::Fleet;
use self::jobs::Jobs;
use self::plan::Plan;
use self::progress::Progress;
use self::report::Report;
use crate::commands::demo::Args;
use crate::failure::Failure;
use crate::load::Callers;
use crate::output::{self, Format};

/// Longest wait for the accepted jobs after the load has ended.
const JOBS_TIME: Duration = Duration::from_secs(60);

/// The ways in which the demonstration can fail.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum Error {
    /// The stand-ins cannot be started.
    #[error("the stand-ins cannot be started: {0}")]
    #[diagnostic(code(demo::platform), help("the demo needs free ports on 127.0.0.1"))]
    Platform(#[from] sycamorerill_fakes::Error),
    /// An entry instance cannot be started.
    #[error("an entry instance cannot be started: {0}")]
    #[diagnostic(code(demo::instance), help("the demo needs free ports on 127.0.0.1"))]
    Instance(#[from] sycamorerill_daemon::Error),
    /// A built-in name is malformed.
    #[error("a built-in name is malformed: {0}")]
    #[diagnostic(code(demo::name))]
    Name(#[from] sycamorerill_core::id::Error),
    /// The built-in configuration has mistakes.
    #[error("the built-in configuration has mistakes: {0}")]
    #[diagnostic(code(demo::config))]
    Config(String),
    /// The entry instances did not become ready.
    #[error("the entry instances did not become ready in time: {0}")]
    #[diagnostic(code(demo::ready), help("look whether the machine is overloaded"))]
    NotReady(String),
    /// A thread cannot be started.
    #[error("a thread cannot be started: {0}")]
    #[diagnostic(code(demo::thread))]
    Thread(#[from] std::io::Error),
    /// Something that must never happen has happened.
    #[error("the demo found a fault: {0}")]
    #[diagnostic(code(demo::fault), help("the counts above say what happened"))]
    Fault(String),
}

/// Runs the demonstration and prints what was counted.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let report = play(args)?;
    match args.format {
        Format::Json => output::json(&report)?,
        Format::Text => report.print()?,
    }
    match report.fault() {
        None => Ok(()),
        Some(fault) => Err(Error::Fault(fault).into()),
    }
}

fn play(args: &Args) -> Result<Report, Error> {
    let plan = Arc::new(Plan::new(args));
    let progress = Progress::start(args, &plan);
    progress.say("starting the stand-ins and three entry instances");
    let platform = Platform::start(plan.stand_ins())?;
    let fleet = Arc::new(Fleet::start(&plan, &platform)?);
    fleet.configure(&plan)?;
    progress.say("carrying calls and jobs");
    let begun = Instant::now();
    let callers = Callers::start(plan.load(fleet.callers()), begun)?;
    let jobs = Jobs::start(&plan, &fleet, begun)?;
    Timeline::new(&plan).play(&platform, &fleet, begun, &progress)?;
    let calls = callers.finish();
    progress.say("waiting for the accepted jobs");
    let jobs = jobs.finish(&platform, JOBS_TIME);
    progress.say("settling the period");
    let counted = fleet.settle();
    let drained = fleet.drain();
    let report = Report::new(args, &platform, calls, jobs, counted, drained);
    platform.stop();
    progress.finish();
    Ok(report)
}
