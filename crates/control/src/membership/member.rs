//! One instance as others see it.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};
use sycamorerill_core::{data, value};

use super::Evidence;

value! {
    /// Standing of an instance.
    #[derive(Default)]
    pub enum Standing {
        /// Runs and has no session yet.
        #[default]
        Joining,
        /// Runs and may own shards.
        Serving,
        /// Hands over what it owns and leaves.
        Draining,
        /// Has not been heard for a while.
        Suspect,
        /// Its process is gone.
        Gone,
    }
}

impl Standing {
    const ALL: [Self; 5] =
        [Self::Joining, Self::Serving, Self::Draining, Self::Suspect, Self::Gone];

    pub(crate) const fn code(self) -> u8 {
        self as u8
    }

    pub(crate) fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|standing| standing.code() == code)
    }

    /// Returns the word used in logs and in the status.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
        }
    }
}

data! {
    /// Change of the standing of an instance, passed on with heartbeats.
    pub struct StandingUpdate {
        /// Instance that the news is about.
        pub instance: InstanceName,
        /// Incarnation that the news is about.
        pub incarnation: Incarnation,
        /// Number of changes that the incarnation has made to its own standing.
        pub standing_version: u64,
        /// Standing of the incarnation.
        pub standing: Standing,
        /// Failure domain of the instance.
        pub domain: DomainName,
    }
}

impl StandingUpdate {
    /// Reports whether this news replaces what is known.
    pub(crate) fn replaces(
        &self,
        incarnation: Incarnation,
        standing_version: u64,
        standing: Standing,
    ) -> bool {
        let new = (
            self.incarnation,
            self.standing == Standing::Gone,
            self.standing_version,
            self.standing,
        );
        let old = (incarnation, standing == Standing::Gone, standing_version, standing);
        new > old
    }
}

data! {
    /// An instance and what is known of it.
    pub struct Member {
        /// Last incarnation that was heard of.
        pub incarnation: Incarnation,
        /// Failure domain.
        pub domain: DomainName,
        /// Standing of that incarnation.
        pub standing: Standing,
        /// Version of the configuration in force there when last heard.
        pub version: Version,
        /// Instant at which it was last heard directly.
        pub last_contact: Time,
        /// Instant at which the standing changed last.
        pub standing_since: Time,
        /// Evidence that the incarnation is gone.
        pub evidence: Option<Evidence>,
        /// Number of changes that the incarnation has made to its own standing.
        pub standing_version: u64,
    }
}
