//! Runs one entry instance.

use std::process::ExitCode;
use std::thread;

use crossbeam_channel::{Receiver, bounded, select};
use miette::Report;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use sycamorerill_daemon::settings::{Environment, Flags, Settings, resolve};
use sycamorerill_daemon::{Daemon, End, Error, events};

/// Exit code after wrong use.
const WRONG_USE: u8 = 2;
/// Exit code after a failure to start.
const FAILED: u8 = 1;
/// Exit code after a shutdown that did not finish what was in progress.
const UNFINISHED: u8 = 3;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    if flags.version {
        // The version is the whole output; a closed pipe is no concern of ours.
        println!("sycamorerilld {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let environment: Environment = std::env::vars().collect();
    let settings = match resolve(&flags, &environment) {
        Ok(settings) => settings,
        Err(error) => return report(error.into(), WRONG_USE),
    };
    if let Err(error) = events::start(&settings.log) {
        return report(Report::msg(error), FAILED);
    }
    match run(&settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(UNFINISHED),
        Err(error) => report(error.into(), FAILED),
    }
}

fn report(report: Report, code: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(code)
}

/// Runs incarnations of the instance until a graceful shutdown.
fn run(settings: &Settings) -> Result<bool, Error> {
    let signals = signals()?;
    loop {
        let daemon = Daemon::start(settings.clone())?;
        if wait(&daemon, &signals) == End::Fenced {
            daemon.kill();
            continue;
        }
        return Ok(daemon.drain());
    }
}

fn wait(daemon: &Daemon, signals: &Receiver<()>) -> End {
    select! {
        recv(signals) -> _ => End::DrainAsked,
        recv(daemon.ends()) -> end => end.unwrap_or(End::DrainAsked),
    }
}

/// Passes the signals that ask for a graceful shutdown on.
fn signals() -> Result<Receiver<()>, Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let (sender, receiver) = bounded(1);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            // A second signal finds the shutdown under way.
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}
