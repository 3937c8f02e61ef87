//! Encoding of optional bytes as base64 text or null.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[derive(Serialize, Deserialize)]
struct Base64Bytes(#[serde(with = "super::base64_bytes")] Bytes);

/// Serializes bytes as base64 text, and `None` as null.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(bytes: &Option<Bytes>, to: S) -> Result<S::Ok, S::Error> {
    bytes.clone().map(Base64Bytes).serialize(to)
}

/// Deserializes bytes from base64 text, and `None` from null.
///
/// # Errors
///
/// Returns the deserializer's error, including one for text that is not base64.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Bytes>, D::Error> {
    Ok(Option::<Base64Bytes>::deserialize(from)?.map(|bytes| bytes.0))
}
