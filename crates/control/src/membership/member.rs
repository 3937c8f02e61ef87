//! Members, their standings and standing updates.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};
use sycamorerill_core::{data, value};

use super::Evidence;

value! {
    /// Standing of an instance in the group.
    #[derive(Default)]
    pub enum Standing {
        /// The instance runs but has no session, or has lost the store.
        #[default]
        Joining,
        /// The instance runs and may own shards.
        Serving,
        /// The instance hands over its shards and then stops.
        Draining,
        /// The instance has been silent for longer than the suspicion timeout.
        Suspect,
        /// The process of the instance has ended.
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

    /// Returns the name used in logs and in the status.
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
    /// Standing of an instance, gossiped with heartbeats.
    pub struct StandingUpdate {
        /// Instance that the update describes.
        pub instance: InstanceName,
        /// Incarnation that the update describes.
        pub incarnation: Incarnation,
        /// Number of times that the incarnation has changed its standing or refuted a
        /// suspicion.
        pub standing_version: u64,
        /// Standing of the incarnation.
        pub standing: Standing,
        /// Failure domain of the instance.
        pub domain: DomainName,
    }
}

impl StandingUpdate {
    /// Reports whether this update replaces the given state of the same instance.
    ///
    /// A newer incarnation replaces an older one. Within an incarnation,
    /// [`Standing::Gone`] is final; otherwise the higher standing version wins, then the
    /// later standing.
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
    /// State of an instance as known to this one.
    pub struct Member {
        /// Latest known incarnation.
        pub incarnation: Incarnation,
        /// Failure domain; that of this instance until the member's own domain is known.
        pub domain: DomainName,
        /// Standing of the latest incarnation.
        pub standing: Standing,
        /// Configuration version in force, as reported by the last heartbeat.
        pub version: Version,
        /// Instant of the last heartbeat received directly from the instance.
        pub last_contact: Time,
        /// Instant of the last change of the standing.
        pub standing_since: Time,
        /// Evidence that the process of the incarnation has ended.
        pub evidence: Option<Evidence>,
        /// Number of times that the incarnation has changed its standing or refuted a
        /// suspicion.
        pub standing_version: u64,
    }
}
