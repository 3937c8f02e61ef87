//! Words of the command line that are none of those expected.

/// Error for a word that does not read as what an argument takes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{found}` is not {kind}, expected {expected}")]
pub(crate) struct Error {
    /// Word as written.
    pub(crate) found: String,
    /// What the argument takes.
    pub(crate) kind: &'static str,
    /// Words or forms that are taken.
    pub(crate) expected: &'static str,
}

impl Error {
    pub(crate) fn new(found: &str, kind: &'static str, expected: &'static str) -> Self {
        Self { found: found.to_owned(), kind, expected }
    }
}
