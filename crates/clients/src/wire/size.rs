//! Sizes as thousandths of a core, bytes and accelerators.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

#[derive(Serialize, Deserialize)]
struct Dimensions {
    cpu_millis: u64,
    memory_bytes: u64,
    #[serde(default)]
    accel: u64,
}

/// Writes a size.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(size: &Size, to: S) -> Result<S::Ok, S::Error> {
    let dimensions = Dimensions {
        cpu_millis: size.cpu().0,
        memory_bytes: size.memory().0,
        accel: size.accel().0,
    };
    dimensions.serialize(to)
}

/// Reads a size.
///
/// # Errors
///
/// Returns the deserializer's error.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Size, D::Error> {
    let read = Dimensions::deserialize(from)?;
    Ok(Size::new(Cpu(read.cpu_millis), Memory(read.memory_bytes), Accel(read.accel)))
}
