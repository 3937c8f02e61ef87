//! Connection settings of the clients.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::InstanceName;

/// Default of [`Settings::max_response_bytes`], in bytes.
const DEFAULT_MAX_RESPONSE_BYTES: u64 = 16 << 20;
/// Default of [`Settings::max_idle`].
const DEFAULT_MAX_IDLE: usize = 4;

/// Timeouts and limits of a client's connections.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entry instance that sends the requests; if set, each request states its name.
    pub client: Option<InstanceName>,
    /// Maximum time from the start of a request to its complete response.
    pub timeout: Span,
    /// Maximum number of idle connections kept open to the server.
    pub max_idle: usize,
    /// Maximum time for which an idle connection is kept open.
    pub idle_age: Span,
    /// Maximum size of the body of a response, in bytes; a longer one is an error.
    pub max_response_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            client: None,
            timeout: Span::from_secs(2),
            max_idle: DEFAULT_MAX_IDLE,
            idle_age: Span::from_secs(15),
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
        }
    }
}
