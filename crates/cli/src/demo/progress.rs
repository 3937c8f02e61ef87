//! Shows how far the demonstration is, where somebody watches.

use std::io::IsTerminal;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use super::plan::Plan;
use crate::commands::demo::Args;
use crate::output::Format;

/// Milliseconds in one second.
const MS: u64 = 1_000;

/// A progress display, hidden unless standard output is a terminal.
pub(super) struct Progress {
    bar: ProgressBar,
}

impl Progress {
    /// Starts the display.
    pub(super) fn start(args: &Args, plan: &Plan) -> Self {
        let watched = args.format == Format::Text && std::io::stdout().is_terminal();
        if !watched {
            return Self { bar: ProgressBar::hidden() };
        }
        let bar = ProgressBar::new(plan.length.as_secs() * MS);
        let style = ProgressStyle::with_template("{bar:40.cyan/blue} {elapsed} {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Self { bar }
    }

    /// Says what happens now.
    pub(super) fn say(&self, what: &'static str) {
        self.bar.set_message(what);
    }

    /// Sets how far the run is.
    pub(super) fn at(&self, elapsed: Duration) {
        self.bar.set_position(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
    }

    /// Takes the display away.
    pub(super) fn finish(&self) {
        self.bar.finish_and_clear();
    }
}
