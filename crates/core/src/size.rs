//! Sizes of workers and tasks.

use std::fmt;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use crate::value;

/// Thousandths of a core in one core.
const MILLIS_PER_CORE: u64 = 1_000;
/// Bytes in one mebibyte.
const BYTES_PER_MIB: u64 = 1 << 20;
/// Bytes in one gibibyte.
const BYTES_PER_GIB: u64 = 1 << 30;

value! {
    /// Processor time in thousandths of a core.
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

/// The ways in which the text of a size can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a number of cores.
    #[error("`{0}` is not a processor size, expected cores such as `4` or `0.25`, or `250m`")]
    Cpu(String),
    /// The text is not an amount of memory.
    #[error("`{0}` is not a memory size, expected a whole number with B, MiB or GiB")]
    Memory(String),
    /// The text is not a number of accelerators.
    #[error("`{0}` is not a number of accelerators, expected a whole number")]
    Accel(String),
}

impl Cpu {
    /// Returns `cores` whole cores.
    pub const fn from_cores(cores: u64) -> Self {
        Self(cores.saturating_mul(MILLIS_PER_CORE))
    }

    /// Returns the size in cores.
    pub fn as_cores(self) -> f64 {
        self.0 as f64 / MILLIS_PER_CORE as f64
    }
}

impl Memory {
    /// Returns `gib` gibibytes.
    pub const fn from_gib(gib: u64) -> Self {
        Self(gib.saturating_mul(BYTES_PER_GIB))
    }

    /// Returns `mib` mebibytes.
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
        let wrong = || Error::Cpu(text.to_owned());
        if let Some(millis) = text.strip_suffix('m') {
            return millis.parse().map(Self).map_err(|_| wrong());
        }
        let cores: f64 = text.parse().map_err(|_| wrong())?;
        if !cores.is_finite() || cores < 0.0 {
            return Err(wrong());
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
        let wrong = || Error::Memory(text.to_owned());
        let (number, unit) = if let Some(number) = text.strip_suffix("GiB") {
            (number, BYTES_PER_GIB)
        } else if let Some(number) = text.strip_suffix("MiB") {
            (number, BYTES_PER_MIB)
        } else if let Some(number) = text.strip_suffix('B') {
            (number, 1)
        } else {
            return Err(wrong());
        };
        let number: u64 = number.trim().parse().map_err(|_| wrong())?;
        number.checked_mul(unit).map(Self).ok_or_else(wrong)
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
    /// Size of a worker or a task in every dimension.
    pub struct Size(Dimensions);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Dimensions {
    cpu: Cpu,
    memory: Memory,
    accel: Accel,
}

impl Size {
    /// Size of nothing.
    pub const ZERO: Self = Self::new(Cpu(0), Memory(0), Accel(0));

    /// Returns a size of the given dimensions.
    pub const fn new(cpu: Cpu, memory: Memory, accel: Accel) -> Self {
        Self(Dimensions { cpu, memory, accel })
    }

    /// Returns the processor time.
    pub const fn cpu(self) -> Cpu {
        self.0.cpu
    }

    /// Returns the memory.
    pub const fn memory(self) -> Memory {
        self.0.memory
    }

    /// Returns the accelerators.
    pub const fn accel(self) -> Accel {
        self.0.accel
    }

    /// Reports whether this size fits into `room` in every dimension.
    pub const fn fits(self, room: Self) -> bool {
        self.0.cpu.0 <= room.0.cpu.0
            && self.0.memory.0 <= room.0.memory.0
            && self.0.accel.0 <= room.0.accel.0
    }

    /// Returns this size less `other`, zero in each dimension where `other` is larger.
    pub const fn less(self, other: Self) -> Self {
        Self::new(
            Cpu(self.0.cpu.0.saturating_sub(other.0.cpu.0)),
            Memory(self.0.memory.0.saturating_sub(other.0.memory.0)),
            Accel(self.0.accel.0.saturating_sub(other.0.accel.0)),
        )
    }

    /// Returns the larger of both sizes in each dimension.
    pub fn max(self, other: Self) -> Self {
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
