//! Sizes of workers and tasks.

use std::fmt;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use crate::value;

const MILLIS_PER_CORE: u64 = 1_000;
const BYTES_PER_MIB: u64 = 1 << 20;
const BYTES_PER_GIB: u64 = 1 << 30;

value! {
    /// Processor capacity in thousandths of a core.
    pub struct Cpu(pub u64);
}

value! {
    /// Memory in bytes.
    pub struct Memory(pub u64);
}

value! {
    /// Number of whole accelerators.
    pub struct Accel(pub u64);
}

/// Errors of parsing a size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is neither a number of cores nor of thousandths of a core.
    #[error("`{0}` is not a processor size, expected cores such as `4` or `0.25`, or `250m`")]
    Cpu(String),
    /// The text is not a whole number with a unit of memory.
    #[error("`{0}` is not a memory size, expected a whole number with B, MiB or GiB")]
    Memory(String),
    /// The text is not a whole number of accelerators.
    #[error("`{0}` is not a number of accelerators, expected a whole number")]
    Accel(String),
}

impl Cpu {
    /// Creates a capacity of `cores` whole cores, saturating.
    pub const fn from_cores(cores: u64) -> Self {
        Self(cores.saturating_mul(MILLIS_PER_CORE))
    }

    /// Returns the capacity in cores.
    pub fn as_cores(self) -> f64 {
        self.0 as f64 / MILLIS_PER_CORE as f64
    }
}

impl Memory {
    /// Creates an amount of `gib` gibibytes, saturating.
    pub const fn from_gib(gib: u64) -> Self {
        Self(gib.saturating_mul(BYTES_PER_GIB))
    }

    /// Creates an amount of `mib` mebibytes, saturating.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib.saturating_mul(BYTES_PER_MIB))
    }
}

impl fmt::Display for Cpu {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % MILLIS_PER_CORE {
            0 => write!(f, "{}", self.0 / MILLIS_PER_CORE),
            _ => write!(f, "{}m", self.0),
        }
    }
}

impl FromStr for Cpu {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Cpu(text.to_owned());
        if let Some(millis) = text.strip_suffix('m') {
            return millis.parse().map(Self).map_err(|_| invalid());
        }
        let cores: f64 = text.parse().map_err(|_| invalid())?;
        if !cores.is_finite() || cores < 0.0 {
            return Err(invalid());
        }
        Ok(Self((cores * MILLIS_PER_CORE as f64).round() as u64))
    }
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 >= BYTES_PER_GIB && self.0.is_multiple_of(BYTES_PER_GIB) {
            return write!(f, "{}GiB", self.0 / BYTES_PER_GIB);
        }
        if self.0 >= BYTES_PER_MIB && self.0.is_multiple_of(BYTES_PER_MIB) {
            return write!(f, "{}MiB", self.0 / BYTES_PER_MIB);
        }
        write!(f, "{}B", self.0)
    }
}

impl FromStr for Memory {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Memory(text.to_owned());
        let (number, unit) = if let Some(number) = text.strip_suffix("GiB") {
            (number, BYTES_PER_GIB)
        } else if let Some(number) = text.strip_suffix("MiB") {
            (number, BYTES_PER_MIB)
        } else if let Some(number) = text.strip_suffix('B') {
            (number, 1)
        } else {
            return Err(invalid());
        };
        let number: u64 = number.trim().parse().map_err(|_| invalid())?;
        number.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

impl fmt::Display for Accel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Accel {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse().map(Self).map_err(|_| Error::Accel(text.to_owned()))
    }
}

value! {
    /// Processor capacity, memory and accelerators of a worker or a task.
    pub struct Size(Dimensions);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Dimensions {
    cpu: Cpu,
    memory: Memory,
    accel: Accel,
}

impl Size {
    /// Size that is zero in every dimension.
    pub const ZERO: Self = Self::new(Cpu(0), Memory(0), Accel(0));

    /// Creates a size from its dimensions.
    pub const fn new(cpu: Cpu, memory: Memory, accel: Accel) -> Self {
        Self(Dimensions { cpu, memory, accel })
    }

    /// Returns the processor capacity.
    pub const fn cpu(self) -> Cpu {
        self.0.cpu
    }

    /// Returns the amount of memory.
    pub const fn memory(self) -> Memory {
        self.0.memory
    }

    /// Returns the number of accelerators.
    pub const fn accel(self) -> Accel {
        self.0.accel
    }

    /// Returns whether this size is at most `capacity` in every dimension.
    pub const fn fits(self, capacity: Self) -> bool {
        self.0.cpu.0 <= capacity.0.cpu.0
            && self.0.memory.0 <= capacity.0.memory.0
            && self.0.accel.0 <= capacity.0.accel.0
    }

    /// Subtracts `other` in each dimension, with zero as the lower bound.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self::new(
            Cpu(self.0.cpu.0.saturating_sub(other.0.cpu.0)),
            Memory(self.0.memory.0.saturating_sub(other.0.memory.0)),
            Accel(self.0.accel.0.saturating_sub(other.0.accel.0)),
        )
    }

    /// Returns the larger value of both sizes in each dimension.
    pub fn componentwise_max(self, other: Self) -> Self {
        Self::new(
            self.0.cpu.max(other.0.cpu),
            self.0.memory.max(other.0.memory),
            self.0.accel.max(other.0.accel),
        )
    }
}

impl Add for Size {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::new(
            Cpu(self.0.cpu.0.saturating_add(other.0.cpu.0)),
            Memory(self.0.memory.0.saturating_add(other.0.memory.0)),
            Accel(self.0.accel.0.saturating_add(other.0.accel.0)),
        )
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cores, {}, {} accelerators", self.0.cpu, self.0.memory, self.0.accel)
    }
}
