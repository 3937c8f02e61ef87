//! Settings of a router.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, InstanceName};
use sycamorerill_core::rate::Share;

use crate::{fleet, keys, queue};

/// Settings of a router that do not come from the declared configuration.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry instance; it is never recorded as the remote owner of a key shard.
    pub instance: Option<InstanceName>,
    /// Failure domain of this entry instance; without one, all peers count as near.
    pub domain: Option<DomainName>,
    /// One-way delay to another failure domain.
    pub cross_domain_delay: Span,
    /// One-way delay within the failure domain.
    pub same_domain_delay: Span,
    /// Allowance for transit, added to the longest run before a slot without an answer is
    /// treated as free.
    pub transit_allowance: Span,
    /// Time for calls to end before an executor is handed over with calls in progress.
    pub hand_over_timeout: Span,
    /// Time since the last update of a peer after which no call is forwarded to it.
    pub peer_timeout: Span,
    /// Shortest time between two announcements of free slots of one service.
    pub announce_interval: Span,
    /// Largest number of times that a call is forwarded.
    pub max_hops: u8,
    /// Largest number of attempts at one call, sent or forwarded.
    pub max_attempts: u64,
    /// Hedged attempts as a share of the calls that are sent without being queued;
    /// zero disables hedging.
    pub hedge_budget: Share,
    /// Settings of the health checks of executors.
    pub health: fleet::Settings,
    /// Settings of the queues.
    pub queue: queue::Settings,
    /// Settings of the ledger of idempotency keys.
    pub keys: keys::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: None,
            domain: None,
            cross_domain_delay: Span::from_ms_f64(1.5),
            same_domain_delay: Span::from_ms_f64(0.1),
            transit_allowance: Span::from_ms(100),
            hand_over_timeout: Span::from_ms(200),
            peer_timeout: Span::from_ms(600),
            announce_interval: Span::from_ms(50),
            max_hops: 2,
            max_attempts: 4,
            hedge_budget: Share::default(),
            health: fleet::Settings::default(),
            queue: queue::Settings::default(),
            keys: keys::Settings::default(),
        }
    }
}
