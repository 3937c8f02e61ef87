//! Failures of decoding.

use sycamorerill_core::id;

use super::MAX_ENCODED_BYTES;

/// The ways in which bytes are not an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// More bytes than [`MAX_ENCODED_BYTES`].
    #[error("the configuration has {0} bytes, expected at most {MAX_ENCODED_BYTES}")]
    TooLarge(usize),
    /// The bytes are something else.
    #[error("the bytes are not a configuration, the mark at their start is missing")]
    Foreign,
    /// The bytes are cut short or changed.
    #[error("the configuration is damaged, its checksum differs; fetch it again")]
    Damaged,
    /// The message breaks the schema.
    #[error("the configuration does not follow the schema: {0}")]
    Schema(capnp::ErrorKind),
    /// A value that this version of the schema does not know.
    #[error("the configuration has a value that this version does not know")]
    Unknown,
    /// A text that is not a name.
    #[error("the configuration has a wrong name: {0}")]
    Name(#[from] id::Error),
    /// A number that is not finite or out of its range.
    #[error("the configuration has a number out of range")]
    Number,
    /// Two entries of one section with the same name.
    #[error("the configuration has two entries with the name `{0}`")]
    Duplicate(String),
    /// Text that is not base64.
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
        Self::Unknown
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Schema(capnp::ErrorKind::TextContainsNonUtf8Data(error))
    }
}
