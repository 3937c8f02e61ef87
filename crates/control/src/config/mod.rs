//! Versions of the configuration: acceptance by one conditional write, and spread.
//!
//! The row `config/current` names the newest version and the object that holds it.
//! An instance puts a version in force only if it is above the one it runs.

mod acceptance;
mod content;
mod fetch;
mod machine;
mod row;

use std::collections::BTreeSet;

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::Version;
use sycamorerill_core::{data, value};

use crate::store::Key;

pub use content::{Content, Digests};
pub(crate) use machine::{Context, Machine, Purpose};
pub use row::{Accepted, Row};

/// Row that names the newest version.
pub(crate) const CURRENT: &str = "config/current";

value! {
    /// Identity of one acceptance that an operator asks for, drawn at random.
    pub struct ApplyId(pub u64);
}

value! {
    /// How other instances learn of a new version.
    pub enum Spread {
        /// Each reads the row now and then.
        Poll,
        /// The content is sent to every instance.
        Push,
        /// Each is told that there is a new version and fetches the latest.
        Notify,
    }
}

data! {
    /// A configuration that an operator wants accepted.
    pub struct Apply {
        /// Identity of the request.
        pub id: ApplyId,
        /// Version that the operator had seen.
        pub seen: Version,
        /// Who asks.
        pub author: String,
        /// Digest of each key of the new configuration.
        pub keys: Digests,
        /// New configuration, which this crate does not look into.
        pub bytes: Bytes,
    }
}

data! {
    /// Answer to an [`Apply`].
    pub enum Outcome {
        /// The configuration was accepted under this version.
        Accepted(Version),
        /// Another version was accepted since the operator had looked.
        Conflict {
            /// Newest version.
            current: Version,
            /// Keys that differ between the version seen and the newest one.
            keys: BTreeSet<String>,
        },
        /// Nothing was accepted, as the store does not answer.
        StoreDown,
        /// The store did not answer in time; the configuration may have been accepted.
        Unknown,
    }
}

impl Outcome {
    /// Returns the word used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Conflict { .. } => "conflict",
            Self::StoreDown => "store-down",
            Self::Unknown => "unknown",
        }
    }
}

data! {
    /// A version that is in force on this instance from now on.
    pub struct InForce {
        /// The version.
        pub version: Version,
        /// Who had it accepted.
        pub author: String,
        /// The configuration.
        pub bytes: Bytes,
    }
}

data! {
    /// Settings of the spread of configurations.
    pub struct Settings {
        /// How other instances learn of a new version.
        pub spread: Spread,
        /// Time between two looks at the row, in a group of nine instances.
        pub poll_interval: Span,
        /// Time after which an unanswered acceptance is given up as unknown.
        pub apply_limit: Span,
        /// Bytes a second that an instance may fetch.
        pub fetch_rate: u64,
        /// Bytes that an instance may fetch at once.
        pub fetch_burst: u64,
        /// Longest time that a fetch is put off.
        pub fetch_limit: Span,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            spread: Spread::Notify,
            poll_interval: Span::from_ms(4_000),
            apply_limit: Span::from_secs(10),
            fetch_rate: 8_000,
            fetch_burst: 512 << 10,
            fetch_limit: Span::from_secs(8),
        }
    }
}

/// Returns the object of one version.
pub(crate) fn object(version: Version, id: ApplyId) -> Key {
    Key::new(format!("config/{:020}-{:016x}", version.0, id.0))
}
