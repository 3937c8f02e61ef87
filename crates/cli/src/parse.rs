//! Error of parsing a value on the command line or in the environment.

/// Error for a value that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{found}` is not {kind}, expected {expected}")]
pub(crate) struct Error {
    /// Value as given.
    pub(crate) found: String,
    /// Kind of value that is expected, with its article.
    pub(crate) kind: &'static str,
    /// Accepted values, or examples of them.
    pub(crate) expected: &'static str,
}

impl Error {
    pub(crate) fn new(found: &str, kind: &'static str, expected: &'static str) -> Self {
        Self { found: found.to_owned(), kind, expected }
    }
}
