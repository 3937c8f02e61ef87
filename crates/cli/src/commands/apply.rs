//! The command `apply`: proposes a configuration folder and waits until it is in force.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;
use sycamorerill_config::{Folder, Key, difference, encode_text};
use sycamorerill_core::api::{Accepted, Conflict, Proposal};
use sycamorerill_core::id::Version;
use sycamorerill_core::model::Config;

use crate::client::{Address, Client, Error};
use crate::commands::base::{BaseConfig, fetch_newest};
use crate::commands::wait;
use crate::failure::Failure;
use crate::output::{self, Format};

/// Number of attempts to find a proposal whose answer was lost.
const MAX_POLLS: u32 = 5;
/// Interval between two attempts to find a proposal.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Checks a folder, proposes it and waits until every entry instance runs it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} examples/ropes --instance 10.0.0.7:7070 --wait 18",
    note = "Exits with 4 and names the keys when another change was accepted meanwhile."
)]
pub(crate) struct Args {
    /// folder of .toml files, merged in the order of their names
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// operator address of an entry instance; may be repeated
    #[argh(option)]
    pub(crate) instance: Vec<Address>,
    /// name of the author for the record, the user's name when missing
    #[argh(option, default = "user_name()")]
    pub(crate) author: String,
    /// seconds to wait until the version is in force everywhere, 0 for not at all
    #[argh(option, default = "30")]
    pub(crate) wait: u64,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

fn user_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

/// Result of the command.
#[derive(Serialize)]
struct Applied {
    /// Version that holds the folder.
    version: u64,
    /// Version on which the proposal was based.
    base_version: u64,
    /// Keys in which the folder differs from the base version.
    keys: Vec<String>,
    /// Milliseconds from acceptance until all instances were seen to run the version; none when
    /// the command did not wait.
    in_force_ms: Option<u64>,
}

/// Applies the folder.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let config = Folder::read(&args.folder)?.check()?;
    let client = Client::new(&args.instance)?;
    let base = fetch_newest(&client)?;
    let keys = difference(&base.config, &config);
    if keys.is_empty() && base.version > 0 {
        return report(args.format, &applied(base.version, &base, &keys, None));
    }
    let accepted = propose(&client, args, &base, &config)?;
    let in_force_ms = wait::in_force(&client, accepted.version, args)?;
    report(args.format, &applied(accepted.version, &base, &keys, in_force_ms))
}

fn propose(
    client: &Client,
    args: &Args,
    base: &BaseConfig,
    config: &Config,
) -> Result<Accepted, Failure> {
    let config = Config { version: Version(base.version), ..config.clone() };
    let proposal = Proposal {
        base_version: base.version,
        config: encode_text(&config),
        author: args.author.clone(),
    };
    match client.propose(&proposal) {
        Ok(accepted) => Ok(accepted),
        Err(error @ Error::Unknown { .. }) => {
            find_accepted(client, base, &config).ok_or(Failure::Request(error))
        }
        Err(Error::Conflict(conflict)) => Err(describe_conflict(client, base, &config, conflict)),
        Err(error) => Err(Failure::Request(error)),
    }
}

/// Determines whether a proposal whose answer was lost has been accepted.
///
/// Returns none if a newer version differs from the proposal or none was accepted within
/// [`MAX_POLLS`] attempts.
fn find_accepted(client: &Client, base: &BaseConfig, config: &Config) -> Option<Accepted> {
    for _ in 0..MAX_POLLS {
        if let Ok(newest) = fetch_newest(client)
            && newest.version > base.version
        {
            let is_same = difference(&newest.config, config).is_empty();
            return is_same.then_some(Accepted { version: newest.version });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Returns the conflict with the keys that the accepted change and this one set, if the newest
/// configuration can be fetched.
fn describe_conflict(
    client: &Client,
    base: &BaseConfig,
    config: &Config,
    conflict: Conflict,
) -> Failure {
    let Ok(newest) = fetch_newest(client) else {
        return Failure::Request(Error::Conflict(conflict));
    };
    let theirs = difference(&base.config, &newest.config);
    let ours = difference(&base.config, config);
    let both = theirs.iter().filter(|key| ours.contains(key)).cloned().collect();
    Failure::Conflict { version: newest.version, keys: conflict.keys, theirs, both }
}

fn applied(version: u64, base: &BaseConfig, keys: &[Key], in_force_ms: Option<u64>) -> Applied {
    let keys = keys.iter().map(Key::to_string).collect();
    Applied { version, base_version: base.version, keys, in_force_ms }
}

fn report(format: Format, applied: &Applied) -> Result<(), Failure> {
    if format == Format::Json {
        return output::json(applied);
    }
    if applied.keys.is_empty() {
        let version = applied.version;
        return output::line(format_args!("nothing to change, version {version} is the same"));
    }
    for key in &applied.keys {
        output::line(format_args!("changed {key}"))?;
    }
    match applied.in_force_ms {
        Some(ms) => output::line(format_args!(
            "version {} is in force at every entry instance, seen after {ms} ms",
            applied.version
        )),
        None => output::line(format_args!("version {} is accepted", applied.version)),
    }
}
