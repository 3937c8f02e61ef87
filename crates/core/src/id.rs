//! Identifiers of everything that the scheduler names.

use crate::macros::{name_id, number_id};

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The ways in which the text of an identifier can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not the printed form of the identifier.
    #[error("`{text}` is not a {kind}")]
    Malformed {
        /// Type of the identifier.
        kind: &'static str,
        /// Text as given.
        text: String,
    },
    /// The name is empty.
    #[error("a {kind} must not be empty")]
    Empty {
        /// Type of the identifier.
        kind: &'static str,
    },
    /// The name has more bytes than [`MAX_NAME_BYTES`].
    #[error("a {kind} has at most {MAX_NAME_BYTES} bytes, found {bytes}")]
    TooLong {
        /// Type of the identifier.
        kind: &'static str,
        /// Length as given.
        bytes: usize,
    },
    /// The name has a character other than `a-z`, `0-9`, `-`, `_`, `.` or `/`.
    #[error("`{text}` is not a {kind}: `{found}` is not one of a-z, 0-9, `-`, `_`, `.`, `/`")]
    Character {
        /// Type of the identifier.
        kind: &'static str,
        /// Text as given.
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
    /// One call, unique within the entry instance that accepted it.
    CallId, "c"
}
number_id! {
    /// One incarnation of an entry instance, larger after each start.
    Incarnation, "i"
}
number_id! {
    /// Epoch of the ownership of a shard, larger after each change of owner.
    Epoch, "e"
}
number_id! {
    /// Version of the accepted configuration.
    Version, "v"
}
number_id! {
    /// Attempt at a call or a task, counted from 1.
    Attempt, "a"
}

name_id! {
    /// An entry instance.
    InstanceName
}
name_id! {
    /// An executor, the endpoint of a service with a bounded number of slots.
    ExecutorName
}
name_id! {
    /// A worker that runs tasks under leases.
    WorkerName
}
name_id! {
    /// A rack of workers.
    RackName
}
name_id! {
    /// A failure domain.
    DomainName
}
name_id! {
    /// A region, which holds several failure domains.
    RegionName
}
name_id! {
    /// A service that answers calls.
    ServiceName
}
name_id! {
    /// A class of jobs that share sizes and behaviour.
    ClassName
}
name_id! {
    /// A team with a share and a quota.
    TeamName
}
name_id! {
    /// A target that carries a penalty.
    TargetName
}
name_id! {
    /// A job, named by its caller or by the entry instance that accepted it.
    JobName
}
name_id! {
    /// A task of a job, `JOB/INDEX`.
    TaskName
}

impl RegionName {
    /// Returns the region of a deployment that names none.
    pub fn main() -> Self {
        Self(bytes::Bytes::from_static(b"main"))
    }
}
