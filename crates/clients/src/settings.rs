//! Settings that all clients share.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::InstanceName;

/// Longest answer that is read by default, in bytes.
const DEFAULT_MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Idle connections kept to one address by default.
const DEFAULT_MAX_IDLE: usize = 4;

/// How a client talks to its server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entry instance that the requests are sent for, named to the server when given.
    pub client: Option<InstanceName>,
    /// Longest time from the start of a request to its whole answer.
    pub timeout: Span,
    /// Largest number of idle connections kept to the server.
    pub max_idle: usize,
    /// How long an idle connection is kept.
    pub idle_age: Span,
    /// Longest answer that is read, in bytes.
    pub max_answer: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            client: None,
            timeout: Span::from_secs(2),
            max_idle: DEFAULT_MAX_IDLE,
            idle_age: Span::from_secs(15),
            max_answer: DEFAULT_MAX_ANSWER_BYTES,
        }
    }
}
