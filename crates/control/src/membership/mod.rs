//! Who is there: heartbeats, suspicion and evidence of death.
//!
//! Being thought alive gives no right, and being suspected takes none away. A
//! suspicion starts a challenge of the session; only [`Evidence`] says that a
//! process is gone.

mod heartbeats;
mod machine;
mod member;
mod ring;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::InstanceName;
use sycamorerill_core::{data, value};

pub(crate) use machine::{LocalMember, Machine};
pub use member::{Member, Standing, StandingUpdate};
pub(crate) use ring::score;

value! {
    /// What shows that the process of an incarnation is gone.
    pub enum Evidence {
        /// Its address refused a connection that was started after the incarnation
        /// had been heard of.
        Refused,
        /// A newer incarnation answers at its address.
        Newer,
        /// The platform's list named the instance and no longer does.
        Unlisted,
        /// A peer has evidence.
        Reported,
    }
}

impl Evidence {
    /// Returns the word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Newer => "newer",
            Self::Unlisted => "unlisted",
            Self::Reported => "reported",
        }
    }
}

data! {
    /// Settings of the membership.
    pub struct Settings {
        /// Time between two heartbeats to the same peer.
        pub heartbeat_interval: Span,
        /// Silence after which an instance is suspected.
        pub suspect_after: Span,
        /// Largest number of instances that all send heartbeats to each other.
        pub full_mesh: usize,
        /// Neighbours on each side that an instance sends heartbeats to above that.
        pub neighbours: usize,
        /// Changes of standings that one heartbeat passes on.
        pub updates_per_heartbeat: usize,
        /// Time for which the platform's list may lack an instance that lives.
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
    /// An instance as the platform's list names it.
    pub struct Listing {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Whether the platform is about to take the instance away.
        pub leaving: bool,
    }
}
