//! Progress bar of the demonstration.

use std::io::IsTerminal;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use super::plan::Plan;
use crate::commands::demo::Args;
use crate::output::Format;

const MS_PER_SECOND: u64 = 1_000;

/// A progress bar that is hidden unless text is printed to a terminal.
pub(super) struct Progress {
    bar: ProgressBar,
}

impl Progress {
    /// Shows the progress bar.
    pub(super) fn start(args: &Args, plan: &Plan) -> Self {
        let is_visible = args.format == Format::Text && std::io::stdout().is_terminal();
        if !is_visible {
            return Self { bar: ProgressBar::hidden() };
        }
        let bar = ProgressBar::new(plan.length.as_secs() * MS_PER_SECOND);
        let style = ProgressStyle::with_template("{bar:40.cyan/blue} {elapsed} {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Self { bar }
    }

    /// Sets the message that describes the current step.
    pub(super) fn set_message(&self, message: &'static str) {
        self.bar.set_message(message);
    }

    /// Sets the time since the start of the run.
    pub(super) fn set_elapsed(&self, elapsed: Duration) {
        self.bar.set_position(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
    }

    /// Removes the progress bar.
    pub(super) fn finish(&self) {
        self.bar.finish_and_clear();
    }
}
