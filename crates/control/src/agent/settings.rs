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
        /// Incarnation, larger after each start, such as milliseconds since 1970.
        pub incarnation: Incarnation,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// Instances that are known from the start; heartbeats and the list add others.
        pub peers: Vec<InstanceName>,
        /// Seed of everything that is drawn at random.
        pub seed: u64,
        /// What all instances together may ask of the store.
        pub budget: Budget,
        /// Settings of the membership.
        pub membership: membership::Settings,
        /// Settings of the ownership.
        pub ownership: ownership::Settings,
        /// Settings of the journal.
        pub journal: journal::Settings,
        /// Settings of the spread of configurations.
        pub config: config::Settings,
        /// Settings of the penalties.
        pub penalties: penalties::Settings,
    }
}

impl Settings {
    /// Returns the settings of an instance with defaults for everything else.
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
