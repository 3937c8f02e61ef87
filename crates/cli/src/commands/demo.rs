//! The command `demo`: arguments of the demonstration.

use std::str::FromStr;

use argh::FromArgs;

use crate::output::Format;
use crate::parse;

/// Runs three entry instances, stand-ins, load and faults in one process on loopback.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "{command_name} --deployment ropes --seconds 20 --seed 1"
)]
pub(crate) struct Args {
    /// ropes or heaters
    #[argh(option, default = "Deployment::Ropes")]
    pub(crate) deployment: Deployment,
    /// length of the run in seconds
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,
    /// seed of the load and the faults
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub(crate) format: Format,
}

/// Deployment that the demonstration simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Rope kits, with the configuration in `examples/ropes`.
    Ropes,
    /// Outdoor heaters, with the configuration in `examples/heaters`.
    Heaters,
}

impl FromStr for Deployment {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, parse::Error> {
        match text {
            "ropes" => Ok(Self::Ropes),
            "heaters" => Ok(Self::Heaters),
            _ => Err(parse::Error::new(text, "a deployment", "ropes or heaters")),
        }
    }
}
