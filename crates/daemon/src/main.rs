//! Runs one entry instance.

use std::process::ExitCode;
use std::thread;

use argh::FromArgs;
use crossbeam_channel::{Receiver, bounded, select};
use miette::Report;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use sycamorerill_daemon::settings::{Environment, Flags, Settings, resolve};
use sycamorerill_daemon::{Daemon, End, Error, events};

/// Name under which the program prints its usage.
const PROGRAM: &str = "sycamorerilld";
/// Exit code after wrong use.
const WRONG_USE: u8 = 2;
/// Exit code after a failure to start.
const FAILED: u8 = 1;
/// Exit code after a shutdown that did not finish what was in progress.
const UNFINISHED: u8 = 3;

fn main() -> ExitCode {
    let flags = match flags() {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    if flags.version {
        // The version is the whole output; a closed pipe is no concern of ours.
        println!("sycamorerilld {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if flags.edge {
        return match sycamorerill_platform::run(flags.metrics_port) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => report(Report::msg(error), FAILED),
        };
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

/// Reads the flags; help and wrong use end the process with the code returned.
fn flags() -> Result<Flags, ExitCode> {
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
            ExitCode::from(WRONG_USE)
        }
    })
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
