//! Errors of requests to the platform.

use std::net::SocketAddr;

use crate::table::Conflict;

/// Reason why it is unknown whether a request took effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownCause {
    /// No complete response arrived in time.
    #[error("no complete response arrived within the timeout")]
    Timeout,
    /// The connection closed before the complete response was received.
    #[error("the connection closed before the complete response was received")]
    ConnectionClosed,
    /// The response has no length, so its end cannot be distinguished from a closed connection.
    #[error("the response states neither its length nor chunks, so its end is unknown")]
    NotDelimited,
    /// The response belongs to another request.
    #[error("the response belongs to another request, expected identity `{expected}`")]
    Identity {
        /// Identity of the request that was sent, which the response must repeat.
        expected: String,
    },
    /// The response is longer than the limit.
    #[error("the response is longer than {limit} bytes")]
    TooLarge {
        /// Maximum size of the body of a response, in bytes.
        limit: u64,
    },
    /// The response is not valid HTTP.
    #[error("the response is not HTTP: {reason}")]
    Protocol {
        /// Error of the HTTP client.
        reason: String,
    },
}

/// Errors of a request to the platform.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent, so it had no effect.
    #[error("cannot connect to {address}: {reason}; nothing was sent")]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of opening the connection or of building the request.
        reason: String,
    },
    /// The server is temporarily unavailable and did not process the request.
    #[error("{address} is unavailable and did nothing; try again later")]
    Unavailable {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The request was sent, and whether it took effect is unknown.
    #[error("the request to {address} may have taken effect: {cause}")]
    Unknown {
        /// Address of the server.
        address: SocketAddr,
        /// Reason why it is unknown.
        cause: UnknownCause,
    },
    /// A condition of the transaction does not hold; nothing was written.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// The object exists and was to be written only if absent; nothing was written.
    #[error("object `{key}` already exists")]
    Exists {
        /// Key of the object.
        key: String,
    },
    /// The server rejected the request as invalid; it had no effect.
    #[error("{address} refused the request with status {status}: {reason}")]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        reason: String,
    },
    /// The response cannot be parsed; a write may have taken effect.
    #[error("the response of {address} cannot be parsed as {expected}: {reason}")]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the expected response.
        expected: &'static str,
        /// Error of parsing, or the unexpected status and its body.
        reason: String,
    },
}

impl Error {
    /// Returns whether the request certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::NotSent { .. }
            | Self::Unavailable { .. }
            | Self::Conflict(_)
            | Self::Exists { .. }
            | Self::Refused { .. } => true,
            Self::Unknown { .. } | Self::Malformed { .. } => false,
        }
    }
}
