//! `apply`: proposes a folder and waits until it is in force.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;
use sycamorerill_config::{Folder, Key, decode_text, difference, encode_text};
use sycamorerill_core::api::{Accepted, Conflict, Proposal};
use sycamorerill_core::id::Version;
use sycamorerill_core::model::Config;

use crate::client::{Address, Client, Error};
use crate::commands::wait;
use crate::failure::Failure;
use crate::output::{self, Format};

/// Number of looks for a proposal whose answer was lost.
const LOOKS: u32 = 5;
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

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
    #[argh(option, default = "user()")]
    pub(crate) author: String,
    /// seconds to wait until the version is in force everywhere, 0 for not at all
    #[argh(option, default = "30")]
    pub(crate) wait: u64,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

/// What was applied.
#[derive(Serialize)]
struct Applied {
    /// Version that holds the folder.
    version: u64,
    /// Version against which it was proposed.
    base_version: u64,
    /// Keys that it changed.
    keys: Vec<String>,
    /// Time from acceptance until it was seen in force everywhere; missing when not waited for.
    in_force_ms: Option<u64>,
}

/// Newest configuration as an instance gave it.
struct Base {
    version: u64,
    config: Config,
}

/// Applies the folder.
pub(crate) fn run(args: &Args) -> Result<(), Failure> {
    let config = Folder::read(&args.folder)?.check()?;
    let client = Client::new(&args.instance)?;
    let base = fetch(&client)?;
    let keys = difference(&base.config, &config);
    if keys.is_empty() && base.version > 0 {
        return report(args.format, &applied(base.version, &base, &keys, None));
    }
    let accepted = propose(&client, args, &base, &config)?;
    let in_force_ms = wait::in_force(&client, accepted.version, args)?;
    report(args.format, &applied(accepted.version, &base, &keys, in_force_ms))
}

fn fetch(client: &Client) -> Result<Base, Failure> {
    let newest = client.configuration()?;
    let config = match newest.version {
        0 => Config::default(),
        _ => decode_text(&newest.config).map_err(Failure::Encoding)?,
    };
    Ok(Base { version: newest.version, config })
}

fn propose(
    client: &Client,
    args: &Args,
    base: &Base,
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
            recognise(client, base, &config).ok_or(Failure::Request(error))
        }
        Err(Error::Conflict(conflict)) => Err(explain(client, base, &config, conflict)),
        Err(error) => Err(Failure::Request(error)),
    }
}

/// Looks for a proposal whose answer was lost among what is accepted.
fn recognise(client: &Client, base: &Base, config: &Config) -> Option<Accepted> {
    for _ in 0..LOOKS {
        if let Ok(newest) = fetch(client)
            && newest.version > base.version
        {
            let is_ours = difference(&newest.config, config).is_empty();
            return is_ours.then_some(Accepted { version: newest.version });
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
    None
}

/// Names what the change that was first changed, when it can be read.
fn explain(client: &Client, base: &Base, config: &Config, conflict: Conflict) -> Failure {
    let Ok(newest) = fetch(client) else {
        return Failure::Request(Error::Conflict(conflict));
    };
    let theirs = difference(&base.config, &newest.config);
    let ours = difference(&base.config, config);
    let both = theirs.iter().filter(|key| ours.contains(key)).cloned().collect();
    Failure::Conflict { version: newest.version, keys: conflict.keys, theirs, both }
}

fn applied(version: u64, base: &Base, keys: &[Key], in_force_ms: Option<u64>) -> Applied {
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
