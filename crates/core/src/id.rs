//! Identifiers of the objects that the scheduler handles.
//!
//! Numeric identifiers print as a letter and a decimal number, such as `e7`. Names
//! are lower-case text of at most [`MAX_NAME_BYTES`] bytes.

use crate::macros::{name_id, number_id};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Errors of parsing an identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not the identifier's letter followed by a decimal number.
    #[error("`{text}` is not a {kind}")]
    Malformed {
        /// Type name of the identifier, such as `ServiceName`.
        kind: &'static str,
        /// Text that was parsed.
        text: String,
    },
    /// The name is empty.
    #[error("a {kind} must not be empty")]
    Empty {
        /// Type name of the identifier, such as `ServiceName`.
        kind: &'static str,
    },
    /// The name has more bytes than [`MAX_NAME_BYTES`].
    #[error("a {kind} has at most {MAX_NAME_BYTES} bytes, found {bytes}")]
    TooLong {
        /// Type name of the identifier, such as `ServiceName`.
        kind: &'static str,
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The name has a character other than `a-z`, `0-9`, `-`, `_`, `.` or `/`.
    #[error("`{text}` is not a {kind}: `{found}` is not one of a-z, 0-9, `-`, `_`, `.`, `/`")]
    Character {
        /// Type name of the identifier, such as `ServiceName`.
        kind: &'static str,
        /// Text that was parsed.
        text: String,
        /// First character that is not allowed.
        found: char,
    },
}

fn is_name_char(c: char) -> bool {
    matches!(c, 'a'..='z' | '0'..='9' | '-' | '_' | '.' | '/')
}

pub(crate) fn check_name(kind: &'static str, text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong { kind, bytes: text.len() });
    }
    match text.chars().find(|c| !is_name_char(*c)) {
        Some(found) => Err(Error::Character { kind, text: text.to_owned(), found }),
        None => Ok(()),
    }
}

number_id! {
    /// Number of a call, unique within the entry instance that accepted it.
    CallId, "c"
}
number_id! {
    /// Number of a start of an entry instance, larger after each start.
    Incarnation, "i"
}
number_id! {
    /// Epoch of a shard's ownership, larger after each change of owner.
    Epoch, "e"
}
number_id! {
    /// Version of the accepted configuration, 0 before the first.
    Version, "v"
}
number_id! {
    /// Number of an attempt at a call or a task, counted from 1.
    Attempt, "a"
}

name_id! {
    /// Name of an entry instance.
    InstanceName
}
name_id! {
    /// Name of an executor, an endpoint that answers calls in a bounded number of slots.
    ExecutorName
}
name_id! {
    /// Name of a worker, which runs tasks under leases.
    WorkerName
}
name_id! {
    /// Name of a rack of workers.
    RackName
}
name_id! {
    /// Name of a failure domain.
    DomainName
}
name_id! {
    /// Name of a region, which holds several failure domains.
    RegionName
}
name_id! {
    /// Name of a service that answers calls.
    ServiceName
}
name_id! {
    /// Name of a class of jobs that share a size, a run time and a deadline.
    ClassName
}
name_id! {
    /// Name of a team, which has a weight and a quota.
    TeamName
}
name_id! {
    /// Name of a service-level target, which carries a penalty for each miss.
    TargetName
}
name_id! {
    /// Name of a job, chosen by its caller or by the entry instance that accepted it.
    JobName
}
name_id! {
    /// Name of a task, written as `JOB/INDEX`.
    TaskName
}

impl RegionName {
    /// Returns `main`, the region of a deployment that configures none.
    pub fn main() -> Self {
        Self(bytes::Bytes::from_static(b"main"))
    }
}
