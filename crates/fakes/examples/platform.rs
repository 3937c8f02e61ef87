//! Serves the stand-ins over HTTP until SIGTERM or SIGINT.
//!
//! ```text
//! cargo run --release --example platform -- --listen 127.0.0.1:7700 --workers 65 --executors 65
//! ```

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use sycamorerill_core::clock::Span;
use sycamorerill_fakes::{Deployment, Platform, Settings};

/// Serves stand-ins of the table, the object store, the instance list, workers and executors.
#[derive(FromArgs)]
struct Flags {
    /// address to listen on, such as 127.0.0.1:7700
    #[argh(option)]
    listen: SocketAddr,
    /// deployment whose failure domains are used, ropes or heaters
    #[argh(option, default = "Deployment::ropes()", from_str_fn(deployment))]
    deployment: Deployment,
    /// number of workers; default is that of the deployment
    #[argh(option)]
    workers: Option<u32>,
    /// number of executors; default is that of the deployment
    #[argh(option)]
    executors: Option<u32>,
    /// seed of everything that is drawn at random
    #[argh(option, default = "1")]
    seed: u64,
    /// how many times faster than declared tasks run
    #[argh(option, default = "1.0")]
    speedup: f64,
    /// how old the instance list is
    #[argh(option, default = "Settings::default().list_lag")]
    list_lag: Span,
    /// how old the usage in workers' reports is
    #[argh(option, default = "Settings::default().report_lag")]
    report_lag: Span,
    /// time that each request to the table or the object store takes
    #[argh(option, default = "Settings::default().store_latency")]
    store_latency: Span,
}

fn deployment(name: &str) -> Result<Deployment, String> {
    match name {
        "ropes" => Ok(Deployment::ropes()),
        "heaters" => Ok(Deployment::heaters()),
        _ => Err(format!("`{name}` is not a deployment, expected ropes or heaters")),
    }
}

fn settings(flags: Flags) -> Settings {
    let default = flags.deployment.domains.iter();
    let (workers, executors) = default.fold((0, 0), |(workers, executors), domain| {
        (workers + domain.workers, executors + domain.executors)
    });
    let workers = flags.workers.unwrap_or(workers);
    let executors = flags.executors.unwrap_or(executors);
    Settings {
        listen: flags.listen,
        seed: flags.seed,
        deployment: flags.deployment.scaled(workers, executors),
        speedup: flags.speedup,
        list_lag: flags.list_lag,
        report_lag: flags.report_lag,
        store_latency: flags.store_latency,
        ..Settings::default()
    }
}

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let signals = Signals::new([SIGTERM, SIGINT]);
    let platform = match Platform::start(settings(flags)) {
        Ok(platform) => platform,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", platform.address());
    match signals {
        Ok(mut signals) => signals.forever().next(),
        Err(error) => {
            eprintln!("cannot wait for signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    platform.stop();
    ExitCode::SUCCESS
}
