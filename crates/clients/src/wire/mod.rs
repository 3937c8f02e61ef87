//! How plain values are written in the platform's JSON.

pub mod base64_bytes;
pub mod maybe_base64;
pub mod number;
pub mod size;
pub mod span;
