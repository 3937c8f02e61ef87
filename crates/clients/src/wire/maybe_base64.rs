//! Optional bytes as base64 text or null.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[derive(Serialize, Deserialize)]
struct Present(#[serde(with = "super::base64_bytes")] Bytes);

/// Writes bytes as base64 text, and none as null.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(bytes: &Option<Bytes>, to: S) -> Result<S::Ok, S::Error> {
    bytes.clone().map(Present).serialize(to)
}

/// Reads bytes from base64 text, and none from null.
///
/// # Errors
///
/// Returns the deserializer's error, also for text that is not base64.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Bytes>, D::Error> {
    Ok(Option::<Present>::deserialize(from)?.map(|present| present.0))
}
