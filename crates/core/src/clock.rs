//! The clock: instants and spans in milliseconds.
//!
//! Both keep three decimals of a millisecond, so that a one-way delay of
//! 1.5 ms and a wait of 0.2 ms are told apart.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime};

use crate::value;

/// Thousandths of a millisecond in one millisecond.
const TICKS_PER_MS: u64 = 1_000;

value! {
    /// Instant in milliseconds since the Unix epoch.
    ///
    /// Within a process it never goes back. Instants of several instances differ
    /// by the skew of their system clocks.
    pub struct Time(u64);
}

value! {
    /// Span of time in milliseconds.
    pub struct Span(u64);
}

/// The ways in which the text of a span can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text has no unit or an unknown one.
    #[error(
        "`{0}` is not a span of time, expected a number with ms, s, m, h or d, such as `250ms`"
    )]
    Unit(String),
    /// The number in front of the unit is malformed or too large.
    #[error("`{0}` is not a span of time, its number cannot be read")]
    Number(String),
}

impl Time {
    /// The Unix epoch.
    pub const ZERO: Self = Self(0);
    /// Instant that no clock reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the instant `ms` milliseconds after the Unix epoch.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(TICKS_PER_MS))
    }

    /// Returns whole milliseconds since the Unix epoch.
    pub const fn as_ms(self) -> u64 {
        self.0 / TICKS_PER_MS
    }

    /// Returns the span from `earlier` to this instant, zero when it is not earlier.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Span of no length.
    pub const ZERO: Self = Self(0);
    /// Longest span.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns a span of `ms` milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(TICKS_PER_MS))
    }

    /// Returns a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self::from_ms(secs.saturating_mul(1_000))
    }

    /// Returns a span of `ms` milliseconds, rounded to three decimals; negative is zero.
    pub fn from_ms_f64(ms: f64) -> Self {
        Self((ms * TICKS_PER_MS as f64).round().max(0.0) as u64)
    }

    /// Returns whole milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0 / TICKS_PER_MS
    }

    /// Returns milliseconds with their decimals.
    pub fn as_ms_f64(self) -> f64 {
        self.0 as f64 / TICKS_PER_MS as f64
    }

    /// Returns this span times `factor`, saturating.
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Returns this span scaled by `factor`; a negative factor gives zero.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor).max(0.0) as u64)
    }

    /// Returns this span less `other`, zero when `other` is longer.
    pub const fn less(self, other: Self) -> Self {
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
        match self.0 % TICKS_PER_MS {
            0 => write!(f, "{}ms", self.0 / TICKS_PER_MS),
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

/// Clock of a process, which never goes back.
///
/// It reads the system clock once, at its start, and from then on the monotonic
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Time,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the present time of the system.
    pub fn start() -> Self {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let started = Time::ZERO + Span::from(epoch.unwrap_or_default());
        Self { started, start: Instant::now() }
    }

    /// Returns the present instant.
    pub fn now(&self) -> Time {
        self.started + Span::from(self.start.elapsed())
    }

    /// Returns the instant of the standard library for `time`, not before the start.
    pub fn instant(&self, time: Time) -> Instant {
        let since: Duration = time.since(self.started).into();
        self.start.checked_add(since).unwrap_or(self.start)
    }
}
