//! Rates and shares.

use std::fmt;
use std::str::FromStr;

/// Number of events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct PerSecond(pub f64);

/// Part of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(f64);

/// The ways in which the text of a rate can be wrong.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a number of events a second.
    #[error("`{0}` is not a rate, expected a number with `/s`, such as `20/s`")]
    Rate(String),
    /// The text is not a share.
    #[error("`{0}` is not a share, expected 0 to 100 with `%`, such as `95%`")]
    Share(String),
}

impl Share {
    /// Returns a share, held between 0 and 1.
    pub fn new(part: f64) -> Self {
        Self(if part.is_finite() { part.clamp(0.0, 1.0) } else { 0.0 })
    }

    /// Returns the share as a number from 0 to 1.
    pub fn part(self) -> f64 {
        self.0
    }
}

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error::Rate(text.to_owned());
        let number = text.strip_suffix("/s").ok_or_else(wrong)?;
        let number: f64 = number.trim().parse().map_err(|_| wrong())?;
        if !number.is_finite() || number < 0.0 {
            return Err(wrong());
        }
        Ok(Self(number))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0 * 100.0)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error::Share(text.to_owned());
        let number = text.strip_suffix('%').ok_or_else(wrong)?;
        let number: f64 = number.trim().parse().map_err(|_| wrong())?;
        if !(0.0..=100.0).contains(&number) {
            return Err(wrong());
        }
        Ok(Self(number / 100.0))
    }
}
