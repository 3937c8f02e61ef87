//! Group membership: heartbeats, suspicion and evidence that a process has ended.
//!
//! Membership neither grants nor revokes the right to write; sessions do. A suspicion
//! only starts a challenge of the session, and only [`Evidence`] proves that a process
//! has ended.

mod machine;
mod member;
mod ring;
mod watch;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::InstanceName;
use sycamorerill_core::{data, value};

pub(crate) use machine::{LocalMember, Machine};
pub use member::{Member, MemberState, StateUpdate};
pub(crate) use ring::score;

value! {
    /// Evidence that the process of an incarnation has ended.
    pub enum Evidence {
        /// The instance's address refused a connection that was started after the
        /// incarnation became known.
        ConnectionRefused,
        /// A newer incarnation responds at the same address.
        NewerIncarnation,
        /// The platform's list no longer contains the instance, and the instance is
        /// suspected.
        Unlisted,
        /// A peer reported that it has evidence.
        Reported,
    }
}

impl Evidence {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "refused",
            Self::NewerIncarnation => "newer",
            Self::Unlisted => "unlisted",
            Self::Reported => "reported",
        }
    }
}

data! {
    /// Membership settings.
    pub struct Settings {
        /// Time between two heartbeats to the same peer.
        pub heartbeat_interval: Span,
        /// Silence after which a watched peer is suspected.
        pub suspect_after: Span,
        /// Maximum group size in which all instances watch each other.
        ///
        /// In a larger group each instance watches its neighbours on the hash ring.
        pub full_mesh: usize,
        /// Number of neighbours that an instance watches on each side of the hash ring.
        pub neighbours: usize,
        /// Maximum number of state updates in one heartbeat.
        pub updates_per_heartbeat: usize,
        /// Time for which a running instance may be missing from the platform's list.
        pub list_lag: Span,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Span::from_ms(500),
            suspect_after: Span::from_ms(2_500),
            full_mesh: 16,
            neighbours: 4,
            updates_per_heartbeat: 12,
            list_lag: Span::from_secs(60),
        }
    }
}

data! {
    /// Entry of the platform's list of instances.
    pub struct ListEntry {
        /// Name of the listed instance.
        pub instance: InstanceName,
        /// Whether the platform is about to remove the instance.
        pub leaving: bool,
    }
}
