//! Instants, spans of time and the process clock.
//!
//! Instants and spans have a resolution of one microsecond, because whole
//! milliseconds could not represent a one-way delay of 1.5 ms or a wait of 0.2 ms.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime};

use crate::value;

/// Microseconds in one millisecond.
const US_PER_MS: u64 = 1_000;

value! {
    /// Instant as the time since the Unix epoch, in microseconds.
    ///
    /// Instants that one [`Clock`] returns never decrease. Instants of different
    /// instances differ by the skew of their system clocks.
    pub struct Time(u64);
}

value! {
    /// Length of time in microseconds.
    pub struct Span(u64);
}

/// Errors of parsing a span.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text has no unit or an unknown one.
    #[error(
        "`{0}` is not a span of time, expected a number with ms, s, m, h or d, such as `250ms`"
    )]
    Unit(String),
    /// The number in front of the unit is malformed, negative or not finite.
    #[error("`{0}` is not a span of time, its number cannot be read")]
    Number(String),
}

impl Time {
    /// The Unix epoch.
    pub const ZERO: Self = Self(0);
    /// Latest representable instant, later than any reading of a clock.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the instant `ms` milliseconds after the Unix epoch, saturating.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(US_PER_MS))
    }

    /// Returns the time since the Unix epoch in whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / US_PER_MS
    }

    /// Returns the span from `earlier` to this instant, zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Span of length zero.
    pub const ZERO: Self = Self(0);
    /// Longest representable span.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a span of `ms` milliseconds, saturating.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(US_PER_MS))
    }

    /// Creates a span of `secs` seconds, saturating.
    pub const fn from_secs(secs: u64) -> Self {
        Self::from_ms(secs.saturating_mul(1_000))
    }

    /// Creates a span of `ms` milliseconds, rounded to microseconds; a negative value gives zero.
    pub fn from_ms_f64(ms: f64) -> Self {
        Self((ms * US_PER_MS as f64).round().max(0.0) as u64)
    }

    /// Returns the length in whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / US_PER_MS
    }

    /// Returns the length in milliseconds with three decimals.
    pub fn as_ms_f64(self) -> f64 {
        self.0 as f64 / US_PER_MS as f64
    }

    /// Multiplies this span by `factor`, saturating.
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Multiplies this span by `factor`, rounded down; a negative factor gives zero.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor).max(0.0) as u64)
    }

    /// Subtracts `other` from this span, with zero as the lower bound.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Span(self.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % US_PER_MS {
            0 => write!(f, "{}ms", self.0 / US_PER_MS),
            _ => write!(f, "{:.3}ms", self.as_ms_f64()),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let split = text.find(|c: char| c.is_ascii_alphabetic());
        let (number, unit) = text.split_at(split.unwrap_or(text.len()));
        let ms_per_unit = match unit {
            "ms" => 1.0,
            "s" => 1_000.0,
            "m" => 60_000.0,
            "h" => 3_600_000.0,
            "d" => 86_400_000.0,
            _ => return Err(Error::Unit(text.to_owned())),
        };
        let number: f64 = number.parse().map_err(|_| Error::Number(text.to_owned()))?;
        if !number.is_finite() || number < 0.0 {
            return Err(Error::Number(text.to_owned()));
        }
        Ok(Self::from_ms_f64(number * ms_per_unit))
    }
}

/// Clock of a process whose time never decreases.
///
/// The system clock is read once, when the clock starts. From then on the monotonic
/// clock gives the elapsed time, so that adjustments of the system clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_time: Time,
    start_instant: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let start_time = Time::ZERO + Span::from(epoch.unwrap_or_default());
        Self { start_time, start_instant: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.start_time + Span::from(self.start_instant.elapsed())
    }

    /// Converts `time` to a [`std::time::Instant`], not earlier than the start of the clock.
    pub fn instant(&self, time: Time) -> Instant {
        let since_start: Duration = time.since(self.start_time).into();
        self.start_instant.checked_add(since_start).unwrap_or(self.start_instant)
    }
}
