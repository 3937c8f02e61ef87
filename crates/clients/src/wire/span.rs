//! Encoding of spans as whole milliseconds.

use serde::{Deserialize, Deserializer, Serializer};
use sycamorerill_core::clock::Span;

/// Serializes a span as whole milliseconds, rounded down.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(span: &Span, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(span.as_ms())
}

/// Deserializes a span from whole milliseconds.
///
/// # Errors
///
/// Returns the deserializer's error.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    u64::deserialize(from).map(Span::from_ms)
}
