//! Selects the instances that a fault affects.

use serde::{Deserialize, Serialize};
use sycamorerill_clients::instances::Instance;
use sycamorerill_core::id::{DomainName, RackName};

/// Selection of the instances that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selector {
    /// All instances.
    All,
    /// The instance with this name.
    Name(String),
    /// Every instance of the failure domain.
    Domain(DomainName),
    /// Every instance of the rack.
    Rack(RackName),
}

impl Selector {
    /// Returns whether `instance` is selected.
    pub fn matches(&self, instance: &Instance) -> bool {
        match self {
            Self::All => true,
            Self::Name(name) => *name == instance.name,
            Self::Domain(domain) => *domain == instance.domain,
            Self::Rack(rack) => *rack == instance.rack,
        }
    }
}
