//! The command `check`: reads a configuration folder and reports all problems.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use sycamorerill_config::{Folder, Key, MergedSettings, difference};
use sycamorerill_core::model::Config;

use crate::client::{Address, Client};
use crate::commands::base;
use crate::failure::{Failure, ProblemBody, problem_body, warn};
use crate::output::{self, Format, Table};

/// Checks a configuration folder; needs no network unless --instance is given.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} examples/ropes",
    example = "{command_name} examples/heaters --explain",
    example = "{command_name} examples/ropes --instance 10.0.0.7:7070",
    note = "Nothing is sent with --against; --instance only reads. Differences do not change the exit code."
)]
pub(crate) struct Args {
    /// folder of .toml files, merged in the order of their names
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// print each merged setting with the file and line that set it
    #[argh(switch)]
    pub(crate) explain: bool,
    /// folder or saved response to GET /v1/config to compare with
    #[argh(option)]
    pub(crate) against: Option<PathBuf>,
    /// operator address of an entry instance, to compare with its newest version; may be
    /// repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
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
    #[serde(skip_serializing_if = "Option::is_none")]
    against: Option<Against>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    warnings: Vec<ProblemBody>,
}

/// Differences from another configuration.
#[derive(Serialize)]
struct Against {
    /// Version of the other configuration; none for a folder.
    version: Option<u64>,
    /// Keys in which the two differ.
    keys: Vec<String>,
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
    let against = compare(args, &config)?;
    let warnings = merged.warnings(&config);
    let summary = Summary { against, ..summary(&config, settings) };
    match args.format {
        Format::Json => {
            let warnings = warnings.iter().map(problem_body).collect();
            output::json(&Summary { warnings, ..summary })
        }
        Format::Text => {
            warn(&warnings);
            print(summary)
        }
    }
}

/// Compares the folder with the configuration that the flags name, if any.
///
/// Addresses in the environment are not used, so that a check without flags needs no network.
fn compare(args: &Args, config: &Config) -> Result<Option<Against>, Failure> {
    let base = match (&args.against, args.instance.is_empty()) {
        (None, true) => return Ok(None),
        (Some(_), false) => return Err(Failure::TwoBases),
        (Some(path), true) if path.is_dir() => {
            return Ok(Some(against(None, &base::read_folder(path)?, config)));
        }
        (Some(path), true) => base::read_saved(path)?,
        (None, false) => base::fetch_newest(&Client::new(&args.instance)?)?,
    };
    Ok(Some(against(Some(base.version), &base.config, config)))
}

fn against(version: Option<u64>, base: &Config, config: &Config) -> Against {
    let keys = difference(base, config).iter().map(Key::to_string).collect();
    Against { version, keys }
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
        against: None,
        warnings: Vec::new(),
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
    if let Some(against) = &summary.against {
        print_against(against)?;
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

fn print_against(against: &Against) -> Result<(), Failure> {
    for key in &against.keys {
        output::line(format_args!("changed {key}"))?;
    }
    let other = match against.version {
        Some(version) => format!("version {version}"),
        None => "the other folder".to_owned(),
    };
    match against.keys.len() {
        0 => output::line(format_args!("nothing differs from {other}")),
        1 => output::line(format_args!("1 key differs from {other}")),
        keys => output::line(format_args!("{keys} keys differ from {other}")),
    }
}
