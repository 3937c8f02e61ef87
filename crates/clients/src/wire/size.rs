//! Encoding of sizes as an object of thousandths of a core, bytes and accelerators.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

#[derive(Serialize, Deserialize)]
struct Dimensions {
    cpu_millis: u64,
    memory_bytes: u64,
    #[serde(default)]
    accel: u64,
}

/// Serializes a size.
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

/// Deserializes a size; `accel` defaults to 0.
///
/// # Errors
///
/// Returns the deserializer's error.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Size, D::Error> {
    let dimensions = Dimensions::deserialize(from)?;
    Ok(Size::new(
        Cpu(dimensions.cpu_millis),
        Memory(dimensions.memory_bytes),
        Accel(dimensions.accel),
    ))
}
