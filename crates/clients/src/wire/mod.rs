//! Serde modules for the JSON encoding of values, used with `#[serde(with = "...")]`.

pub mod base64_bytes;
pub mod number;
pub mod optional_base64;
pub mod size;
pub mod span;
