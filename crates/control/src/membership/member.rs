//! Members, their states and state updates.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};
use sycamorerill_core::{data, value};

use super::Evidence;

value! {
    /// State of an instance in the group.
    #[derive(Default)]
    pub enum MemberState {
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

impl MemberState {
    const ALL: [Self; 5] =
        [Self::Joining, Self::Serving, Self::Draining, Self::Suspect, Self::Gone];

    pub(crate) const fn code(self) -> u8 {
        self as u8
    }

    pub(crate) fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.code() == code)
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
    /// State of an instance, gossiped with heartbeats.
    pub struct StateUpdate {
        /// Instance that the update describes.
        pub instance: InstanceName,
        /// Incarnation that the update describes.
        pub incarnation: Incarnation,
        /// Number of times that the incarnation has changed its state or refuted a
        /// suspicion.
        pub state_version: u64,
        /// State of the incarnation.
        pub state: MemberState,
        /// Failure domain of the instance.
        pub domain: DomainName,
    }
}

impl StateUpdate {
    /// Returns whether this update replaces the given state of the same instance.
    ///
    /// A newer incarnation replaces an older one. Within an incarnation,
    /// [`MemberState::Gone`] is final; otherwise the higher state version wins, then the
    /// later state.
    pub(crate) fn replaces(
        &self,
        incarnation: Incarnation,
        state_version: u64,
        state: MemberState,
    ) -> bool {
        let new =
            (self.incarnation, self.state == MemberState::Gone, self.state_version, self.state);
        let old = (incarnation, state == MemberState::Gone, state_version, state);
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
        /// State of the latest incarnation.
        pub state: MemberState,
        /// Configuration version in force, as reported by the last heartbeat.
        pub version: Version,
        /// Instant of the last heartbeat received directly from the instance.
        pub last_contact: Time,
        /// Instant of the last change of the state.
        pub state_since: Time,
        /// Evidence that the process of the incarnation has ended.
        pub evidence: Option<Evidence>,
        /// Number of times that the incarnation has changed its state or refuted a
        /// suspicion.
        pub state_version: u64,
    }
}
