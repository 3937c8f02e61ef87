//! The command `check`: reads a configuration folder and reports all problems.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use sycamorerill_config::{Folder, MergedSettings};
use sycamorerill_core::model::Config;

use crate::failure::Failure;
use crate::output::{self, Format, Table};

/// Checks a configuration folder; needs no network.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} examples/ropes",
    example = "{command_name} examples/heaters --explain"
)]
pub(crate) struct Args {
    /// folder of .toml files, merged in the order of their names
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// print each merged setting with the file and line that set it
    #[argh(switch)]
    pub(crate) explain: bool,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Numbers of items that the checked folder declares.
#[derive(Serialize)]
struct Summary {
    services: usize,
    classes: usize,
    teams: usize,
    targets: usize,
    domains: usize,
    workers: u64,
    executors: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    settings: Vec<Setting>,
}

/// A merged setting with the place that set it.
#[derive(Serialize)]
struct Setting {
    key: String,
    value: String,
    file: String,
    line: usize,
}

/// Checks the folder.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let merged = Folder::read(&args.folder)?.merge();
    let config = merged.check()?;
    let settings = if args.explain { settings(&merged) } else { Vec::new() };
    let summary = summary(&config, settings);
    match args.format {
        Format::Json => output::json(&summary),
        Format::Text => print(summary),
    }
}

fn settings(merged: &MergedSettings) -> Vec<Setting> {
    let settings = merged.settings().map(|setting| Setting {
        key: setting.key.to_string(),
        value: setting.value,
        file: setting.file,
        line: setting.line,
    });
    settings.collect()
}

fn summary(config: &Config, settings: Vec<Setting>) -> Summary {
    let domains = config.domains.values();
    Summary {
        services: config.services.len(),
        classes: config.classes.len(),
        teams: config.teams.len(),
        targets: config.targets.len(),
        domains: config.domains.len(),
        workers: domains.clone().map(|domain| u64::from(domain.workers)).sum(),
        executors: domains.map(|domain| u64::from(domain.executors)).sum(),
        settings,
    }
}

fn print(summary: Summary) -> Result<(), Failure> {
    if !summary.settings.is_empty() {
        let mut table = Table::new(["key", "value", "set at"]);
        for setting in summary.settings {
            let location = format!("{}:{}", setting.file, setting.line);
            table.row([setting.key, setting.value, location]);
        }
        table.print("no setting")?;
    }
    let count = output::count;
    output::line(format_args!(
        "ok: {}, {}, {}, {}; {} and {} in {}",
        count(summary.services as u64, "service", "services"),
        count(summary.classes as u64, "class of jobs", "classes of jobs"),
        count(summary.teams as u64, "team", "teams"),
        count(summary.targets as u64, "target", "targets"),
        count(summary.workers, "worker", "workers"),
        count(summary.executors, "executor", "executors"),
        count(summary.domains as u64, "failure domain", "failure domains"),
    ))
}
