//! Addresses of entry instances, from flags and the environment.

use std::env;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use miette::Diagnostic;

use crate::parse;

/// Environment variable that holds operator addresses, separated by commas.
const INSTANCES_VARIABLE: &str = "SYCAMORERILL_INSTANCES";

/// Operator address of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Address(SocketAddr);

impl FromStr for Address {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, parse::Error> {
        text.trim()
            .parse()
            .map(Self)
            .map_err(|_| parse::Error::new(text, "an address", "IP:PORT such as 10.0.0.7:7070"))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Error in the addresses of entry instances.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
pub(crate) enum Error {
    /// Neither the flag nor the environment variable contains an address.
    #[error("no entry instance is named")]
    #[diagnostic(
        code(no_instance),
        help(
            "give --instance IP:PORT, or set {INSTANCES_VARIABLE} to addresses separated by commas"
        )
    )]
    Missing,
    /// The environment variable contains a malformed address.
    #[error("{INSTANCES_VARIABLE}: {0}")]
    #[diagnostic(code(wrong_instance), help("separate addresses by commas"))]
    Variable(#[from] parse::Error),
}

/// Returns the addresses of the flags or, without flags, of the environment; at least one.
pub(super) fn addresses(flags: &[Address]) -> Result<Vec<Address>, Error> {
    if !flags.is_empty() {
        return Ok(flags.to_vec());
    }
    let text = env::var_os(INSTANCES_VARIABLE).unwrap_or_default().to_string_lossy().into_owned();
    let words = text.split(',').filter(|word| !word.trim().is_empty());
    let addresses = words.map(str::parse).collect::<Result<Vec<Address>, _>>()?;
    match addresses.is_empty() {
        true => Err(Error::Missing),
        false => Ok(addresses),
    }
}
