//! The configuration as bytes.
//!
//! An encoded configuration is a header of eight bytes, a mark and a checksum,
//! followed by a packed Cap'n Proto message of `config.capnp`. The header tells a torn
//! or foreign message from an old one before anything in it is believed.

mod decode;
mod encode;
mod error;

pub use decode::{decode, decode_text};
pub use encode::{encode, encode_text};
pub use error::Error;

/// Largest encoded configuration in bytes, before and after packing.
pub const MAX_ENCODED_BYTES: usize = 16 << 20;

/// First four bytes of every encoded configuration.
const MARK: [u8; 4] = *b"SYC1";
/// Bytes of the mark and the checksum.
const HEADER_BYTES: usize = 8;
