//! Waiting until a version is in force everywhere.

use std::io::{self, IsTerminal};
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use sycamorerill_core::api::{InstanceState, Status};

use super::apply::Args;
use crate::client::{Client, Error};
use crate::failure::Failure;
use crate::output::Format;

/// Time between two looks at the status.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Layout of the progress display.
const PROGRESS: &str = "{spinner} in force at {pos} of {len} entry instances ({elapsed})";

/// Waits until every entry instance runs `version`, and returns the milliseconds that it took.
///
/// Returns nothing when the arguments say not to wait.
pub(super) fn in_force(client: &Client, version: u64, args: &Args) -> Result<Option<u64>, Failure> {
    if args.wait == 0 {
        return Ok(None);
    }
    let start = Instant::now();
    let limit = Duration::from_secs(args.wait);
    let progress = display(args.format);
    loop {
        let looked = client.status();
        if let Ok(status) = &looked {
            let lagging = lagging(status, version);
            progress.set_length(status.instances.len() as u64);
            progress.set_position((status.instances.len() - lagging.len()) as u64);
            if lagging.is_empty() {
                progress.finish_and_clear();
                let waited = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
                return Ok(Some(waited));
            }
        }
        if start.elapsed() >= limit {
            progress.finish_and_clear();
            return Err(late(looked, version, args.wait));
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
}

/// Returns a display that is drawn only for a person at a terminal.
fn display(format: Format) -> ProgressBar {
    if format == Format::Json || !io::stdout().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template(PROGRESS) {
        bar.set_style(style);
    }
    bar
}

/// Returns the instances that are not thought gone and run an older version.
fn lagging(status: &Status, version: u64) -> Vec<String> {
    let instances = status.instances.iter();
    let lagging = instances
        .filter(|instance| instance.state != InstanceState::Dead && instance.version < version);
    lagging.map(|instance| instance.name.clone()).collect()
}

fn late(looked: Result<Status, Error>, version: u64, waited_s: u64) -> Failure {
    let instances = match looked {
        Ok(status) => lagging(&status, version),
        Err(error) => vec![error.to_string()],
    };
    Failure::NotInForce { version, waited_s, instances }
}
