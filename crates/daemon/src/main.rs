//! Runs one entry instance.

use std::process::ExitCode;
use std::thread;

use argh::FromArgs;
use crossbeam_channel::{Receiver, bounded, select};
use miette::Report;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use sycamorerill_daemon::settings::{Environment, Flags, Settings, resolve};
use sycamorerill_daemon::{Daemon, EndReason, Error, events};

/// Program name in usage messages when the argument list is empty.
const PROGRAM: &str = "sycamorerilld";
/// Exit code for invalid flags, variables or settings.
const EXIT_USAGE: u8 = 2;
/// Exit code when the instance fails to start.
const EXIT_FAILURE: u8 = 1;
/// Exit code when the drain timeout expired before all work was finished.
const EXIT_UNFINISHED: u8 = 3;

fn main() -> ExitCode {
    let flags = match parse_flags() {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    if flags.version {
        // `println!` panics on a closed pipe; that is acceptable, as nothing follows.
        println!("sycamorerilld {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if flags.edge {
        return match sycamorerill_platform::run(flags.metrics_port) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => print_report(Report::msg(error), EXIT_FAILURE),
        };
    }
    let environment: Environment = std::env::vars().collect();
    let settings = match resolve(&flags, &environment) {
        Ok(settings) => settings,
        Err(error) => return print_report(error.into(), EXIT_USAGE),
    };
    if let Err(error) = events::start(&settings.log) {
        return print_report(Report::msg(error), EXIT_FAILURE);
    }
    match run(&settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_UNFINISHED),
        Err(error) => print_report(error.into(), EXIT_FAILURE),
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Returns the exit code after printing the help or a usage error.
fn parse_flags() -> Result<Flags, ExitCode> {
    let args: Vec<String> =
        std::env::args_os().map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = args.split_first().unwrap_or((&PROGRAM, &[]));
    Flags::from_args(&[name], rest).map_err(|exit| match exit.status {
        Ok(()) => {
            print!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}Run `{PROGRAM} --help` for usage.", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}

fn print_report(report: Report, code: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(code)
}

/// Runs the instance until a graceful shutdown and restarts it when it is fenced.
///
/// Returns whether all work was finished within the drain timeout.
fn run(settings: &Settings) -> Result<bool, Error> {
    let signals = shutdown_signals()?;
    loop {
        let daemon = Daemon::start(settings.clone())?;
        if wait_for_end(&daemon, &signals) == EndReason::Fenced {
            daemon.kill();
            continue;
        }
        return Ok(daemon.drain());
    }
}

fn wait_for_end(daemon: &Daemon, signals: &Receiver<()>) -> EndReason {
    select! {
        recv(signals) -> _ => EndReason::DrainRequested,
        recv(daemon.end_reasons()) -> reason => reason.unwrap_or(EndReason::DrainRequested),
    }
}

/// Starts a thread that forwards SIGINT and SIGTERM to the returned channel.
fn shutdown_signals() -> Result<Receiver<()>, Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let (sender, receiver) = bounded(1);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            // The channel is full when a shutdown has already been requested.
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}
