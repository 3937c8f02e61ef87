//! Errors of decoding.

use sycamorerill_core::id;

use super::MAX_ENCODED_BYTES;

/// Errors of decoding a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The input has more than [`MAX_ENCODED_BYTES`] bytes.
    #[error("the configuration has {0} bytes, expected at most {MAX_ENCODED_BYTES}")]
    TooLarge(usize),
    /// The bytes do not start with the magic number of an encoded configuration.
    #[error("the bytes are not a configuration, the mark at their start is missing")]
    NotConfiguration,
    /// The bytes are truncated or corrupted.
    #[error("the configuration is damaged, its checksum differs; fetch it again")]
    Damaged,
    /// The message does not follow the schema.
    #[error("the configuration does not follow the schema: {0}")]
    Schema(capnp::ErrorKind),
    /// The message has an enum or union value that this version of the schema lacks.
    #[error("the configuration has a value that this version does not know")]
    UnknownValue,
    /// A name in the configuration is invalid.
    #[error("the configuration has a wrong name: {0}")]
    InvalidName(#[from] id::Error),
    /// A rate or a share is not finite or out of its range.
    #[error("the configuration has a number out of range")]
    NumberOutOfRange,
    /// Two entries of one section have the same name.
    #[error("the configuration has two entries with the name `{0}`")]
    DuplicateName(String),
    /// The text is not base64.
    #[error("the text is not base64")]
    Base64,
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::Schema(error.kind)
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::UnknownValue
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Schema(capnp::ErrorKind::TextContainsNonUtf8Data(error))
    }
}
