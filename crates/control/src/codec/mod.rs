//! Encoding of stored values and messages: a format version, a checksum and a Cap'n
//! Proto payload.

mod fields;

use bytes::{BufMut, Bytes, BytesMut};
use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

pub(crate) use fields::{parse_name, read_session, read_shard, write_session};

/// Format version that this build writes and reads.
const FORMAT: u8 = 1;
/// Length of the format version and checksum before the payload.
const HEADER_BYTES: usize = 5;
/// Maximum payload length in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// Reasons why a stored or received value cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The value is shorter than its header.
    #[error("a value of {found} bytes was cut short, expected at least {expected}")]
    Truncated {
        /// Actual length in bytes.
        found: usize,
        /// Minimum length in bytes.
        expected: usize,
    },
    /// The value has an unsupported format version.
    #[error("format {found} is unknown, this version reads format {FORMAT}; upgrade this instance")]
    Format {
        /// Format version of the value.
        found: u8,
    },
    /// The checksum of the payload differs from the stored checksum.
    #[error("checksum {found:08x} does not match the content, expected {expected:08x}")]
    Checksum {
        /// Checksum computed from the payload.
        found: u32,
        /// Checksum stored with the value.
        expected: u32,
    },
    /// The payload exceeds the maximum length.
    #[error("a value of {found} bytes is larger than {MAX_PAYLOAD_BYTES} bytes")]
    TooLarge {
        /// Length of the value in bytes, header included.
        found: usize,
    },
    /// The payload does not match its schema.
    #[error("the payload is malformed: {reason}")]
    Malformed {
        /// Error message of the decoder.
        reason: String,
    },
    /// A row or object is missing although another one refers to it.
    #[error("`{key}` is missing although it is referred to")]
    Missing {
        /// Key of the missing row or object.
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

/// Encodes a message with its header.
pub(crate) fn encode(message: &Builder<HeapAllocator>) -> Bytes {
    let payload = serialize::write_message_to_words(message);
    let mut encoded = BytesMut::with_capacity(HEADER_BYTES + payload.len());
    encoded.put_u8(FORMAT);
    encoded.put_u32(crc32fast::hash(&payload));
    encoded.put_slice(&payload);
    encoded.freeze()
}

/// Checks the header and decodes the message.
///
/// # Errors
///
/// Fails if the value is truncated, corrupt, too large or has an unsupported format
/// version.
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

/// Returns the checksum with which a reference to an object verifies its content.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}
