//! Scenarios: offered load and faults.

use sycamorerill_core::model::Urgency;

use crate::sim::Policy;

/// Fault or overload in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// There is no fault.
    None,
    /// An additional team offers ten times the capacity at this urgency while measuring.
    Flood(Urgency),
    /// The team with the most ordinary calls floods in the same way.
    FloodByBusiestTeam(Urgency),
    /// One executor takes ten times as long for each call.
    SlowExecutor,
    /// The executors and the entry instances of one failure domain are lost.
    DomainLost,
    /// An entry instance is replaced every 10 s, alternately by a drain and by a crash.
    InstancesReplaced,
    /// An entry instance is paused for 3 s, and the load balancer detects it after 0.5 s.
    InstancePaused,
    /// The store is down throughout, and some calls have a key.
    StoreDown,
    /// The store is up, and some calls have a key.
    Keys,
}

/// Scenario to measure.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Ordinary load as a share of the capacity of the executors.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    /// Time before the measurement, in milliseconds.
    pub(crate) warm_up_ms: f64,
    /// Duration of the measurement, in milliseconds.
    pub(crate) measured_ms: f64,
    /// Share of the calls that are not idempotent and have a key.
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
                ..Self::new("flood-own-low", 0.7, Fault::FloodByBusiestTeam(Urgency::Low))
            },
            Self {
                measured_ms: 5_000.0,
                ..Self::new("flood-own-urgent", 0.7, Fault::FloodByBusiestTeam(Urgency::Urgent))
            },
            Self::new("slow-executor", 0.7, Fault::SlowExecutor),
            Self::new("domain-lost", 0.55, Fault::DomainLost),
            Self { measured_ms: 30_000.0, ..Self::new("replaced", 0.7, Fault::InstancesReplaced) },
            Self::new("paused", 0.7, Fault::InstancePaused),
            Self { keyed: 0.05, ..Self::new("store-down", 0.7, Fault::StoreDown) },
            Self { keyed: 0.05, ..Self::new("keys", 0.7, Fault::Keys) },
        ]
    }

    /// Returns whether the policy is measured in this scenario.
    pub(crate) fn covers(&self, policy: Policy) -> bool {
        let sharing = matches!(policy, Policy::Borrowing | Policy::LeasedBlocks);
        let calm = matches!(self.fault, Fault::None | Fault::Flood(_));
        let keys = matches!(self.fault, Fault::StoreDown | Fault::Keys);
        let own = matches!(self.fault, Fault::FloodByBusiestTeam(_) | Fault::InstancePaused);
        match policy {
            Policy::Owned => true,
            Policy::Hedged => matches!(self.fault, Fault::None | Fault::SlowExecutor),
            _ if keys || own => false,
            _ => calm || !sharing,
        }
    }
}
