//! Amounts of penalties.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::str::FromStr;

use crate::value;

/// Hundredths in one unit of the currency.
const MINOR_PER_MAJOR: u64 = 100;

value! {
    /// Amount in hundredths of the currency in which penalties are agreed.
    pub struct Amount(pub u64);
}

/// Errors of parsing an amount.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a decimal number, has more than two decimals or is too large.
    #[error("`{0}` is not an amount, expected a number with at most two decimals")]
    Malformed(String),
}

impl Add for Amount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for Amount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self(0), Add::add)
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}", self.0 / MINOR_PER_MAJOR, self.0 % MINOR_PER_MAJOR)
    }
}

impl FromStr for Amount {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Malformed(text.to_owned());
        let (major, minor) = text.split_once('.').unwrap_or((text, "0"));
        if minor.is_empty() || minor.len() > 2 {
            return Err(invalid());
        }
        let scale = if minor.len() == 1 { 10 } else { 1 };
        let major: u64 = major.parse().map_err(|_| invalid())?;
        let minor: u64 = minor.parse().map_err(|_| invalid())?;
        let major_in_minor = major.checked_mul(MINOR_PER_MAJOR).ok_or_else(invalid)?;
        major_in_minor.checked_add(minor * scale).map(Self).ok_or_else(invalid)
    }
}
