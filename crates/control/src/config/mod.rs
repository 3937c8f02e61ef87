//! Configuration versions: acceptance by a conditional write and distribution to all
//! instances.
//!
//! The row `config/current` names the latest version and the object that holds it. An
//! instance puts a version in force only if it is later than the one in force.

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

/// Key of the row that names the latest version.
pub(crate) const CURRENT: &str = "config/current";

value! {
    /// Random identifier of an operator's request to accept a configuration.
    pub struct ApplyId(pub u64);
}

value! {
    /// How instances learn of a new version.
    pub enum Spread {
        /// Each instance polls the row periodically.
        Poll,
        /// The content is sent to the watched peers, in addition to polling.
        Push,
        /// The version number is sent to the watched peers, which fetch the content, in
        /// addition to polling.
        Notify,
    }
}

data! {
    /// Configuration submitted by an operator.
    pub struct Apply {
        /// Identifier of the request.
        pub id: ApplyId,
        /// Version that the submitted configuration is based on.
        pub base_version: Version,
        /// Operator who submits the configuration.
        pub author: String,
        /// Digests of the values of the new configuration, by key.
        pub digests: Digests,
        /// New configuration, which is opaque to this crate.
        pub bytes: Bytes,
    }
}

data! {
    /// Result of an [`Apply`] request.
    pub enum Outcome {
        /// The configuration was accepted as this version.
        Accepted(Version),
        /// Another version was accepted after the one that the request is based on.
        Conflict {
            /// Latest version.
            current: Version,
            /// Keys that differ between the base version and the latest one.
            keys: BTreeSet<String>,
        },
        /// Nothing was accepted because the store does not respond or the current row is
        /// corrupt.
        StoreDown,
        /// The store did not respond in time; the configuration may have been accepted.
        Unknown,
    }
}

impl Outcome {
    /// Returns the name used in logs.
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
    /// Version that is put in force on this instance.
    pub struct ActiveConfig {
        /// Number of the version.
        pub version: Version,
        /// Operator who submitted the configuration.
        pub author: String,
        /// Encoded configuration.
        pub bytes: Bytes,
    }
}

data! {
    /// Configuration distribution settings.
    pub struct Settings {
        /// How instances learn of a new version.
        pub spread: Spread,
        /// Time between two polls of the row in a group of up to nine instances.
        ///
        /// Larger groups poll less often, in proportion to their size.
        pub poll_interval: Span,
        /// Time after which an incomplete acceptance fails.
        pub apply_limit: Span,
        /// Number of bytes per second that an instance may fetch.
        pub fetch_rate: u64,
        /// Number of bytes that an instance may fetch in a burst.
        pub fetch_burst: u64,
        /// Maximum delay of a fetch by the rate limit.
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

/// Returns the key of the object that holds a version.
pub(crate) fn object(version: Version, id: ApplyId) -> Key {
    Key::new(format!("config/{:020}-{:016x}", version.0, id.0))
}
