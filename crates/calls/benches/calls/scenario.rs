//! What is offered to the fleet and what befalls it.

use sycamorerill_core::model::Urgency;

use crate::sim::Policy;

/// What befalls the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// One team offers ten times the capacity at this urgency for some seconds.
    Flood(Urgency),
    /// As a flood, by the team that has the most ordinary work as well.
    OwnFlood(Urgency),
    /// One executor takes ten times as long for each call.
    SlowExecutor,
    /// The executors and the entry instances of one failure domain are lost.
    DomainLost,
    /// An entry instance is replaced every 10 s, in turns gracefully and by a crash.
    Replaced,
    /// An entry instance is paused for 3 s, and the balancer sees it after half a second.
    Paused,
    /// The store is down throughout, with some calls that need a key.
    StoreDown,
    /// The store is up, with some calls that need a key.
    Keys,
}

/// One scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Offered work as a part of what the executors can take.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    /// Time before measuring begins, in milliseconds.
    pub(crate) warm_up_ms: f64,
    /// Time that is measured, in milliseconds.
    pub(crate) measured_ms: f64,
    /// Part of the calls that must not run twice and have a key.
    pub(crate) keyed: f64,
}

impl Scenario {
    fn new(name: &'static str, load: f64, fault: Fault) -> Self {
        Self { name, load, fault, warm_up_ms: 3_000.0, measured_ms: 7_000.0, keyed: 0.0 }
    }

    /// Returns the scenarios in the order in which they run.
    pub(crate) fn all() -> Vec<Self> {
        vec![
            Self::new("steady-70", 0.7, Fault::None),
            Self::new("steady-90", 0.9, Fault::None),
            Self {
                measured_ms: 5_000.0,
                ..Self::new("flood-low", 0.7, Fault::Flood(Urgency::Low))
            },
            Self {
                measured_ms: 5_000.0,
                ..Self::new("flood-urgent", 0.7, Fault::Flood(Urgency::Urgent))
            },
            Self {
                measured_ms: 5_000.0,
                ..Self::new("flood-own-low", 0.7, Fault::OwnFlood(Urgency::Low))
            },
            Self {
                measured_ms: 5_000.0,
                ..Self::new("flood-own-urgent", 0.7, Fault::OwnFlood(Urgency::Urgent))
            },
            Self::new("slow-executor", 0.7, Fault::SlowExecutor),
            Self::new("domain-lost", 0.55, Fault::DomainLost),
            Self { measured_ms: 30_000.0, ..Self::new("replaced", 0.7, Fault::Replaced) },
            Self::new("paused", 0.7, Fault::Paused),
            Self { keyed: 0.05, ..Self::new("store-down", 0.7, Fault::StoreDown) },
            Self { keyed: 0.05, ..Self::new("keys", 0.7, Fault::Keys) },
        ]
    }

    /// Reports whether the policy is measured in this scenario.
    pub(crate) fn covers(&self, policy: Policy) -> bool {
        let sharing = matches!(policy, Policy::Borrow | Policy::Blocks);
        let calm = matches!(self.fault, Fault::None | Fault::Flood(_));
        let keys = matches!(self.fault, Fault::StoreDown | Fault::Keys);
        let own = matches!(self.fault, Fault::OwnFlood(_) | Fault::Paused);
        match policy {
            Policy::Owned => true,
            Policy::Hedged => matches!(self.fault, Fault::None | Fault::SlowExecutor),
            _ if keys || own => false,
            _ => calm || !sharing,
        }
    }
}
