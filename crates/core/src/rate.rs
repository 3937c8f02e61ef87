//! Rates and shares.

use std::fmt;
use std::str::FromStr;

/// Rate in events per second, finite and not negative when parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct PerSecond(pub f64);

/// Fraction from 0 to 1, printed as a percentage.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(f64);

/// Errors of parsing a rate or a share.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a number of events per second, such as `20/s`.
    #[error("`{0}` is not a rate, expected a number with `/s`, such as `20/s`")]
    Rate(String),
    /// The text is not a percentage from 0 to 100, such as `95%`.
    #[error("`{0}` is not a share, expected 0 to 100 with `%`, such as `95%`")]
    Share(String),
}

impl Share {
    /// Creates a share from `fraction`, clamped to 0 to 1; a value that is not finite gives 0.
    pub fn new(fraction: f64) -> Self {
        Self(if fraction.is_finite() { fraction.clamp(0.0, 1.0) } else { 0.0 })
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn as_f64(self) -> f64 {
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
        let invalid = || Error::Rate(text.to_owned());
        let number = text.strip_suffix("/s").ok_or_else(invalid)?;
        let number: f64 = number.trim().parse().map_err(|_| invalid())?;
        if !number.is_finite() || number < 0.0 {
            return Err(invalid());
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
        let invalid = || Error::Share(text.to_owned());
        let number = text.strip_suffix('%').ok_or_else(invalid)?;
        let number: f64 = number.trim().parse().map_err(|_| invalid())?;
        if !(0.0..=100.0).contains(&number) {
            return Err(invalid());
        }
        Ok(Self(number / 100.0))
    }
}
