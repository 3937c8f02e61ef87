//! Stored and sent values: format version, checksum and a Cap'n Proto payload.

mod fields;

use bytes::{BufMut, Bytes, BytesMut};
use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

pub(crate) use fields::{parse_name, read_session, read_shard, write_session};

/// Format of the values that this version writes and reads.
const FORMAT: u8 = 1;
/// Bytes of format and checksum in front of the payload.
const HEADER_BYTES: usize = 5;
/// Largest payload in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// The ways in which a stored or received value can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The value ends before its payload does.
    #[error("a value of {found} bytes was cut short, expected at least {expected}")]
    Truncated {
        /// Length as found in bytes.
        found: usize,
        /// Least length in bytes.
        expected: usize,
    },
    /// The value was written in another format.
    #[error("format {found} is unknown, this version reads format {FORMAT}; upgrade this instance")]
    Format {
        /// Format as found.
        found: u8,
    },
    /// The checksum differs from the content.
    #[error("checksum {found:08x} does not match the content, expected {expected:08x}")]
    Checksum {
        /// Checksum of the content as found.
        found: u32,
        /// Checksum that was stored.
        expected: u32,
    },
    /// The value is larger than any that is written.
    #[error("a value of {found} bytes is larger than {MAX_PAYLOAD_BYTES} bytes")]
    TooLarge {
        /// Length as found in bytes.
        found: usize,
    },
    /// The payload does not have the expected structure.
    #[error("the payload is malformed: {reason}")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
    /// A piece that others refer to is not there.
    #[error("`{key}` is missing although it is referred to")]
    Missing {
        /// Row or object that was looked for.
        key: String,
    },
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed { reason: error.to_string() }
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Malformed { reason: error.to_string() }
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed { reason: error.to_string() }
    }
}

impl From<sycamorerill_core::id::Error> for Error {
    fn from(error: sycamorerill_core::id::Error) -> Self {
        Self::Malformed { reason: error.to_string() }
    }
}

/// Returns the stored form of a message.
pub(crate) fn encode(message: &Builder<HeapAllocator>) -> Bytes {
    let payload = serialize::write_message_to_words(message);
    let mut encoded = BytesMut::with_capacity(HEADER_BYTES + payload.len());
    encoded.put_u8(FORMAT);
    encoded.put_u32(crc32fast::hash(&payload));
    encoded.put_slice(&payload);
    encoded.freeze()
}

/// Returns the message in a stored form.
pub(crate) fn decode(encoded: &[u8]) -> Result<Reader<OwnedSegments>, Error> {
    let Some((header, mut payload)) = encoded.split_at_checked(HEADER_BYTES) else {
        return Err(Error::Truncated { found: encoded.len(), expected: HEADER_BYTES });
    };
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(Error::TooLarge { found: encoded.len() });
    }
    if header[0] != FORMAT {
        return Err(Error::Format { found: header[0] });
    }
    let expected = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    let found = crc32fast::hash(payload);
    if found != expected {
        return Err(Error::Checksum { found, expected });
    }
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_PAYLOAD_BYTES));
    Ok(serialize::read_message(&mut payload, options)?)
}

/// Returns the checksum by which a reference recognises an object.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}
