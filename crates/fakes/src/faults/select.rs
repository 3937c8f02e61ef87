//! Which instances a fault is for.

use serde::{Deserialize, Serialize};
use sycamorerill_clients::instances::Instance;
use sycamorerill_core::id::{DomainName, RackName};

/// Which instances a fault is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Select {
    /// Every instance.
    All,
    /// The instance of this name.
    Name(String),
    /// Every instance of the failure domain.
    Domain(DomainName),
    /// Every instance of the rack.
    Rack(RackName),
}

impl Select {
    /// Reports whether `instance` is selected.
    pub fn selects(&self, instance: &Instance) -> bool {
        match self {
            Self::All => true,
            Self::Name(name) => *name == instance.name,
            Self::Domain(domain) => *domain == instance.domain,
            Self::Rack(rack) => *rack == instance.rack,
        }
    }
}
