//! Waits until a version is in force at every entry instance.

use std::io::{self, IsTerminal};
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use sycamorerill_core::api::{InstanceState, Status};

use super::apply::Args;
use crate::client::{Client, Error};
use crate::failure::Failure;
use crate::output::Format;

/// Interval between two requests for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Template of the progress bar.
const PROGRESS_TEMPLATE: &str = "{spinner} in force at {pos} of {len} entry instances ({elapsed})";

/// Waits until every live entry instance runs `version`, and returns the time waited in
/// milliseconds.
///
/// Returns none without waiting when the time to wait is 0.
pub(super) fn in_force(client: &Client, version: u64, args: &Args) -> Result<Option<u64>, Failure> {
    if args.wait == 0 {
        return Ok(None);
    }
    let start = Instant::now();
    let timeout = Duration::from_secs(args.wait);
    let progress = progress_bar(args.format);
    loop {
        let response = client.status();
        if let Ok(status) = &response {
            let lagging = lagging(status, version);
            progress.set_length(status.instances.len() as u64);
            progress.set_position((status.instances.len() - lagging.len()) as u64);
            if lagging.is_empty() {
                progress.finish_and_clear();
                let waited = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
                return Ok(Some(waited));
            }
        }
        if start.elapsed() >= timeout {
            progress.finish_and_clear();
            return Err(not_in_force(response, version, args.wait));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a progress bar that is hidden unless text is printed to a terminal.
fn progress_bar(format: Format) -> ProgressBar {
    if format == Format::Json || !io::stdout().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        bar.set_style(style);
    }
    bar
}

/// Returns the names of instances that are not dead and run a version older than `version`.
fn lagging(status: &Status, version: u64) -> Vec<String> {
    let instances = status.instances.iter();
    let lagging = instances
        .filter(|instance| instance.state != InstanceState::Dead && instance.version < version);
    lagging.map(|instance| instance.name.clone()).collect()
}

fn not_in_force(response: Result<Status, Error>, version: u64, waited_s: u64) -> Failure {
    let instances = match response {
        Ok(status) => lagging(&status, version),
        Err(error) => vec![error.to_string()],
    };
    Failure::NotInForce { version, waited_s, instances }
}
