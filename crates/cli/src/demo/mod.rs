//! Demonstration of the scheduler under faults, in one process.
//!
//! Three entry instances, the stand-ins of the platform, callers and a submitter
//! run on loopback while faults are injected. The counters of the stand-ins and
//! of the callers are then compared with the results of the entry instances.

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

/// Timeout for the accepted jobs to finish after the load has ended.
const JOBS_TIMEOUT: Duration = Duration::from_secs(60);

/// Error of the demonstration.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum Error {
    /// Starting the stand-ins failed.
    #[error("the stand-ins cannot be started: {0}")]
    #[diagnostic(code(demo::platform), help("the demo needs free ports on 127.0.0.1"))]
    Platform(#[from] sycamorerill_fakes::Error),
    /// Starting an entry instance failed.
    #[error("an entry instance cannot be started: {0}")]
    #[diagnostic(code(demo::instance), help("the demo needs free ports on 127.0.0.1"))]
    Instance(#[from] sycamorerill_daemon::Error),
    /// A name in the built-in plan is malformed.
    #[error("a built-in name is malformed: {0}")]
    #[diagnostic(code(demo::name))]
    Name(#[from] sycamorerill_core::id::Error),
    /// The built-in configuration does not pass the checks.
    #[error("the built-in configuration has mistakes: {0}")]
    #[diagnostic(code(demo::config))]
    Config(String),
    /// The entry instances did not become ready in time.
    #[error("the entry instances did not become ready in time: {0}")]
    #[diagnostic(code(demo::ready), help("look whether the machine is overloaded"))]
    NotReady(String),
    /// Starting a thread failed.
    #[error("a thread cannot be started: {0}")]
    #[diagnostic(code(demo::thread))]
    Thread(#[from] std::io::Error),
    /// The counters show a violated guarantee.
    #[error("the demo found a fault: {0}")]
    #[diagnostic(code(demo::fault), help("the counts above say what happened"))]
    Fault(String),
}

/// Runs the demonstration, prints its report, and fails if a guarantee was violated.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let report = run_demo(args)?;
    match args.format {
        Format::Json => output::json(&report)?,
        Format::Text => report.print()?,
    }
    match report.violations() {
        None => Ok(()),
        Some(violations) => Err(Error::Fault(violations).into()),
    }
}

fn run_demo(args: &Args) -> Result<Report, Error> {
    let plan = Arc::new(Plan::new(args));
    let progress = Progress::start(args, &plan);
    progress.set_message("starting the stand-ins and three entry instances");
    let platform = Platform::start(plan.stand_in_settings())?;
    let fleet = Arc::new(Fleet::start(&plan, &platform)?);
    fleet.configure(&plan)?;
    progress.set_message("carrying calls and jobs");
    let started_at = Instant::now();
    let callers = Callers::start(plan.load_settings(fleet.callers()), started_at)?;
    let jobs = Jobs::start(&plan, &fleet, started_at)?;
    Timeline::new(&plan).run(&platform, &fleet, started_at, &progress)?;
    let calls = callers.finish();
    progress.set_message("waiting for the accepted jobs");
    let jobs = jobs.finish(&platform, JOBS_TIMEOUT);
    progress.set_message("settling the period");
    let settled = fleet.settle();
    let drained = fleet.drain();
    let report = Report::new(args, &platform, calls, jobs, settled, drained);
    platform.stop();
    progress.finish();
    Ok(report)
}
