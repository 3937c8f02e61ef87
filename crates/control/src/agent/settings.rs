//! Settings of an agent.

use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName};

use crate::store::Budget;
use crate::{config, journal, membership, ownership, penalties};

data! {
    /// Settings of the control plane of one instance.
    pub struct Settings {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Incarnation of the instance, which increases with each start, such as
        /// milliseconds since 1970.
        pub incarnation: Incarnation,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// Initially known instances; heartbeats and the platform's list add more.
        pub peers: Vec<InstanceName>,
        /// Seed of the random number generator.
        pub seed: u64,
        /// Store request rates that all instances share.
        pub budget: Budget,
        /// Membership settings.
        pub membership: membership::Settings,
        /// Ownership settings.
        pub ownership: ownership::Settings,
        /// Journal settings.
        pub journal: journal::Settings,
        /// Configuration distribution settings.
        pub config: config::Settings,
        /// Penalty settings.
        pub penalties: penalties::Settings,
    }
}

impl Settings {
    /// Returns settings with the default values for everything except the given
    /// arguments.
    pub fn new(instance: InstanceName, incarnation: Incarnation, domain: DomainName) -> Self {
        Self {
            instance,
            incarnation,
            domain,
            peers: Vec::new(),
            seed: 0,
            budget: Budget::default(),
            membership: membership::Settings::default(),
            ownership: ownership::Settings::default(),
            journal: journal::Settings::default(),
            config: config::Settings::default(),
            penalties: penalties::Settings::default(),
        }
    }
}
