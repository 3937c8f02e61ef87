//! Encoding of bytes as base64 text.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// Serializes bytes as base64 text.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&STANDARD.encode(bytes))
}

/// Deserializes bytes from base64 text.
///
/// # Errors
///
/// Returns the deserializer's error, including one for text that is not base64.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(from)?;
    STANDARD.decode(text).map(Bytes::from).map_err(D::Error::custom)
}
