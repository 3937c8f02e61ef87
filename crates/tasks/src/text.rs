//! Serde representations of values from the core crate: their text form, or numbers.

use std::fmt::Display;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<T, S>(value: &T, to: S) -> Result<S::Ok, S::Error>
where
    T: Display,
    S: Serializer,
{
    to.collect_str(value)
}

pub(crate) fn deserialize<'de, T, D>(from: D) -> Result<T, D::Error>
where
    T: FromStr,
    T::Err: Display,
    D: Deserializer<'de>,
{
    let text = String::deserialize(from)?;
    text.parse().map_err(serde::de::Error::custom)
}

/// Serializes instants as whole milliseconds.
pub(crate) mod time {
    use serde::{Deserialize, Deserializer, Serializer};
    use sycamorerill_core::clock::{Span, Time};

    pub(crate) fn serialize<S: Serializer>(value: &Time, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(value.as_ms())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        u64::deserialize(from).map(|ms| Time::ZERO + Span::from_ms(ms))
    }
}

/// Serializes sizes as `(millicores, bytes, accelerators)`.
pub(crate) mod size {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

    pub(crate) fn serialize<S: Serializer>(size: &Size, to: S) -> Result<S::Ok, S::Error> {
        (size.cpu().0, size.memory().0, size.accel().0).serialize(to)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Size, D::Error> {
        let (cpu, memory, accel) = Deserialize::deserialize(from)?;
        Ok(Size::new(Cpu(cpu), Memory(memory), Accel(accel)))
    }
}
