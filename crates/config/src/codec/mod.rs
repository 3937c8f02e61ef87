//! Encoding a configuration as bytes and decoding it.
//!
//! An encoded configuration consists of a magic number of four bytes, a CRC-32 checksum
//! of four bytes and a packed Cap'n Proto message of `config.capnp`. The header lets
//! [`decode`] reject truncated, corrupted and unrelated bytes before it parses the
//! message, so that these are not mistaken for a configuration of an older format.

mod decode;
mod encode;
mod error;

pub use decode::{decode, decode_text};
pub use encode::{encode, encode_text};
pub use error::Error;

/// Maximum size of an encoded configuration in bytes, before and after packing.
pub const MAX_ENCODED_BYTES: usize = 16 << 20;

/// Magic number at the start of every encoded configuration.
const MAGIC: [u8; 4] = *b"SYC1";
/// Bytes of the magic number and the checksum.
const HEADER_BYTES: usize = 8;
